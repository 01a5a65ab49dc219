//! Follows the platform's store: the configuration, the instances, the other proxies and
//! the coordinator.

mod state;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use model::id::{GroupId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use platform::kv;
use policy::carry::Proxy;
use store::client::Client;
use store::error::Error;
use store::kv::Record;
use store::lease::LeaseId;

use crate::clock;
use crate::cx::Cx;
use crate::group::Shares;
use crate::lend::Carrier;
pub use state::{Announced, COORDINATOR, DOUBTS, PROXIES, State};
use state::{Placement, RESUMES};

/// Shortest and longest wait of one watch. An open connection can go silent for good, and
/// is noticed only when the wait is over, so a watch takes no longer than a change of the
/// configuration may until it is in force; each watch costs the operators one call.
const WATCH: (Duration, Duration) = (Duration::from_millis(2_000), Duration::from_millis(8_000));

/// Pause after a change before the next one is asked for, for each proxy that watches.
///
/// Load: as many proxies as watch also write, when all of them start. Harm without it:
/// each write wakes all of them, which at 91 proxies was 33,000 calls in 48 s. The pause
/// gathers the changes of that time.
const GATHER: Duration = Duration::from_millis(32);

/// The part of the time in which a change must be in force that the pause may take.
const GATHER_PART: u32 = 3;

/// The pause of the proxy that coordinates: doubts are to reach it at once.
const COORDINATOR_GATHER: Duration = Duration::from_millis(20);

/// First and longest pause before the store is asked again after a failure. It takes
/// 2,000 reads a second from all proxies, which 91 of them stay under.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Time between two looks at deletions that are due.
const SWEEP: Span = Span::from_millis(250);

/// What the store tells, kept up to date.
#[derive(Clone)]
pub struct Directory {
    cx: Rc<Cx>,
    state: Rc<RefCell<State>>,
    changed: flume::Sender<()>,
    me: Proxy,
    in_force_within: Duration,
    coordinates: Rc<dyn Fn(&Directory) -> bool>,
}

impl Directory {
    /// A directory that knows nothing yet; `changed` gets a message after each change of
    /// proxies, coordinator or doubts. Changes must be in force within `in_force_within`;
    /// `coordinates` tells whether this proxy holds the coordinator's duty.
    pub fn new(
        cx: Rc<Cx>,
        me: Proxy,
        changed: flume::Sender<()>,
        in_force_within: Duration,
        coordinates: impl Fn(&Self) -> bool + 'static,
    ) -> Self {
        Self {
            me,
            in_force_within,
            coordinates: Rc::new(coordinates),
            cx,
            state: Rc::default(),
            changed,
        }
    }

    /// Reads the state.
    pub fn with<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Takes over what a call's answer told about the coordinator's key.
    pub fn note_coordinator(&self, record: Record) {
        self.state.borrow_mut().note_coordinator(record);
    }

    /// Notes in the store that replicas of a group are told to receive again; gives the
    /// note's revision.
    pub async fn note_resume(&self, client: &Client, group: &GroupId) -> Result<Revision, Error> {
        let key = format!("{RESUMES}{group}");
        let noted = kv::put(client, &key, &[], LeaseId::NONE).await?;
        let mut state = self.state.borrow_mut();
        state.note_resume(group.clone(), noted, clock::now());
        Ok(noted)
    }

    /// Deletes that note, unless a newer one has taken its place.
    pub async fn forget_resume(
        &self,
        client: &Client,
        group: &GroupId,
        noted: Revision,
    ) -> Result<(), Error> {
        kv::delete(client, &format!("{RESUMES}{group}"), noted).await?;
        self.state.borrow_mut().forget_resume(group, noted);
        Ok(())
    }

    /// Follows the store for as long as the process runs.
    pub async fn follow(self, client: Client) {
        let sweeper = self.clone();
        compio::runtime::spawn(async move { sweeper.sweep().await }).detach();
        let mut pause = PAUSES.0;
        let mut lost: Option<Time> = None;
        let mut listed = false;
        loop {
            let result = self.step(&client, &mut listed).await;
            match result {
                Ok(()) => {
                    if let Some(since) = lost.take() {
                        let out_ms = clock::now().since(since).as_millis();
                        tracing::info!(out_ms, "the store is in reach again");
                    }
                    pause = PAUSES.0;
                }
                Err(e) => {
                    if matches!(e, Error::WatchEnded) {
                        listed = false;
                    }
                    if lost.is_none() {
                        lost = Some(clock::now());
                        tracing::warn!(cause = %e, "the store is out of reach");
                    }
                    compio::time::sleep(pause).await;
                    pause = (pause * 2).min(PAUSES.1);
                }
            }
        }
    }

    async fn step(&self, client: &Client, listed: &mut bool) -> Result<(), Error> {
        if !*listed {
            let listing = kv::list(client, "").await?;
            self.state.borrow_mut().replace(listing, clock::now());
            *listed = true;
        } else {
            let after = self.state.borrow().revision();
            let wait = self.in_force_within.clamp(WATCH.0, WATCH.1);
            let batch = kv::watch(client, "", after, wait).await?;
            if batch.changes.is_empty() {
                return Ok(());
            }
            self.state.borrow_mut().apply(batch, clock::now());
        }
        self.hand_out();
        compio::time::sleep(self.pause()).await;
        Ok(())
    }

    fn pause(&self) -> Duration {
        if (self.coordinates)(self) {
            return COORDINATOR_GATHER;
        }
        let pause = GATHER * self.state.borrow().proxies();
        pause.min(self.in_force_within / GATHER_PART)
    }

    async fn sweep(&self) {
        loop {
            clock::sleep_until(clock::now() + SWEEP).await;
            if self.state.borrow_mut().sweep(clock::now()) {
                self.hand_out();
            }
        }
    }

    /// Passes on what changed to those whom it concerns.
    fn hand_out(&self) {
        let coordinates = (self.coordinates)(self);
        let mut state = self.state.borrow_mut();
        if let Some(routes) = state.take_routes() {
            tracing::info!(
                version = routes.version,
                routes = routes.routes.len(),
                "a configuration is in force"
            );
            self.cx.set_routes(routes);
        }
        let routes = self.cx.routes();
        for (group, limits) in &routes.groups {
            let handle = self.cx.ensure_group(group);
            if let Some(entries) = state.take_entries(group) {
                handle.set_entries(entries);
            }
            if let Some(placement) = state.take_placement(group, limits.connections, &self.me) {
                self.place(&state, group, &placement);
            }
            let shares = Shares {
                connections: limits.connections,
                holders: state.holders(group),
                own: state.holds(group) || coordinates,
            };
            handle.set_shares(shares);
        }
        // A message that waits already says the same.
        let _ = self.changed.try_send(());
    }

    /// Takes over through which proxies a group is reached.
    fn place(&self, state: &State, group: &GroupId, placement: &Placement) {
        let carrier = |proxy: &ProxyId| Carrier {
            proxy: proxy.clone(),
            address: state.relay(proxy).filter(|_| *proxy != self.me.id),
        };
        let through = placement.plan.through.iter().map(carrier).collect();
        self.cx.roads.set_through(group, through);
        let address = |peer: &ProxyId| Some((peer.clone(), state.relay(peer)?));
        let peers = placement.peers.iter().filter_map(address).collect();
        self.cx.roads.set_peers(group, peers);
    }
}
