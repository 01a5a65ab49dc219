//! The task that owns one group: it feeds the controller and carries out its actions.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::id::InstanceId;
use model::position::Term;
use model::unit::{Span, Time};
use policy::decision::{Decision, Phase, What};
use policy::group::{self, Group};
use policy::leadership;
use policy::message::{Action, Command, Event, QueryId, RequestId, StoreReply, StoreRequest};
use policy::route::{RouteError, Target, Unconfirmed};
use policy::spec::{LocalProxy, Spec};

use crate::trace::{Side, Tracer};

use super::client::Login;
use super::link::{Answer, Link, Question};
use super::record;
use super::{Request, Setup, Snapshot, Update};

/// Time for which an unknown answer of the store is kept back.
///
/// Failure: the store is down and refuses at once. The controller asks again on hearing
/// so, and without the pause the two of them would take a whole processor for as long
/// as the outage lasts. 50 ms cost a change of primary little.
const STORE_PAUSE: Duration = Duration::from_millis(50);

/// Answers that come back to the task.
enum Inner {
    Instance(Answer),
    Store(QueryId, StoreReply),
}

enum Caller {
    Route(flume::Sender<Result<Target, RouteError>>),
    Confirm(flume::Sender<Result<(), Unconfirmed>>),
}

struct Task {
    setup: Setup,
    /// Zero of the controller's clock.
    epoch: Instant,
    spec: Spec,
    group: Group,
    links: IndexMap<InstanceId, Link>,
    callers: IndexMap<RequestId, Caller>,
    tickets: u64,
    /// The change of primary that is under way.
    trace: Option<u64>,
    /// Who waits for a primary of a later term than this.
    waiting: Vec<(Term, flume::Sender<()>)>,
    instances: flume::Sender<Answer>,
    stores: flume::Sender<(QueryId, StoreReply)>,
}

/// Serves requests until every handle is gone.
pub(super) async fn run(setup: Setup, rx: flume::Receiver<Request>) {
    let Some(spec) = Spec::new(&setup.fleet, &setup.group) else {
        tracing::warn!(group = %setup.group, "group not declared");
        return;
    };
    let (instances, answers) = flume::unbounded();
    let (stores, stored) = flume::unbounded();
    let me = LocalProxy {
        id: setup.me.clone(),
        location: setup.location.clone(),
    };
    let now = Time::from_micros(1);
    let mut task = Task {
        epoch: Instant::now(),
        group: Group::new(now, me, spec.clone(), setup.seed),
        spec,
        setup,
        links: IndexMap::new(),
        callers: IndexMap::new(),
        tickets: 0,
        trace: None,
        waiting: Vec::new(),
        instances,
        stores,
    };
    let tick = group::TICK.as_duration();
    let mut ticked = Instant::now();
    loop {
        let left = tick.saturating_sub(ticked.elapsed());
        match next(&rx, &answers, &stored, left).await {
            Some(Ok(Input::Request(req))) => task.request(req),
            Some(Ok(Input::Inner(inner))) => task.inner(inner),
            Some(Err(flume::RecvError::Disconnected)) => return,
            None => {
                ticked = Instant::now();
                task.tick();
            }
        }
    }
}

enum Input {
    Request(Request),
    Inner(Inner),
}

/// The next input; `None` when it is time to tick.
async fn next(
    rx: &flume::Receiver<Request>,
    answers: &flume::Receiver<Answer>,
    stored: &flume::Receiver<(QueryId, StoreReply)>,
    left: Duration,
) -> Option<Result<Input, flume::RecvError>> {
    if left.is_zero() {
        return None;
    }
    // The task holds a sender of each inner channel, so that neither disconnects.
    let input = async {
        futures_util::select! {
            req = rx.recv_async() => req.map(Input::Request),
            answer = answers.recv_async() => answer.map(|a| Input::Inner(Inner::Instance(a))),
            stored = stored.recv_async() => {
                stored.map(|(query, answer)| Input::Inner(Inner::Store(query, answer)))
            }
        }
    };
    compio::time::timeout(left, input).await.ok()
}

