//! A configuration is decoded unchanged, stored as one value or in parts.

use std::collections::HashMap;

use model::config::Fleet;
use model::document::{self, DocumentError};

fn fleet(groups: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet
        .data_centres
        .insert("a".parse().unwrap(), "north".parse().unwrap());
    for at in 0..groups {
        let instances = (0..3).map(|i| {
            let address = format!("10.{}.{}.{i}:5432", at / 250, at % 250);
            let instance = serde_json::json!({ "address": address, "data_centre": "a" });
            (format!("db-{at}-{i}"), instance)
        });
        let group = serde_json::json!({ "instances": instances.collect::<HashMap<_, _>>() });
        let id = format!("db-{at}").parse().unwrap();
        fleet
            .groups
            .insert(id, serde_json::from_value(group).unwrap());
    }
    fleet
}

fn stored(encoded: &document::Encoded) -> HashMap<String, Vec<u8>> {
    let pairs = encoded
        .parts
        .iter()
        .map(|p| (p.key.clone(), p.value.clone()));
    pairs.collect()
}

#[test_case::test_case(9, 0; "one value")]
#[test_case::test_case(2_000, 1; "in parts")]
fn a_stored_fleet_is_decoded_unchanged(groups: usize, least: usize) {
    let fleet = fleet(groups);
    let encoded = document::encode(&fleet, "n1").unwrap();
    assert!(encoded.parts.len() >= least && encoded.parts.is_empty() == (least == 0));
    assert!(encoded.head.len() <= document::SINGLE_VALUE_LIMIT);
    let parts = stored(&encoded);
    let part = |key: &str| parts.get(key).map(Vec::as_slice);
    assert_eq!(document::decode(&encoded.head, part).unwrap(), fleet);
    let keys = document::referenced_keys(&encoded.head, part).unwrap();
    assert_eq!(keys.len(), encoded.parts.len());
}

/// A proxy that received the head before its parts would otherwise serve a fleet without
/// some of its groups, and report to their callers that these do not exist.
#[test]
fn a_missing_part_is_an_error() {
    let encoded = document::encode(&fleet(2_000), "n1").unwrap();
    let mut parts = stored(&encoded);
    let missing = encoded.parts[7].key.clone();
    parts.remove(&missing);
    let result = document::decode(&encoded.head, |key| parts.get(key).map(Vec::as_slice));
    assert!(matches!(result, Err(DocumentError::MissingPart(_))));
}

#[test]
fn a_change_of_one_group_changes_three_values() {
    let before = fleet(2_000);
    let mut after = before.clone();
    after.groups[5].database = "other".into();
    let old = stored(&document::encode(&before, "n1").unwrap());
    let new = stored(&document::encode(&after, "n2").unwrap());
    let changed = new.keys().filter(|key| !old.contains_key(*key)).count();
    assert_eq!(
        changed, 2,
        "one leaf and one index part; the head is the third"
    );
}

/// A decoder keeps unchanged leaves from one configuration to the next. After a group was
/// changed, removed or restored, no older version of it may remain.
#[test]
fn a_decoder_applies_changes() {
    let mut decoder = document::Decoder::default();
    let mut stored_parts = HashMap::new();
    let mut fleet = fleet(2_000);
    let all = fleet.groups.clone();
    for step in 0..30_usize {
        match step % 3 {
            0 => fleet.groups[step * 7].database = format!("name-{step}"),
            1 => drop(fleet.groups.swap_remove_index(step)),
            _ => fleet.groups.extend(all.clone().into_iter().take(step * 60)),
        }
        let encoded = document::encode(&fleet, &step.to_string()).unwrap();
        stored_parts.extend(stored(&encoded));
        let part = |key: &str| stored_parts.get(key).map(Vec::as_slice);
        assert_eq!(
            decoder.decode(&encoded.head, part).unwrap(),
            fleet,
            "step {step}"
        );
    }
}

#[test]
fn a_plain_document_is_decoded() {
    let fleet = fleet(3);
    let plain = serde_json::to_vec(&fleet).unwrap();
    assert_eq!(document::decode(&plain, |_| None).unwrap(), fleet);
}
