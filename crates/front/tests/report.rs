//! Reports of proxies to the coordinator, past the store.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use front::concern::{Board, Concern, Concerns};
use front::cx::Cx;
use front::metrics::Metrics;
use front::place::Ways;
use front::relay::{self, Client};
use front::{clock, stop};
use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::unit::Span;
use policy::primary_monitor::Suspicion;

fn group() -> GroupId {
    "ledger".parse().unwrap()
}

fn proxy(name: &str) -> ProxyId {
    name.parse().unwrap()
}

fn doubt() -> Concerns {
    let instance: InstanceId = "i-1".parse().unwrap();
    let concern = Concern {
        doubt: Some((instance, Suspicion::Unreachable)),
        lags: false,
    };
    [(group(), concern)].into_iter().collect()
}

/// The store turns a proxy away that has lost a primary. Its doubt reaches the coordinator
/// all the same, over the connections between proxies.
#[test]
fn a_report_reaches_the_coordinator_without_the_store() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let ways = Ways::new("dc".parse().unwrap(), IndexMap::new());
        let (_stopper, stop) = stop::pair();
        let cx = Rc::new(Cx::new(ways, Metrics::new().unwrap(), stop));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        compio::runtime::spawn(relay::serve(cx.clone(), listener)).detach();
        let client = Client::default();
        for _ in 0..2 {
            assert!(
                client
                    .report(&proxy("c"), address, &proxy("p"), &doubt())
                    .await
            );
        }
        let about = cx.reports.about(&group(), clock::now());
        assert_eq!(about, [(proxy("p"), doubt()[&group()].clone())]);
        let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
        assert!(
            !client
                .report(&proxy("gone"), nobody, &proxy("p"), &doubt())
                .await
        );
    });
}

/// The coordinator is out of reach, or there is none: doubts go through the store, but not
/// in the usual case, where each would wake every proxy of the fleet.
#[test]
fn what_the_coordinator_does_not_hear_goes_through_the_store() {
    let board = Board::default();
    board.set_own(&group(), doubt()[&group()].clone());
    let now = clock::now() + Span::from_millis(10_000);
    let after = |ms| now + Span::from_millis(ms);
    board.set_heard(false, now);
    assert!(board.unheard(after(200)).is_empty());
    board.set_heard(false, after(250));
    assert_eq!(board.unheard(after(350)), doubt());
    board.set_heard(true, after(400));
    assert!(board.unheard(after(900)).is_empty());
}

/// A proxy that is cut off stops reporting; what it told last does not count for long.
#[test]
fn a_report_is_forgotten() {
    let board = Board::default();
    let now = clock::now() + Span::from_millis(10_000);
    board.told(proxy("p"), doubt(), now);
    let about = |after| board.about(&group(), now + Span::from_millis(after)).len();
    assert_eq!((about(900), about(1_100)), (1, 0));
    board.told(proxy("p"), doubt(), now);
    board.told(proxy("p"), Concerns::default(), now);
    assert_eq!(about(0), 0);
}