impl Task {
    fn now(&self) -> Time {
        self.at(Instant::now())
    }

    fn at(&self, moment: Instant) -> Time {
        let since = moment.saturating_duration_since(self.epoch);
        Time::from_micros(1) + Span::from(since)
    }

    fn step(&mut self, event: Event) {
        for action in self.group.step(self.now(), event) {
            self.act(action);
        }
        self.tell_waiting();
    }

    /// Tells those who wait for a later term than that of the primary they use.
    fn tell_waiting(&mut self) {
        let term = self.group.leadership().term;
        self.waiting.retain(|(old, tx)| {
            if term > *old {
                let _ = tx.send(());
            }
            term <= *old && !tx.is_disconnected()
        });
    }

    fn tick(&mut self) {
        for link in self.links.values() {
            link.tidy();
        }
        self.step(Event::Tick);
    }

    fn ticket(&mut self, caller: Caller) -> RequestId {
        self.tickets += 1;
        let request = RequestId(self.tickets);
        self.callers.insert(request, caller);
        request
    }

    fn request(&mut self, req: Request) {
        match req {
            Request::Write {
                point,
                deadline,
                tx,
            } => {
                let (request, deadline) = (self.ticket(Caller::Route(tx)), self.at(deadline));
                self.step(Event::RouteWrite {
                    request,
                    point,
                    deadline,
                });
            }
            Request::Read { need, deadline, tx } => {
                let (request, deadline) = (self.ticket(Caller::Route(tx)), self.at(deadline));
                self.step(Event::RouteRead {
                    request,
                    need,
                    deadline,
                });
            }
            Request::Confirm {
                point,
                deadline,
                tx,
            } => {
                let (request, deadline) = (self.ticket(Caller::Confirm(tx)), self.at(deadline));
                self.step(Event::Confirm {
                    request,
                    point,
                    deadline,
                });
            }
            Request::Replaced(term, tx) => {
                self.waiting.push((term, tx));
                self.tell_waiting();
            }
            Request::Finished(instance, took) => self.step(Event::Finished { instance, took }),
            Request::Released(instance) => self.step(Event::Released { instance }),
            Request::Failed(instance, failure) => self.step(Event::Failed { instance, failure }),
            Request::Configure(fleet) => self.configure(&fleet),
            Request::Update(update) => self.update(update),
            Request::Snapshot(tx) => {
                let _ = tx.send(self.snapshot());
            }
        }
    }

    fn update(&mut self, update: Update) {
        match update {
            Update::Peers(live) => self.step(Event::Peers(live)),
            Update::View(view) => self.step(Event::PeerReport(view)),
            Update::Record(versioned) => self.step(Event::Record(versioned)),
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            now: self.now(),
            lead: self.group.leadership().clone(),
            seen: self.group.observations().clone(),
            decisions: self.group.decisions().cloned().collect(),
        }
    }

    fn configure(&mut self, fleet: &model::config::Fleet) {
        let Some(spec) = Spec::new(fleet, &self.setup.group) else {
            return;
        };
        let moved = |id: &InstanceId| spec.members.get(id) != self.spec.members.get(id);
        self.links.retain(|id, _| !moved(id));
        self.spec = spec.clone();
        self.setup.fleet = std::sync::Arc::new(fleet.clone());
        self.step(Event::Configure(Box::new(spec)));
    }

