//! Stand-ins and the group tasks of one proxy in each data centre.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::id::{InstanceId, ProxyId};
use model::position::Point;
use model::unit::Span;
use policy::decision::{Phase, What};
use policy::message::{Peer, PeerReport, Recipients};
use policy::route::{Failure, Target};
use proxy::admit;
use proxy::group::{self, Handle, Setup};
use standin::Fleet;
use standin::Spec;

const PATIENCE: Duration = Duration::from_secs(10);
const TABLE: &str = "CREATE TABLE IF NOT EXISTS records (id INTEGER PRIMARY KEY, note TEXT)";
const INSERT: &str = "INSERT INTO records (note) VALUES ('steel')";

pub(crate) struct Bed {
    pub(crate) fleet: Fleet,
    pub(crate) handles: Vec<Handle>,
}

pub(crate) fn deadline() -> Instant {
    Instant::now() + PATIENCE
}

impl Bed {
    pub(crate) fn start(spec: &Spec) -> Self {
        let fleet = Fleet::start(spec.clone()).unwrap();
        let document = Arc::new(fleet.document());
        let mut handles = Vec::new();
        let mut outboxes = Vec::new();
        let mut peers = Vec::new();
        for (at, centre) in spec.data_centres.iter().enumerate() {
            let (tell, outbox) = flume::unbounded();
            let me: ProxyId = format!("p{at}").parse().unwrap();
            let location = document.location(&centre.name).unwrap();
            peers.push(Peer {
                id: me.clone(),
                location: location.clone(),
            });
            let url = fleet.store_url(&centre.name).unwrap();
            handles.push(group::spawn(Setup {
                group: spec.groups[0].clone(),
                me,
                location,
                address: IpAddr::from([127, 0, at as u8 + 1, 100]),
                admit: admit::spawn(policy::admission::Limits {
                    share: policy::slots::Share {
                        slots: 3,
                        total_connections: 20,
                        connections: 20,
                        round_trip: model::unit::Span::from_millis(1),
                    },
                    queue: 100,
                }),
                fleet: document.clone(),
                store: store::client::Client::new(vec![url]).unwrap(),
                tell,
                tracer: proxy::trace::Tracer::off(),
                seed: at as u64,
            }));
            outboxes.push(outbox);
        }
        for handle in &handles {
            handle.peers(peers.clone());
        }
        let ids: Vec<_> = peers.into_iter().map(|p| p.id).collect();
        for (at, outbox) in outboxes.into_iter().enumerate() {
            let pairs = ids.iter().cloned().zip(handles.iter().cloned());
            let others: Vec<_> = pairs.filter(|(id, _)| *id != ids[at]).collect();
            compio::runtime::spawn(carry(outbox, others)).detach();
        }
        Self { fleet, handles }
    }

    pub(crate) async fn primary(&self, proxy: usize) -> InstanceId {
        let target = self.handles[proxy].route_write(None, deadline()).await;
        target.unwrap().instance
    }

    /// Writes one record through a proxy; a try that certainly did not run is repeated.
    pub(crate) async fn write(&self, proxy: usize) -> Option<Point> {
        let handle = &self.handles[proxy];
        for _ in 0..50 {
            let Ok(target) = handle.route_write(None, deadline()).await else {
                continue;
            };
            let began = Instant::now();
            match insert(&target).await {
                Ok(point) => {
                    handle.finished(&target.instance, Span::from(began.elapsed()));
                    let confirmed = handle.confirm(&target, point, deadline()).await;
                    return confirmed.ok().map(|()| point);
                }
                Err(failure) => handle.failed(&target.instance, failure),
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        None
    }

    pub(crate) async fn count(&self, target: &Target) -> usize {
        let url = url(target);
        let rows = compio::runtime::spawn_blocking(move || {
            let mut client = postgres::Client::connect(&url, postgres::NoTls).unwrap();
            let rows = client.simple_query("SELECT id FROM records").unwrap();
            let rows = rows.iter();
            rows.filter(|m| matches!(m, postgres::SimpleQueryMessage::Row(_)))
                .count()
        });
        rows.await.unwrap()
    }

    pub(crate) async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let end = deadline();
        while !holds(self) {
            assert!(Instant::now() < end, "the awaited state did not come about");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn phases(&self) -> Vec<(Phase, Span)> {
        let mut phases = Vec::new();
        for handle in &self.handles {
            let snapshot = handle.snapshot().await.unwrap();
            phases.extend(snapshot.decisions.iter().filter_map(|d| d.phase));
        }
        phases
    }

    pub(crate) async fn decided(&self, wanted: impl Fn(&What) -> bool) -> bool {
        let mut found = false;
        for handle in &self.handles {
            let snapshot = handle.snapshot().await.unwrap();
            found |= snapshot.decisions.iter().any(|d| wanted(&d.what));
        }
        found
    }
}

/// Passes views on, as the links between proxies do.
async fn carry(outbox: flume::Receiver<(Recipients, PeerReport)>, others: Vec<(ProxyId, Handle)>) {
    while let Ok((to, view)) = outbox.recv_async().await {
        let meant = |id: &ProxyId| match &to {
            Recipients::All => true,
            Recipients::One(one) => one == id,
        };
        for (_, handle) in others.iter().filter(|(id, _)| meant(id)) {
            handle.peer_view(view.clone());
        }
    }
}

fn url(target: &Target) -> String {
    let (ip, port) = (target.address.ip(), target.address.port());
    format!("host={ip} port={port} user=pomelo dbname=pomelo connect_timeout=1")
}

/// Inserts and asks for the point; an error means that the statement did not run.
async fn insert(target: &Target) -> Result<Point, Failure> {
    let url = url(target);
    let inserted = compio::runtime::spawn_blocking(move || {
        let client = postgres::Client::connect(&url, postgres::NoTls);
        let mut client = client.map_err(|_| Failure::Refused)?;
        let ready = client.simple_query(TABLE);
        ready.map_err(|_| Failure::ReadOnly)?;
        let inserted = client.simple_query(INSERT);
        inserted.map_err(|_| Failure::ReadOnly)?;
        let rows = client.simple_query("SELECT replication_point()");
        let rows = rows.map_err(|_| Failure::Broken)?;
        let text = rows.iter().find_map(|m| match m {
            postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        });
        text.and_then(|t| t.parse().ok()).ok_or(Failure::Protocol)
    });
    inserted.await.unwrap()
}
