//! Reports of proxies to the coordinator, which do not pass through the store.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use front::cx::Cx;
use front::distance::Distances;
use front::health::{GroupReport, ReportBoard, Reports};
use front::metrics::Metrics;
use front::relay::{self, Client};
use front::{clock, stop};
use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::unit::Span;
use policy::primary_monitor::Suspicion;
use policy::quota::Terms;

fn group() -> GroupId {
    "ledger".parse().unwrap()
}

fn proxy(name: &str) -> ProxyId {
    name.parse().unwrap()
}

fn suspicion() -> Reports {
    let instance: InstanceId = "i-1".parse().unwrap();
    let group_report = GroupReport {
        suspicion: Some((instance, Suspicion::Unreachable)),
        lags: false,
    };
    [(group(), group_report)].into_iter().collect()
}

/// The store rejects the requests of a proxy that has lost contact with a primary. Its suspicion
/// still reaches the coordinator, over the connections between proxies.
#[test]
fn a_report_reaches_the_coordinator_without_the_store() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let distances = Distances::new("dc".parse().unwrap(), IndexMap::new());
        let (_stopper, stop) = stop::pair();
        let cx = Rc::new(Cx::new(
            "p1".parse().unwrap(),
            Terms::default(),
            distances,
            Metrics::new().unwrap(),
            stop,
        ));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        compio::runtime::spawn(relay::serve(cx.clone(), listener)).detach();
        let client = Client::default();
        for _ in 0..2 {
            assert!(
                client
                    .report(&proxy("c"), address, &proxy("p"), &suspicion())
                    .await
            );
        }
        let reports = cx.reports.for_group(&group(), clock::now());
        assert_eq!(reports, [(proxy("p"), suspicion()[&group()].clone())]);
        let unreachable: SocketAddr = "127.0.0.1:9".parse().unwrap();
        assert!(
            !client
                .report(&proxy("gone"), unreachable, &proxy("p"), &suspicion())
                .await
        );
    });
}

/// The coordinator is unreachable, or there is none: suspicions are written to the store, but not
/// in the usual case, where each would wake every proxy of the fleet.
#[test]
fn undelivered_reports_are_written_to_the_store() {
    let board = ReportBoard::default();
    board.set_own(&group(), suspicion()[&group()].clone());
    let now = clock::now() + Span::from_millis(10_000);
    let after = |ms| now + Span::from_millis(ms);
    board.set_delivered(false, now);
    assert!(board.undelivered(after(200)).is_empty());
    board.set_delivered(false, after(250));
    assert_eq!(board.undelivered(after(350)), suspicion());
    board.set_delivered(true, after(400));
    assert!(board.undelivered(after(900)).is_empty());
}

/// A partitioned proxy stops reporting; its last reports expire.
#[test]
fn a_report_expires() {
    let board = ReportBoard::default();
    let now = clock::now() + Span::from_millis(10_000);
    board.receive(proxy("p"), suspicion(), now);
    let reports = |after| {
        board
            .for_group(&group(), now + Span::from_millis(after))
            .len()
    };
    assert_eq!((reports(900), reports(1_100)), (1, 0));
    board.receive(proxy("p"), suspicion(), now);
    board.receive(proxy("p"), Reports::default(), now);
    assert_eq!(reports(0), 0);
}
