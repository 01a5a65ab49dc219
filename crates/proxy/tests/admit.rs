//! The admission task: slots are handed over, freed and refused in time.

use std::time::{Duration, Instant};

use model::id::InstanceId;
use model::unit::Span;
use policy::admission::Limits;
use policy::service_time::Shape;
use policy::slots::Share;
use proxy::admit::{self, EnterError, Handle, Permit, Ticket};

const ONE_SLOT: Limits = Limits {
    share: Share {
        slots: 1,
        total_connections: 1,
        connections: 1,
        round_trip: Span::from_millis(0),
    },
    queue: 10,
};

fn instance() -> InstanceId {
    "db-1".parse().unwrap()
}

async fn enter(handle: &Handle, wait: Duration) -> Result<Permit, EnterError> {
    let ticket = Ticket {
        caller: "a".parse().unwrap(),
        weight: 1,
        class: "lookup".parse().unwrap(),
        class_weight: 1,
        cost: Shape(0),
        deadline: Instant::now() + wait,
    };
    handle.enter(ticket, &instance()).await
}

// A caller holds the only slot and its connection breaks. The next caller gets
// the slot, because a dropped permit frees it however the request ended.
#[compio::test]
async fn dropped_permit_frees_its_slot() {
    let handle = admit::spawn(ONE_SLOT);
    let first = enter(&handle, Duration::from_secs(60)).await.unwrap();
    let other = handle.clone();
    let second =
        compio::runtime::spawn(async move { enter(&other, Duration::from_secs(60)).await });
    compio::time::sleep(Duration::from_millis(1)).await;
    drop(first);
    second.await.unwrap().unwrap();
}

// A caller holds the only slot for long, and a second one with a short deadline
// waits. It is refused while the first still holds the slot.
#[compio::test]
async fn refused_while_the_slot_is_held() {
    let handle = admit::spawn(ONE_SLOT);
    let _first = enter(&handle, Duration::from_secs(60)).await.unwrap();
    let refused = enter(&handle, Duration::from_millis(50)).await;
    assert!(
        matches!(refused, Err(EnterError::Refused(_))),
        "{refused:?}"
    );
}

// A caller gives up while it waits, and the slot is freed afterwards. The slot
// is not lost to the caller that is gone.
#[compio::test]
async fn caller_that_went_away_keeps_no_slot() {
    let handle = admit::spawn(ONE_SLOT);
    let first = enter(&handle, Duration::from_secs(60)).await.unwrap();
    let given_up = compio::time::timeout(
        Duration::from_millis(1),
        enter(&handle, Duration::from_secs(60)),
    );
    assert!(given_up.await.is_err());
    drop(first);
    enter(&handle, Duration::from_secs(60)).await.unwrap();
}
