//! Errors in settings files are reported with the right line.

use model::config::Fleet;
use model::source::Source;
use test_case::test_case;

const FLEET: &str = r#"{
  // Two data centres would do for a test.
  "data_centres": { "a": "north" },
  "groups": {
    "ledger": {
      "instances": {
        "l1": { "address": "127.0.1.1:5432", "data_centre": "a" },
        "l2": { "address": "127.0.1.2:5432", "data_centre": "b" },
        "l3": { "address": "127.0.1.3:5432", "data_centre": "a" },
      },
    },
  },
  "callers": {},
  "defaults": { "deadline": "5s" },
  "exceptions": [
    { "group": "ledger", "set": { "queue": 10 }, "reason": "no" },
  ],
}"#;

#[test_case("\"5s\"", "\"5 apples\"", 14, "unknown unit"; "wrong unit")]
#[test_case("\"deadline\"", "\"dead_line\"", 14, "unknown field `dead_line`"; "unknown key")]
#[test_case("127.0.1.3:5432", "127.0.1.3", 9, "invalid socket address"; "wrong address")]
#[test_case("\"callers\": {},", "", 1, "missing field `callers`"; "missing key")]
#[test_case("\"groups\": {", "\"groups\": }", 4, ""; "syntax")]
fn a_parse_error_has_its_line(from: &str, to: &str, line: usize, message: &str) {
    let source = Source::new("fleet.jsonc", FLEET.replace(from, to));
    let located = source.parse::<Fleet>().expect_err("an error is expected");
    assert_eq!(located.line, line, "{located}");
    assert!(located.to_string().contains(message), "{located}");
    assert!(!located.error.hint().is_empty());
}

#[test]
fn findings_have_their_lines() {
    let source = Source::new("fleet.jsonc", FLEET);
    let fleet: Fleet = source
        .parse()
        .expect("the file is valid JSON of the expected format");
    let findings = fleet.check().into_iter().map(|f| source.locate(f));
    let locations: Vec<_> = findings.map(|l| (l.line, l.to_string())).collect();
    assert_eq!(
        locations,
        [
            (8, "data centre b is not declared".to_owned()),
            (
                16,
                "an exception needs a reason of at least 10 characters".to_owned()
            ),
        ]
    );
}
