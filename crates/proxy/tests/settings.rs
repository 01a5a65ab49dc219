//! The settings file of a proxy: the example is valid, faults are named.

use std::io::Write as _;

use proxy::cli;
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/proxy.jsonc");

fn read(text: &str) -> Result<proxy::config::Config, String> {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    cli::read(file.path()).map_err(|e| format!("{e:?}"))
}

#[test]
fn the_example_is_valid_with_and_without_its_options() {
    let cfg = read(EXAMPLE).unwrap();
    assert_eq!(cfg.seeds.len(), 2);
    let all = EXAMPLE.replace("// \"t", "\"t");
    let cfg = read(&all).unwrap();
    assert!(cfg.tls.is_some() && cfg.traces.is_some());
}

#[test_case("\"listen\"", "\"lisen\"", "lisen"; "unknown key")]
#[test_case("10.1.1.21:6432", "proxy:6432", "proxy:6432"; "name instead of an address")]
#[test_case("\"drain\": \"30s\"", "\"drain\": \"30 parsecs\"", "parsecs"; "unknown unit")]
#[test_case("\"secret\"", "// \"secret\"", "secret"; "missing secret")]
fn a_fault_is_named(from: &str, to: &str, named: &str) {
    let text = EXAMPLE.replace(from, to);
    assert_ne!(text, EXAMPLE, "the replacement must match");
    let report = read(&text).unwrap_err();
    assert!(report.contains(named), "{report}");
}
