//! Operators put configurations in force.

use std::time::Duration;

use ctl::apply::{self, Applied};
use ctl::error::Failure;
use ctl::file::{self, Checked};
use model::position::Revision;
use standin::platform::Fault;
use standin::{Fleet, Spec};
use store::Client;

fn client(fleet: &Fleet) -> Client {
    let address = fleet.addresses().platform[0];
    Client::with_time_limit(vec![format!("http://{address}")], Duration::from_secs(1)).unwrap()
}

/// A file that an operator got at `base` and changed.
fn edited(fleet: &Fleet, base: u64, queue: u32) -> Checked {
    let mut document = fleet.document();
    document.defaults.queue = queue;
    let text = file::write(&document, Revision(base)).unwrap();
    file::check("fleet.jsonc", &text).unwrap()
}

async fn apply_first(client: &Client, fleet: &Fleet) -> Revision {
    match apply::apply(client, &edited(fleet, 0, 100), None, "n0").await {
        Ok(Applied::Changed(revision, _)) => revision,
        other => panic!("the first configuration should be applied: {other:?}"),
    }
}

/// Two operators get the same revision, and each changes the queue. If the second
/// application won, the first operator's accepted change would be gone without a word.
#[compio::test]
async fn the_second_of_two_operators_sees_what_the_first_changed() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let base = apply_first(&client, &fleet).await;
    let (first, second) = (edited(&fleet, base.0, 200), edited(&fleet, base.0, 300));
    let applied = apply::apply(&client, &first, None, "n1").await;
    assert!(matches!(applied, Ok(Applied::Changed(..))));
    let refused = apply::apply(&client, &second, None, "n2").await;
    let Err(Failure::Conflict {
        base: from,
        current,
        differences,
    }) = refused
    else {
        panic!("a conflict is expected: {refused:?}");
    };
    assert!(from == base && current > base);
    let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["~ defaults.queue: 200 -> 300"]);
    let stored = client.load_config().await.unwrap();
    assert_eq!(stored.fleet.defaults.queue, 200);
}

/// The store carries out the change and its answer is lost. The operator is told that
/// it is applied, and a second try of the same file changes nothing.
#[compio::test]
async fn a_lost_answer_is_settled() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let base = apply_first(&client, &fleet).await;
    fleet.control().store(Fault::LoseAnswers(1)).unwrap();
    let file = edited(&fleet, base.0, 200);
    let Ok(Applied::Changed(revision, _)) = apply::apply(&client, &file, None, "n1").await else {
        panic!("the change took effect");
    };
    let again = apply::apply(&client, &file, None, "n2").await;
    assert!(matches!(again, Ok(Applied::Unchanged(r)) if r == revision));
}

#[compio::test]
async fn a_file_that_names_no_revision_replaces_nothing() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let base = apply_first(&client, &fleet).await;
    let mut file = edited(&fleet, base.0, 200);
    file.base = None;
    let refused = apply::apply(&client, &file, None, "n1").await;
    assert!(matches!(refused, Err(Failure::NoBase(current)) if current == base));
    let stated = apply::apply(&client, &file, Some(base), "n1").await;
    assert!(matches!(stated, Ok(Applied::Changed(..))));
}

#[compio::test]
async fn an_outage_is_not_taken_for_an_empty_store() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    fleet.control().store(Fault::Down).unwrap();
    let refused = apply::apply(&client, &edited(&fleet, 0, 200), None, "n1").await;
    assert!(matches!(refused, Err(Failure::Config(_))));
}
