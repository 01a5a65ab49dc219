//! Which configurations the check accepts and rejects.

use model::config::{self, Fleet, Problem};
use model::settings::Acknowledge;
use test_case::test_case;

const GOOD: &str = r#"{
    // Two regions.
    "data_centres": { "attica-1": "attica", "macedonia-1": "macedonia" },
    "groups": { "ledger-1": { "instances": {
        "a": { "address": "127.0.0.1:5001", "data_centre": "attica-1" },
        "b": { "address": "127.0.0.1:5002", "data_centre": "attica-1" },
        "c": { "address": "127.0.0.1:5003", "data_centre": "macedonia-1" },
    } } },
    "classes": { "filing": { "weight": 8 } },
    "callers": { "broker": { "groups": ["ledger-1"], "class": "filing" } },
    "defaults": { "deadline": "5s" },
    "exceptions": [
        { "group": "ledger-1", "set": { "slots": 4 }, "reason": "larger machines since May" },
    ],
}"#;

fn problems(from: &str, to: &str) -> Vec<Problem> {
    let text = GOOD.replace(from, to);
    assert_ne!(text, GOOD, "the replacement must match");
    let fleet: Fleet = config::parse(&text).unwrap();
    fleet.check().into_iter().map(|f| f.problem).collect()
}

#[test]
fn good_configuration_has_no_findings() {
    let fleet: Fleet = config::parse(GOOD).unwrap();
    assert_eq!(fleet.check(), []);
    let settings = fleet.settings(&"ledger-1".parse().unwrap());
    assert_eq!((settings.slots, settings.connections), (4, 20));
    assert_eq!(settings.acknowledge, Acknowledge::Majority);
}

#[test_case("larger machines since May", "why not", Problem::MissingReason; "reason too short")]
#[test_case(r#""class": "filing""#, r#""class": "other""#, Problem::UnknownClass("other".parse().unwrap()); "unknown class")]
#[test_case(r#"["ledger-1"]"#, r#"["ledger-2"]"#, Problem::UnknownGroup("ledger-2".parse().unwrap()); "unknown group")]
#[test_case("5002", "5001", Problem::SharedAddress("127.0.0.1:5001".parse().unwrap()); "shared address")]
#[test_case(r#""deadline": "5s""#, r#""acknowledge": "primary""#, Problem::WeakDefault; "weak default")]
#[test_case(r#""slots": 4"#, r#""slots": 40"#, Problem::TooFewConnections { connections: 20, slots: 40 }; "slots above connections")]
#[test_case(r#""weight": 8"#, r#""weight": 0"#, Problem::Zero; "weight of zero")]
fn reports_one_problem(from: &str, to: &str, expected: Problem) {
    assert_eq!(problems(from, to), [expected]);
}

#[test_case(r#""deadline": "5s""#, r#""dedline": "5s""#; "unknown key")]
#[test_case(r#""deadline": "5s""#, r#""deadline": 5"#; "number without unit")]
#[test_case("127.0.0.1:5001", "localhost:5001"; "name instead of an address")]
#[test_case(", \"reason\": \"larger machines since May\"", ""; "exception without a reason")]
fn invalid_documents_are_rejected(from: &str, to: &str) {
    let text = GOOD.replace(from, to);
    assert_ne!(text, GOOD, "the replacement must match");
    assert!(config::parse::<Fleet>(&text).is_err());
}

#[test]
fn example_has_no_findings() {
    let text = include_str!("../../../examples/fleet.jsonc");
    let fleet: Fleet = config::parse(text).unwrap();
    assert_eq!(fleet.check(), []);
}
