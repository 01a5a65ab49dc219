//! The task that owns the membership controller and the adopted records.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::unit::{Span, Time};
use peer::server::Call;
use policy::config_mirror::{Change, ConfigMirror, Delta};
use policy::membership::Membership;
use policy::membership::message::{Action, Heartbeat};
use policy::membership::table::{MemberInfo, State};
use policy::message::{PeerReport, Recipients};

use super::exchange::{End, Exchanges};
use super::watch::{self, Seen};
use super::{Empty, Fetch, FleetEvent, Inbox, OwnState, Request, Setup, Snapshot};

/// Interval between two ticks of the controller.
const TICK: Duration = Duration::from_millis(100);

/// Time for which a starting proxy waits for its peers before it reads the store. In a wave
/// of restarts, each proxy would otherwise read the whole configuration from the store.
const PEERS_FIRST: Duration = Duration::from_millis(300);

/// Time for peers to receive the notice that this process ends.
const LEAVE_WAIT: Duration = Duration::from_millis(100);

struct Task {
    setup: Setup,
    /// Zero of the controller's clock.
    epoch: Instant,
    member: Membership,
    adopter: ConfigMirror,
    exchanges: Exchanges,
    events: flume::Sender<FleetEvent>,
    seen_tx: flume::Sender<Seen>,
    /// Dropping it ends the watch.
    watch: Option<compio::runtime::JoinHandle<()>>,
    wants_watch: bool,
}

enum Input {
    Beat(Call<Heartbeat, Heartbeat>),
    Compare(Call<policy::membership::message::Compare, policy::membership::message::Tables>),
    Fetch(Call<Fetch, Delta>),
    View(Call<PeerReport, Empty>),
    OwnState(Call<Empty, OwnState>),
    Report(Recipients, PeerReport),
    End(End),
    Seen(Seen),
    Vms(Vec<SocketAddr>),
    Request(Request),
}

/// Serves until every handle is gone.
pub(super) async fn run(
    setup: Setup,
    client: peer::Client,
    inbox: Inbox,
    requests: flume::Receiver<Request>,
    events: flume::Sender<FleetEvent>,
) {
    let (ends_tx, ends) = flume::unbounded();
    let (seen_tx, seen) = flume::unbounded();
    let (vms_tx, vms) = flume::bounded(1);
    if let Some(url) = setup.vm_list.clone() {
        let port = setup.address.port();
        compio::runtime::spawn(read_vms(setup.store.clone(), url, port, vms_tx)).detach();
    }
    let (me, seeds) = (own_info(&setup), setup.seeds.clone());
    let member = Membership::new(Time::default(), me, seeds, rand::random());
    let views = setup.views.clone();
    let mut task = Task {
        epoch: Instant::now(),
        member,
        adopter: ConfigMirror::default(),
        exchanges: Exchanges {
            client,
            ends: ends_tx,
            tracer: setup.tracer.clone(),
        },
        events,
        seen_tx,
        watch: None,
        wants_watch: false,
        setup,
    };
    let mut ticked = None::<Instant>;
    loop {
        let left = ticked.map_or(Duration::ZERO, |at| TICK.saturating_sub(at.elapsed()));
        let next = async {
            futures_util::select! {
                call = inbox.beats.recv_async() => call.map(Input::Beat),
                call = inbox.compares.recv_async() => call.map(Input::Compare),
                call = inbox.fetches.recv_async() => call.map(Input::Fetch),
                call = inbox.views.recv_async() => call.map(Input::View),
                call = inbox.owns.recv_async() => call.map(Input::OwnState),
                view = pending(views.recv_async()) => Ok(Input::Report(view.0, view.1)),
                end = ends.recv_async() => end.map(Input::End),
                seen = seen.recv_async() => seen.map(Input::Seen),
                vms = pending(vms.recv_async()) => Ok(Input::Vms(vms)),
                req = requests.recv_async() => req.map(Input::Request),
            }
        };
        match within(left, next).await {
            Some(Ok(input)) => task.input(input),
            Some(Err(flume::RecvError::Disconnected)) => return,
            None => {
                ticked = Some(Instant::now());
                task.tick();
            }
        }
    }
}

fn own_info(setup: &Setup) -> MemberInfo {
    MemberInfo {
        id: setup.id.clone(),
        data_centre: setup.data_centre.clone(),
        address: setup.address,
        incarnation: 0,
        state: State::Live,
        draining: false,
        store_unreachable: false,
    }
}

async fn within<T>(left: Duration, next: impl Future<Output = T>) -> Option<T> {
    if left.is_zero() {
        return None;
    }
    compio::time::timeout(left, next).await.ok()
}

/// Never completes once the sender is dropped, so that this does not end the task.
fn pending<T>(
    next: impl Future<Output = Result<T, flume::RecvError>>,
) -> impl futures_util::future::FusedFuture<Output = T> {
    use futures_util::FutureExt as _;
    let wait = async move {
        match next.await {
            Ok(item) => item,
            Err(flume::RecvError::Disconnected) => std::future::pending().await,
        }
    };
    Box::pin(wait).fuse()
}

/// Reads peer addresses from the VM list, assuming that all proxies use the same port.
async fn read_vms(
    client: store::Client,
    url: String,
    port: u16,
    tx: flume::Sender<Vec<SocketAddr>>,
) {
    match client.vms(&url).await {
        Ok(vms) => {
            let live = vms
                .into_iter()
                .filter(|vm| vm.state == store::vms::State::Live);
            let addresses = live.map(|vm| SocketAddr::new(vm.address, port));
            let _ = tx.send(addresses.collect());
        }
        Err(e) => tracing::info!(cause = %e, "VM list not read"),
    }
}