    fn inner(&mut self, inner: Inner) {
        match inner {
            Inner::Instance(Answer {
                query,
                result,
                round_trip,
            }) => {
                if let Some((instance, round_trip)) = round_trip {
                    self.setup.admit.round_trip(&instance, round_trip.into());
                }
                if result.is_ok() {
                    let links = self.links.values_mut();
                    links.for_each(|link| link.answered(query));
                }
                self.step(Event::Response { query, result });
            }
            Inner::Store(query, reply) => self.step(Event::Store { query, reply }),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Command {
                query,
                instance,
                command,
                channel,
            } => {
                let question = Question {
                    query,
                    sql: self.sql(&command),
                    order: !matches!(command, Command::Status | Command::Wait { .. }),
                };
                if let Some(link) = self.link(&instance) {
                    link.ask(question, channel);
                }
            }
            Action::Store { query, request } => self.ask_store(query, request),
            Action::Send { to, report } => {
                // Views repeat while they matter; one that finds no room is dropped.
                let _ = self.setup.tell.try_send((to, report));
            }
            Action::Routed { request, result } => self.routed(request, result),
            Action::Confirmed { request, result } => {
                if let Some(Caller::Confirm(tx)) = self.callers.swap_remove(&request) {
                    let _ = tx.send(result);
                }
            }
            Action::Decided(decision) => self.decided(&decision),
        }
    }

    fn routed(&mut self, request: RequestId, result: Result<Target, RouteError>) {
        let Some(Caller::Route(tx)) = self.callers.swap_remove(&request) else {
            return;
        };
        if let Err(flume::SendError(Ok(target))) = tx.send(result) {
            // The caller is gone; its request no longer counts as under way.
            let instance = target.instance;
            self.step(Event::Released { instance });
        }
    }

    fn link(&mut self, instance: &InstanceId) -> Option<&mut Link> {
        let member = self.spec.members.get(instance)?;
        let declared = self.setup.fleet.groups.get(&self.setup.group)?;
        let login = || Login {
            address: member.address,
            source: self.setup.address,
            user: declared.user.clone(),
            database: declared.database.clone(),
            password: declared.password.clone(),
        };
        let tx = &self.instances;
        let link = self.links.entry(instance.clone());
        Some(link.or_insert_with(|| Link::new(instance.clone(), login(), tx.clone())))
    }

    fn sql(&self, ask: &Command) -> String {
        let profile = &self.spec.settings.profile;
        match ask {
            Command::Status => profile.status.clone(),
            Command::Wait { position, timeout } => profile
                .wait
                .replace("$position", &position.to_string())
                .replace("$timeout_ms", &timeout.as_millis().to_string()),
            Command::Fence(term) => profile.fence.replace("$term", &term.to_string()),
            Command::Promote(term) => profile.promote.replace("$term", &term.to_string()),
            Command::Follow { term, primary } => {
                let member = self.spec.members.get(primary);
                let address = member.map(|m| m.address.to_string()).unwrap_or_default();
                let order = profile.follow.replace("$term", &term.to_string());
                order.replace("$address", &address)
            }
        }
    }

    /// Logs a decision, and traces the stage of a change of primary that it ends.
    fn decided(&mut self, decision: &Decision) {
        super::log::decision(decision);
        let trace = decision.trace.0;
        // A trace begins with the claim of a term. What comes before it still bears the
        // trace of the change before, or none.
        let early = matches!(decision.phase, Some((Phase::Detect, _)));
        if trace == 0 || early {
            return;
        }
        if let Some((phase, took)) = decision.phase {
            let mut span = self.tracer().within(phase.name(), Side::Internal, trace);
            span.began_before(took.as_duration());
            span.set("group", &decision.group);
            span.set("term", &decision.term);
        }
        let over = matches!(
            decision.what,
            What::FirstAck | What::Abandoned | What::Cleared(_)
        );
        self.trace = (!over).then_some(trace);
    }

    fn tracer(&self) -> &Tracer {
        &self.setup.tracer
    }

    fn ask_store(&self, query: QueryId, ask: StoreRequest) {
        let key = leadership::key(&self.setup.group);
        let trace = self.trace;
        let span = trace.map(|trace| self.tracer().within("store", Side::Client, trace));
        let span = span.unwrap_or_default();
        let store = self.setup.store.traced(span.context());
        let tx = self.stores.clone();
        compio::runtime::spawn(async move {
            let mut span = span;
            span.set("key", &key);
            let answer = record::ask(&store, &key, ask).await;
            if answer == StoreReply::Unknown {
                compio::time::sleep(STORE_PAUSE).await;
            }
            let _ = tx.send((query, answer));
        })
        .detach();
    }
}
