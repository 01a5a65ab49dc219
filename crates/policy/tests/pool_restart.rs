//! How soon each proxy has its share of the connections after a fleet restarts at once, while
//! an instance still holds the earlier connections.

use model::customer::CustomerPriority;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, OpenError, Pool};
use policy::proof::Proof;

/// Connections that the instance accepts, and proxies that share them.
const CONNECTIONS: u32 = 108;
const PROXIES: u32 = 24;

/// When the instance drops the earlier connections.
const DROPPED_AT: u64 = 1_500;

const STEP: u64 = 10;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn id() -> InstanceId {
    "p".parse().unwrap()
}

fn pool() -> Pool<(), u32> {
    let entry = Entry {
        id: id(),
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 3,
        leaving: false,
        claims_primary: true,
        started_at: 1,
    };
    let mut pool = Pool::new();
    pool.set_shares(CONNECTIONS, PROXIES, true);
    pool.set_entries(&[entry], |_| Span::from_millis(1), at(0));
    let proof = Proof {
        since: at(0),
        point: Point::new(1, 7),
    };
    pool.record_proof(&id(), proof);
    pool
}

fn request() -> ConnRequest {
    ConnRequest {
        kind: Kind::Write,
        customer: None,
        customer_priority: CustomerPriority::default(),
        own_write: None,
        arrived: at(0),
        objective: Span::from_millis(60_000),
        deadline: at(60_000),
        priority: 1,
        avoid: None,
        may_wait: true,
    }
}

fn opens(actions: &[Action<(), u32>]) -> usize {
    let open = |a: &&Action<_, _>| matches!(a, Action::Open(..));
    actions.iter().filter(open).count()
}

/// Simulates the restart; returns the refusals by the instance, and each proxy's connections at
/// the end. Every proxy has as many transactions as its share, which keep their connections.
fn simulate(until: u64) -> (u32, Vec<u32>) {
    let mut pools: Vec<_> = (0..PROXIES).map(|_| pool()).collect();
    let mut refused = 0;
    for pool in &mut pools {
        for waiter in 0..CONNECTIONS / PROXIES {
            pool.request(request(), waiter, at(0));
        }
    }
    let mut taken = 0;
    let mut opening: Vec<_> = pools
        .iter()
        .map(|p| p.instance(&id()).unwrap().opening())
        .collect();
    for now in (0..until).step_by(STEP as usize) {
        let old_connections = if now < DROPPED_AT {
            CONNECTIONS - 12
        } else {
            0
        };
        for (pool, opening) in pools.iter_mut().zip(&mut opening) {
            for _ in 0..std::mem::take(opening) {
                let full = old_connections + taken >= CONNECTIONS;
                let result = if full { Err(OpenError::Full) } else { Ok(()) };
                taken += u32::from(!full);
                refused += u32::from(full);
                let actions = pool.open_completed(&id(), None, result, at(now));
                *opening += opens(&actions) as u32;
            }
            *opening += opens(&pool.tick(at(now))) as u32;
        }
    }
    let count = |p: &Pool<_, _>| p.instance(&id()).unwrap().count();
    (refused, pools.iter().map(count).collect())
}

/// Guards against callers of a few proxies that wait for seconds while all others are served:
/// proxies that the instance had refused continued with one connection.
#[test]
fn each_proxy_soon_has_its_share_after_a_restart() {
    let (_, counts) = simulate(DROPPED_AT + 1_500);
    let fewest = counts.iter().min().copied().unwrap();
    assert_eq!(fewest, CONNECTIONS / PROXIES, "{counts:?}");
}

/// Guards against a fleet that keeps an instance busy with refusals: each costs it as much as a
/// connection.
#[test]
fn a_full_instance_is_retried_rarely() {
    let (refused, _) = simulate(DROPPED_AT);
    let each = refused.div_ceil(PROXIES);
    assert!(each <= 10, "{refused} refusals of {PROXIES} proxies");
}
