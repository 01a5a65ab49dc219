//! The command line and what it prints.

use ctl::cli::{self, Action};
use ctl::diff;
use ctl::error::Failure;
use ctl::file;
use model::config::Fleet;
use model::unit::Span;
use test_case::test_case;

#[test]
fn the_command_line_is_consistent() {
    cli::command().debug_assert();
}

#[test_case(&["status", "--wait"], Some(Span::from_millis(30_000)); "default wait")]
#[test_case(&["status", "--wait", "5s"], Some(Span::from_millis(5_000)); "stated wait")]
#[test_case(&["status"], None; "no wait")]
fn status_waits_if_asked(args: &[&str], wait: Option<Span>) {
    let args = ["pomelo-ctl"].iter().chain(args);
    let matches = cli::command().get_matches_from(args);
    assert_eq!(cli::config(&matches).action, Action::Status { wait });
}

#[test]
fn a_conflict_cannot_be_overridden() {
    let args = ["pomelo-ctl", "apply", "fleet.jsonc", "--force"];
    assert!(cli::command().try_get_matches_from(args).is_err());
}

#[test]
fn faults_are_all_reported() {
    let text = r#"{ "data_centres": {}, "groups": {}, "callers": {},
        "exceptions": [{ "group": "a", "set": {}, "reason": "" }] }"#;
    let Err(Failure::Findings(faults)) = file::check("fleet.jsonc", text) else {
        panic!("the file has faults");
    };
    let report = format!(
        "{:?}",
        miette::Report::new(faults.into_iter().next().unwrap())
    );
    assert!(report.contains("fleet.jsonc:2"), "{report}");
    assert!(report.contains("declare it under groups"), "{report}");
}

/// A difference is pasted into chats and tickets; passwords must not be part of it.
#[test]
fn secrets_are_not_shown() {
    let group = |password: &str| {
        let text = format!(
            r#"{{ "data_centres": {{}}, "callers": {{}}, "groups": {{ "g": {{
                "instances": {{}}, "password": "{password}" }} }} }}"#
        );
        serde_json::from_str::<Fleet>(&text).unwrap()
    };
    let changed = diff::compare(&group("first"), &group("second")).unwrap();
    let added = diff::compare(&Fleet::default(), &group("first")).unwrap();
    let shown = format!("{} {}", changed[0], added[0]);
    assert!(shown.contains("(hidden)"));
    assert!(
        !shown.contains("first") && !shown.contains("second"),
        "{shown}"
    );
}
