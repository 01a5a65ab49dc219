//! Which connections count for proofs of writes while changes of primary come and go.

use front::changes::Changes;
use indexmap::IndexSet;
use model::id::GroupId;
use model::unit::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn groups(names: &[&str]) -> IndexSet<GroupId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against a replica that counts although it restarted during a change of primary, and
/// against a change of one group that holds up the writes of another.
#[test]
fn connections_opened_during_a_change_count_after_it() {
    let changes = Changes::default();
    let counts = |name: &str, opened| changes.counts(&name.parse().unwrap(), at(opened));
    assert!(!counts("a", 5));
    changes.take(at(10), &groups(&[]));
    assert!(counts("a", 5) && counts("b", 5));
    changes.take(at(30), &groups(&["a"]));
    assert!(counts("a", 5), "it was open before the change");
    assert!(!counts("a", 20), "it may be that of a restarted instance");
    assert!(counts("b", 20));
    changes.take(at(40), &groups(&["a"]));
    assert!(!counts("a", 20));
    changes.take(at(50), &groups(&[]));
    assert!(counts("a", 45));
}

/// Guards against the first answer that a proxy hears in the middle of a change.
#[test]
fn nothing_counts_for_a_proxy_that_starts_during_a_change() {
    let changes = Changes::default();
    changes.take(at(10), &groups(&["a"]));
    assert!(!changes.counts(&"a".parse().unwrap(), at(5)));
}
