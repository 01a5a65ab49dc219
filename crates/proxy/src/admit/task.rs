//! The task that owns the queues of all backend servers.

use std::time::Duration;

use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::{Span, Time};
use policy::admission::{Action, Admission, Completion, Limits};
use policy::queue::{self, Key};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::{Clock, EnterError, Load, Permit, Request, Ticket};

type Answer = flume::Sender<Result<Permit, EnterError>>;

/// One backend server's queue and the callers that wait in it.
struct Lane {
    admission: Admission,
    waiting: IndexMap<Key, Answer>,
    limits: Limits,
    /// Time on the way there and back, once it is measured.
    round_trip: Option<Span>,
}

struct Task {
    clock: Clock,
    limits: Limits,
    lanes: IndexMap<InstanceId, Lane>,
    rng: SmallRng,
    swept: Time,
    /// Cloned into each permit, which reports its end here.
    tx: flume::WeakSender<Request>,
}

/// Serves until the last handle and permit are gone.
pub(super) async fn run(
    limits: Limits,
    tx: flume::WeakSender<Request>,
    rx: flume::Receiver<Request>,
) {
    let mut task = Task {
        clock: Clock(std::time::Instant::now()),
        limits,
        lanes: IndexMap::new(),
        rng: SmallRng::from_os_rng(),
        swept: Time::default(),
        tx,
    };
    loop {
        let wait = task.next_tick();
        match compio::time::timeout(wait, rx.recv_async()).await {
            Ok(Ok(req)) => task.handle(req),
            Ok(Err(flume::RecvError::Disconnected)) => return,
            Err(_) => {}
        }
        task.tick();
    }
}

/// Longest sleep; there is nothing to do in an idle task.
const IDLE: Duration = Duration::from_secs(60);

/// Time between two looks for callers that went away while they waited. A full
/// queue of 2,000 takes microseconds to look through, but not on every request.
const SWEEP: Span = Span::from_millis(20);

impl Task {
    fn next_tick(&self) -> Duration {
        let now = self.clock.now();
        let ticks = self
            .lanes
            .values()
            .filter_map(|l| l.admission.next_tick(now));
        ticks.min().map_or(IDLE, |at| at.since(now).as_duration())
    }

    fn handle(&mut self, req: Request) {
        match req {
            Request::Enter {
                instance,
                ticket,
                tx,
            } => self.enter(&instance, ticket, tx),
            Request::End { instance, key, end } => self.end(&instance, key, end),
            Request::Limits(instance, limits) => self.set_limits(&instance, limits),
            Request::RoundTrip(instance, way) => {
                let lane = self.lane(&instance);
                lane.round_trip = Some(way);
                let limits = lane.limits;
                self.set_limits(&instance, limits);
            }
            Request::Returned(instance) => {
                let now = self.clock.now();
                self.lane(&instance).admission.server_recovered(now);
            }
            Request::Loads(tx) => {
                let _ = tx.send(self.loads());
            }
        }
    }

    fn lane(&mut self, instance: &InstanceId) -> &mut Lane {
        let limits = self.limits;
        let lane = || Lane {
            admission: Admission::new(limits),
            waiting: IndexMap::new(),
            limits,
            round_trip: None,
        };
        self.lanes.entry(instance.clone()).or_insert_with(lane)
    }

    fn enter(&mut self, instance: &InstanceId, ticket: Ticket, tx: Answer) {
        let now = self.clock.now();
        let ticket = queue::Request {
            deadline: self.clock.time(ticket.deadline),
            caller: ticket.caller,
            weight: ticket.weight,
            class: ticket.class,
            class_weight: ticket.class_weight,
            shape: ticket.cost,
        };
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let lane = self.lane(instance);
        let (key, actions) = lane.admission.submit(ticket, now, &mut rng);
        lane.waiting.insert(key, tx);
        self.perform(instance, actions);
    }

    fn end(&mut self, instance: &InstanceId, key: Key, end: Completion) {
        let now = self.clock.now();
        let actions = self.lane(instance).admission.finished(key, end, now);
        self.perform(instance, actions);
    }

    fn set_limits(&mut self, instance: &InstanceId, mut limits: Limits) {
        let now = self.clock.now();
        let lane = self.lane(instance);
        if let Some(way) = lane.round_trip {
            limits.share.round_trip = way;
        }
        lane.limits = limits;
        let actions = lane.admission.set_limits(limits, now);
        self.perform(instance, actions);
    }

    fn perform(&mut self, instance: &InstanceId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(key) => self.start(instance, key),
                Action::Reject(key, refused) => {
                    let tx = self.lane(instance).waiting.swap_remove(&key);
                    tracing::debug!(%instance, reason = %refused.reason, "refused");
                    if let Some(tx) = tx {
                        let _ = tx.send(Err(refused.into()));
                    }
                }
            }
        }
    }

    /// Hands the slot over. A caller that went away while it waited drops the
    /// permit unread, which frees the slot again.
    fn start(&mut self, instance: &InstanceId, key: Key) {
        let Some(tx) = self.lane(instance).waiting.swap_remove(&key) else {
            return;
        };
        let Some(permits) = self.tx.upgrade() else {
            return;
        };
        let permit = Permit {
            tx: permits,
            instance: instance.clone(),
            key,
            end: Completion::Failed,
        };
        let _ = tx.send(Ok(permit));
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.drop_abandoned(now);
        }
        let mut due = Vec::new();
        for (instance, lane) in &mut self.lanes {
            if lane.admission.next_tick(now).is_some_and(|at| at <= now) {
                let actions = lane.admission.tick(now, &mut self.rng);
                due.push((instance.clone(), actions));
            }
        }
        for (instance, actions) in due {
            self.perform(&instance, actions);
        }
    }

    /// Removes requests whose callers went away while they waited.
    ///
    /// Load: clients with short timeouts of their own; harm: the queue looks
    /// longer than it is and turns away requests that could be served.
    fn drop_abandoned(&mut self, now: Time) {
        for lane in self.lanes.values_mut() {
            let gone = lane.waiting.iter().filter(|(_, tx)| tx.is_disconnected());
            let gone: Vec<Key> = gone.map(|(key, _)| *key).collect();
            for key in gone {
                lane.waiting.swap_remove(&key);
                lane.admission.cancelled(key, now);
            }
        }
    }

    fn loads(&self) -> IndexMap<InstanceId, Load> {
        let load = |lane: &Lane| Load {
            queued: lane.admission.queued() as u32,
            busy: lane.admission.in_flight(),
            limit: lane.admission.limit(self.clock.now()),
            median: lane.admission.service_times().median(),
        };
        let lanes = self.lanes.iter();
        lanes.map(|(id, lane)| (id.clone(), load(lane))).collect()
    }
}
