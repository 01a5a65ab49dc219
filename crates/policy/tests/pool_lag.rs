//! How many reads are sent to replicas that lag for seconds, where callers belong to customers.

use std::collections::VecDeque;

use model::customer::CustomerPriority;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, Pool};
use policy::proof::Proof;

/// Time from the grant of a read to its reply or refusal, in milliseconds.
const ROUND_TRIP: u64 = 10;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn entry(name: &str) -> Entry {
    Entry {
        id: id(name),
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 5,
        leaving: false,
        claims_primary: name == "p",
        started_at: 1,
    }
}

fn read(now: u64) -> ConnRequest {
    ConnRequest {
        kind: Kind::Read(Guarantee::Bounded(Span::from_millis(1_500))),
        customer: None,
        customer_priority: CustomerPriority::default(),
        own_write: None,
        arrived: at(now),
        objective: Span::from_millis(1_000),
        deadline: at(now + 1_000),
        priority: 1,
        avoid: None,
        may_wait: true,
    }
}

/// Reads that were refused, and reads that the replicas served, from `from` on.
#[derive(Default)]
struct Counts {
    refused: u32,
    by_replicas: u32,
}

/// Sends a read every five milliseconds while both replicas receive nothing from 2 to 6 s. The
/// log grows by one each 10 ms.
fn simulate() -> (Counts, Counts) {
    let mut pool: Pool<u32, u32> = Pool::new();
    pool.set_by_customer(true);
    pool.set_shares(200, 1, true);
    let entries = ["p", "a", "b"].map(entry);
    pool.set_entries(&entries, |_| Span::from_millis(1), at(0));
    let (mut lagging, mut after) = (Counts::default(), Counts::default());
    let mut running: VecDeque<(u64, InstanceId, u32, Option<Point>)> = VecDeque::new();
    for now in 1..8_000_u64 {
        let counts = if now < 6_400 {
            &mut lagging
        } else {
            &mut after
        };
        let mut actions = Vec::new();
        if now % 100 == 0 {
            let proof = Proof {
                since: at(now),
                point: Point::new(1, now / 10),
            };
            pool.record_proof(&id("p"), proof);
        }
        while running.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, instance, conn, after) = running.pop_front().unwrap();
            let is_replica = instance != id("p");
            let held = match now {
                2_000..6_000 if is_replica => Point::new(1, 200),
                _ => Point::new(1, now / 10),
            };
            if let Some(point) = after.filter(|point| *point > held) {
                pool.record_lack(&instance, point, at(now));
                counts.refused += 1;
            } else {
                counts.by_replicas += u32::from(is_replica);
            }
            pool.record_log_end(&instance, held);
            actions.extend(pool.release(&instance, Some(conn), None, at(now)));
        }
        if now % 5 == 0 && now > 1_600 {
            actions.extend(pool.request(read(now), 0, at(now)));
        }
        if now % 50 == 0 {
            actions.extend(pool.tick(at(now)));
        }
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Open(instance, owner) => {
                    let opened = pool.open_completed(&instance, owner.as_ref(), Ok(0), at(now));
                    actions.extend(opened);
                }
                Action::Grant(_, grant) => {
                    let end = now + ROUND_TRIP;
                    running.push_back((end, grant.instance, grant.conn, grant.after));
                }
                Action::Reject(_, rejection) => panic!("{rejection}"),
                Action::Close(_) => {}
            }
        }
    }
    (lagging, after)
}

/// Load: both replicas receive nothing for four seconds, beside 200 reads a second. Nearly all
/// reads go to the primary without an attempt at a replica.
#[test]
fn few_reads_are_sent_to_lagging_replicas() {
    let (lagging, _) = simulate();
    let reads = (6_400 - 1_600) / 5;
    assert!(
        lagging.refused * 50 <= reads,
        "{} of {reads} refused",
        lagging.refused
    );
}

/// Replicas that have caught up serve reads again within the interval between two tests.
#[test]
fn replicas_that_have_caught_up_serve_reads_again() {
    let (_, after) = simulate();
    let reads = (8_000 - 6_400) / 5;
    assert_eq!(after.refused, 0);
    assert!(
        after.by_replicas * 10 >= reads * 9,
        "{} of {reads}",
        after.by_replicas
    );
}