impl Task {
    fn now(&self) -> Time {
        Time::default() + Span::from(self.epoch.elapsed())
    }

    fn tick(&mut self) {
        let actions = self.member.tick(self.now());
        self.perform(actions);
        let early = self.epoch.elapsed() < PEERS_FIRST && !self.setup.seeds.is_empty();
        if self.wants_watch && self.watch.is_none() && !early {
            self.start_watch();
        }
    }

    fn start_watch(&mut self) {
        let known = self.adopter.complete();
        tracing::info!(data_centre = %self.setup.data_centre, revision = %known, "watching");
        let watching = watch::run(self.setup.store.clone(), known, self.seen_tx.clone());
        self.watch = Some(compio::runtime::spawn(watching));
    }

    fn input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Beat(call) => {
                let (answer, actions) = self.member.receive(now, call.req);
                let _ = call.reply.send(answer);
                self.perform(actions);
            }
            Input::Compare(call) => {
                let _ = call.reply.send(self.member.differing_tables(&call.req));
            }
            Input::Fetch(call) => {
                let mut span = self.setup.tracer.incoming("records", call.trace);
                span.set("after", &call.req.after);
                let _ = call.reply.send(self.adopter.changes_since(call.req.after));
            }
            Input::View(call) => {
                let _ = call.reply.send(Empty {});
                let _ = self.events.send(FleetEvent::View(call.req));
            }
            Input::OwnState(call) => {
                let current = self.setup.fleet.current();
                let revision = current.revision;
                let _ = call.reply.send(OwnState { revision });
            }
            // Peers without reports from this proxy stop routing through it.
            Input::Report(..) if self.member.me().draining => {}
            Input::Report(to, view) => self.send_report(&to, &view),
            Input::End(end) => self.end(now, end),
            Input::Seen(seen) => self.seen(now, seen),
            Input::Vms(addresses) => self.member.add_seeds(addresses),
            Input::Request(req) => self.request(now, req),
        }
    }

    fn end(&mut self, now: Time, end: End) {
        let actions = match end {
            End::Beat(answer) => self.member.response_received(now, answer),
            End::Failed(peer, failure) => self.member.heartbeat_failed(now, &peer, failure),
            End::Tables(tables) => self.member.tables_received(now, tables),
            End::Delta(peer, delta) => {
                let (before, more) = (self.adopter.complete(), delta.more);
                self.merge(now, delta);
                let more = more && self.adopter.complete() > before;
                self.member.fetch_finished(now, &peer, more)
            }
            End::NoDelta(peer) => self.member.fetch_finished(now, &peer, false),
        };
        self.perform(actions);
    }

    fn seen(&mut self, now: Time, seen: Seen) {
        match seen {
            Seen::Delta(delta) => {
                self.member.store_responded(now);
                self.merge(now, delta);
            }
            Seen::Answered => self.member.store_responded(now),
            Seen::Failed => {
                let actions = self.member.store_failed(now);
                self.perform(actions);
            }
        }
    }

    fn merge(&mut self, now: Time, delta: Delta) {
        for change in self.adopter.merge(delta) {
            match change {
                Change::Applied(snapshot) => {
                    tracing::info!(revision = %snapshot.revision, "configuration in force");
                    self.setup.fleet.set(snapshot);
                    self.publish_peers();
                }
                Change::Rejected(revision, cause) => {
                    tracing::error!(%revision, %cause, "configuration refused");
                }
                Change::Record(record) => {
                    let _ = self.events.send(FleetEvent::Record(record));
                }
            }
        }
        let actions = self.member.revision_advanced(now, self.adopter.complete());
        self.perform(actions);
    }

    fn request(&mut self, now: Time, req: Request) {
        match req {
            Request::Snapshot(tx) => {
                let entries = self.member.table().iter();
                let _ = tx.send(Snapshot {
                    me: self.member.me().clone(),
                    members: entries.map(|entry| entry.info.clone()).collect(),
                    watching: self.watch.is_some(),
                    complete: self.adopter.complete(),
                });
            }
            Request::Drain => {
                let actions = self.member.drain(now);
                self.perform(actions);
            }
            Request::Leave(tx) => {
                let actions = self.member.leave(now);
                self.perform(actions);
                compio::runtime::spawn(async move {
                    compio::time::sleep(LEAVE_WAIT).await;
                    let _ = tx.send(());
                })
                .detach();
            }
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Heartbeat(peer, heartbeat) => self.exchanges.beat(peer, heartbeat),
                Action::Compare(peer, compare) => self.exchanges.compare(peer.address, compare),
                Action::Fetch(peer, after) => self.exchanges.fetch(peer, Fetch { after }),
                Action::Watch(watch) => {
                    self.wants_watch = watch;
                    if !watch {
                        self.watch = None;
                    }
                }
                Action::Changed => self.publish_peers(),
            }
        }
    }

    fn publish_peers(&self) {
        let running = self.member.table().running().cloned();
        let _ = self.events.send(FleetEvent::Peers(running.collect()));
    }

    fn send_report(&self, to: &Recipients, view: &PeerReport) {
        let me = &self.setup.id;
        let wanted = |info: &&MemberInfo| match to {
            Recipients::All => info.id != *me,
            Recipients::One(id) => info.id == *id,
        };
        for info in self.member.table().running().filter(wanted) {
            self.exchanges.send_report(info.address, view.clone());
        }
    }
}
