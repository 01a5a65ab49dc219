//! Group tasks of three proxies against the stand-ins' instances and store.

mod bed;

use std::time::Duration;

use bed::Bed;
use model::position::Term;
use model::unit::Span;
use policy::decision::{Phase, What};
use policy::route::{ReadNeed, RouteError};
use policy::status::Role;
use standin::Spec;

fn block_on<T>(f: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(f)
}

// A clerk writes through one proxy and reads through another, with and without the token.
#[test]
fn a_write_is_confirmed_and_read_elsewhere() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        let point = bed.write(0).await.unwrap();
        for point in [Some(point), None] {
            let need = ReadNeed {
                point,
                max_age: None,
            };
            let target = bed.handles[1].route_read(need, bed::deadline()).await;
            assert_eq!(bed.count(&target.unwrap()).await, 1);
        }
    });
}

// A list of kiosks of a stated age comes from a replica, not from the primary.
#[test]
fn a_read_of_a_stated_age_goes_to_a_replica() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        bed.write(0).await.unwrap();
        compio::time::sleep(Duration::from_millis(300)).await;
        let need = ReadNeed {
            point: None,
            max_age: Some(Span::from_millis(5_000)),
        };
        let target = bed.handles[2].route_read(need, bed::deadline()).await;
        assert_eq!(target.unwrap().role, Role::Replica);
    });
}

// The primary's process dies. A write that is waiting runs on the new primary, every
// stage of the change is on record, and the old primary follows once it is back.
#[test]
fn a_killed_primary_is_replaced_and_follows_later() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        bed.write(1).await.unwrap();
        let old = bed.primary(1).await;
        bed.fleet.control().kill(&old).unwrap();
        let point = bed.write(1).await.unwrap();
        assert!(point.term > Term(1));
        bed.fleet.control().restart(&old).unwrap();
        bed.until(|bed| {
            let status = bed.fleet.control().status(&old).unwrap();
            status.role == "replica" && status.history.term() == point.term
        })
        .await;
        let phases = bed.phases().await;
        for phase in [Phase::Detect, Phase::Claim, Phase::Fence, Phase::Promote] {
            assert!(phases.iter().any(|(p, _)| *p == phase), "{phase}");
        }
    });
}

// Something between proxy and primary forgets every open connection. New ones work, so
// the primary stays, and writes go on.
#[test]
fn silent_connections_promote_nobody() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        bed.write(0).await.unwrap();
        let primary = bed.primary(0).await;
        bed.fleet.control().silence_open(&primary).unwrap();
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let point = bed.write(0).await.unwrap();
        assert_eq!(point.term, Term(1));
        assert!(!bed.decided(|w| matches!(w, What::Replace(..))).await);
    });
}

// The primary stalls for 300 ms: writes wait and run on it afterwards.
#[test]
fn a_stall_of_300_ms_promotes_nobody() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        bed.write(0).await.unwrap();
        let primary = bed.primary(0).await;
        let stall = Duration::from_millis(300);
        bed.fleet.control().pause(&primary, stall).unwrap();
        let point = bed.write(0).await.unwrap();
        assert_eq!(point.term, Term(1));
        assert!(!bed.decided(|w| matches!(w, What::Replace(..))).await);
    });
}

// A data centre does not reach the primary while the others do. Its writes are routed
// through a proxy that reaches the primary, which stays.
#[test]
fn a_proxy_that_does_not_reach_the_primary_names_one_that_does() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        bed.write(2).await.unwrap();
        for (from, to) in [(0, 2), (2, 0)] {
            bed.fleet.control().cut(from, to).unwrap();
        }
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let route = bed.handles[2].route_write(None, bed::deadline()).await;
        let target = route.unwrap();
        assert_eq!(target.instance, bed.primary(0).await);
        assert!(target.via.is_some(), "{target:?}");
        let point = bed.write(1).await.unwrap();
        assert_eq!(point.term, Term(1));
    });
}

// Two of three instances are gone: a write is refused as not run, and the caller is told
// when to come back.
#[test]
fn without_a_majority_writes_are_refused() {
    block_on(async {
        let bed = Bed::start(&Spec::small());
        bed.write(0).await.unwrap();
        let ids: Vec<_> = bed.fleet.addresses().instances.keys().cloned().collect();
        bed.fleet.control().kill(&ids[1]).unwrap();
        bed.fleet.control().kill(&ids[2]).unwrap();
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let refusal = bed.handles[0].route_write(None, bed::deadline()).await;
        let refusal = refusal.unwrap_err();
        assert!(matches!(refusal, RouteError::NoMajority { .. }));
        assert!(refusal.retry_after().is_some());
    });
}
