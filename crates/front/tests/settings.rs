//! Settings: the deployment template is valid once filled in, and errors name their cause.

use std::io::Write as _;

use front::cli;
use front::config::Config;
use front::directory::Announced;
use model::vm::VmSize;
use test_case::test_case;

const TEMPLATE: &str = include_str!("../../../deploy/settings.jsonc");

/// The values that the platform substitutes for the placeholders of the template.
const PLACEHOLDERS: [(&str, &str); 19] = [
    ("{{nodeName|json}}", "\"front-a-1\""),
    ("{{zone|json}}", "\"a\""),
    ("{{zones|json}}", "{\"a\": \"north\", \"b\": \"south\"}"),
    ("{{listenAddrs.front|json}}", "\"10.1.0.8:8784\""),
    ("{{listenAddrs.readyAddr|json}}", "\"10.1.0.8:8785\""),
    ("{{ip}}", "10.1.0.8"),
    ("{{portRange.0}}", "7440"),
    ("{{platform.address|json}}", "\"10.200.1.7:8783\""),
    ("{{cloud.address|json}}", "\"10.200.0.160:8783\""),
    ("{{platform.minTtlMs|json}}", "1000"),
    ("{{bounds.configApplyMs|json}}", "4000.5"),
    ("{{bounds.graceS|json}}", "6.5"),
    ("{{bootstrap|json}}", "true"),
    ("{{bounds.quotaWindowS|json}}", "5"),
    ("{{bounds.quotaOverage|json}}", "0.1"),
    ("{{bounds.quotaSlack|json}}", "20"),
    ("{{limits.cpuCores|json}}", "2"),
    ("{{limits.cpuShare|json}}", "0.12"),
    ("{{limits.linkMbps|json}}", "10.0"),
];

/// Begin and end of the template's section for deployments with quotas.
const QUOTA_SECTION: (&str, &str) = ("{{#bounds.quotaWindowS}}", "{{/bounds.quotaWindowS}}");

/// The same of the section for deployments that state the sizes of VMs.
const VM_SECTION: (&str, &str) = ("{{#limits.linkMbps}}", "{{/limits.linkMbps}}");

fn filled_template() -> String {
    fill(&with_all_sections(TEMPLATE))
}

/// The filled template without one of its sections.
fn filled_without(section: (&str, &str)) -> String {
    let (before, rest) = TEMPLATE.split_once(section.0).unwrap();
    let (_, after) = rest.split_once(section.1).unwrap();
    fill(&with_all_sections(&format!("{before}{after}")))
}

fn with_all_sections(text: &str) -> String {
    let keep = |text: String, (begin, end)| text.replace(begin, "").replace(end, "");
    [QUOTA_SECTION, VM_SECTION]
        .into_iter()
        .fold(text.to_owned(), keep)
}

fn fill(template: &str) -> String {
    let fill = |text: String, (from, to): &(&str, &str)| text.replace(from, to);
    PLACEHOLDERS.iter().fold(template.to_owned(), fill)
}

fn read(text: &str) -> Result<Config, String> {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    cli::read(file.path()).map_err(|e| format!("{e:?}"))
}

#[test]
fn the_filled_template_is_valid() {
    let cfg = read(&filled_template()).unwrap();
    assert_eq!(cfg.relay_listen.port(), 7440);
    assert_eq!(cfg.grace_s.as_millis(), 6_500);
    assert_eq!(cfg.data_centres.len(), 2);
    assert!(cfg.first_start);
    let terms = cfg.quota_terms();
    assert_eq!((terms.overage, terms.slack), (0.1, 20.0));
}

/// A deployment without quotas has no such settings.
#[test]
fn the_template_is_valid_without_quotas() {
    let cfg = read(&filled_without(QUOTA_SECTION)).unwrap();
    assert_eq!(cfg.quota_terms().slack, 0.0);
}

/// A platform that does not state the sizes of VMs leaves them out.
#[test]
fn the_size_of_the_vm_is_optional() {
    let cfg = read(&filled_without(VM_SECTION)).unwrap();
    assert_eq!(cfg.vm_size(), Ok(None));
    let size = VmSize {
        cpu_millis: 240,
        link_kbps: 10_000,
    };
    let cfg = read(&filled_template()).unwrap();
    assert_eq!(cfg.vm_size(), Ok(Some(size)));
}

/// Proxies of a version without sizes announce none, and read an announcement with one.
#[test]
fn announcements_with_and_without_a_size_are_understood() {
    let old = r#"{"data_centre":"a","relay":"10.1.0.8:7440"}"#;
    let announced: Announced = serde_json::from_str(old).unwrap();
    assert_eq!(announced.vm, None);
    assert_eq!(serde_json::to_string(&announced).unwrap(), old);
}

#[test_case("\"listen\"", "\"lisen\"", "lisen"; "unknown key")]
#[test_case("10.1.0.8:8784", "front:8784", "front:8784"; "name instead of an address")]
#[test_case("6.5", "\"soon\"", "soon"; "not a number")]
#[test_case("\"store\"", "// \"store\"", "store"; "missing store")]
#[test_case("\"quota_overage\": 0.1", "\"quota_overage\": -0.1", "quota_overage"; "negative overage")]
#[test_case("\"cores\": 2", "\"cores\": 0", "cores must be above 0"; "no core")]
#[test_case("\"core_share\": 0.12", "\"core_share\": -1", "core_share must"; "negative share")]
#[test_case("\"link_mbps\": 10.0", "\"link_mbps\": 1e30", "link_mbps must"; "absurd link")]
#[test_case("\"link_mbps\": 10.0", "\"link\": 1", "link"; "unknown number of the VM")]
#[test_case("\"quota_window_s\": 5", "\"quota_window_s\": 0", "quota_window_s"; "no window")]
fn an_error_names_its_cause(from: &str, to: &str, named: &str) {
    let text = filled_template().replacen(from, to, 1);
    assert_ne!(text, filled_template(), "the replacement must match");
    let report = read(&text).unwrap_err();
    assert!(report.contains(named), "{report}");
}
