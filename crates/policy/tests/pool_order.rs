//! Order, rejection and work in flight of a pool under load, with customers: simulated callers
//! and one instance that serves its own queue in order of arrival.

use std::collections::VecDeque;

use model::entry::Entry;
use model::id::{CustomerId, InstanceId};
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, Pool};
use policy::proof::Proof;

/// Time limit of a statement, and time within which callers expect a reply, in milliseconds.
const LIMIT: u64 = 1_000;
const OBJECTIVE: u64 = 500;

/// Statements that the instance lets wait beside those that run.
const INSTANCE_QUEUE: usize = 40;

type Conn = Option<CustomerId>;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn id() -> InstanceId {
    "p".parse().unwrap()
}

/// Callers of one customer that send writes at a constant rate.
#[derive(Clone)]
struct Load {
    customer: &'static str,
    weight: u64,
    class: u8,
    from: u64,
    until: u64,
    /// Statements in ten milliseconds.
    per_10_ms: u64,
}

impl Load {
    fn new(customer: &'static str, class: u8, per_10_ms: u64) -> Self {
        Self {
            customer,
            weight: 1,
            class,
            from: 0,
            until: u64::MAX,
            per_10_ms,
        }
    }

    fn during(self, from: u64, until: u64) -> Self {
        Self {
            from,
            until,
            ..self
        }
    }

    fn request(&self, now: u64) -> ConnRequest {
        ConnRequest {
            kind: Kind::Write,
            customer: Some(self.customer.parse().unwrap()),
            customer_priority: self.weight.try_into().unwrap(),
            own_write: None,
            arrived: at(now),
            objective: Span::from_millis(OBJECTIVE),
            deadline: at(now + LIMIT),
            priority: self.class,
            avoid: None,
            may_wait: true,
        }
    }
}

/// What became of the statements of one load, with the time from arrival to the end of each.
#[derive(Default, Debug)]
struct Ends {
    sent: usize,
    served: Vec<u64>,
    rejected: Vec<u64>,
    /// Greatest number of its statements at the instance that did not run yet.
    busy: usize,
}

impl Ends {
    fn in_objective(&self) -> usize {
        self.served
            .iter()
            .filter(|took| **took <= OBJECTIVE)
            .count()
    }
}

struct Job {
    load: usize,
    arrived: u64,
    granted: u64,
    conn: Conn,
}

struct World {
    pool: Pool<Conn, u32>,
    slots: usize,
    /// Milliseconds that a statement runs.
    work: u64,
    /// Load and arrival by waiter.
    waiters: Vec<(usize, u64)>,
    queued: VecDeque<Job>,
    running: Vec<(u64, Job)>,
    ends: Vec<Ends>,
    /// Greatest number of statements at the instance in the last second.
    in_flight: VecDeque<usize>,
    idle_slots: u64,
}

impl World {
    fn new(slots: u32, work: u64) -> Self {
        let mut pool = Pool::new().separate_owners(|owner: &Conn| owner.as_ref());
        pool.set_by_customer(true);
        pool.set_shares(60, 1, true);
        let entry = Entry {
            id: id(),
            group: "g".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "dc".parse().unwrap(),
            slots,
            leaving: false,
            claims_primary: true,
            started_at: 1,
        };
        pool.set_entries(&[entry], |_| Span::from_millis(1), at(0));
        let proof = Proof {
            since: at(0),
            point: Point::new(1, 1),
        };
        pool.record_proof(&id(), proof);
        Self {
            pool,
            slots: slots as usize,
            work,
            waiters: Vec::new(),
            queued: VecDeque::new(),
            running: Vec::new(),
            ends: Vec::new(),
            in_flight: VecDeque::new(),
            idle_slots: 0,
        }
    }

    fn act(&mut self, actions: Vec<Action<Conn, u32>>, now: u64) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Open(instance, owner) => {
                    let opened = Ok(owner.clone());
                    let done = self
                        .pool
                        .open_completed(&instance, owner.as_ref(), opened, at(now));
                    actions.extend(done);
                }
                Action::Grant(waiter, grant) => {
                    let (load, arrived) = self.waiters[waiter as usize];
                    let job = Job {
                        load,
                        arrived,
                        granted: now,
                        conn: grant.conn,
                    };
                    self.queued.push_back(job);
                }
                Action::Reject(waiter, rejection) => {
                    assert!(rejection.retry_after > Span::default());
                    let (load, arrived) = self.waiters[waiter as usize];
                    self.ends[load].rejected.push(now - arrived);
                }
                Action::Close(_) => {}
            }
        }
    }

    /// One millisecond at the instance.
    fn serve(&mut self, now: u64) {
        while self.queued.len() > INSTANCE_QUEUE {
            let job = self.queued.pop_back().unwrap();
            self.ends[job.load].busy += 1;
            self.pool.record_overload(&id(), at(now));
            let actions = self.pool.release(&id(), Some(job.conn), None, at(now));
            self.ends[job.load].rejected.push(now - job.arrived);
            self.act(actions, now);
        }
        let is_done = |(end, _): &mut (u64, Job)| *end <= now;
        let done: Vec<_> = self.running.extract_if(.., is_done).collect();
        for (_, job) in done {
            self.ends[job.load].served.push(now - job.arrived);
            let took = Span::from_millis(now - job.granted);
            let actions = self
                .pool
                .release(&id(), Some(job.conn), Some(took), at(now));
            self.act(actions, now);
        }
        while self.running.len() < self.slots {
            let Some(job) = self.queued.pop_front() else {
                break;
            };
            self.running.push((now + self.work, job));
        }
        self.idle_slots += (self.slots - self.running.len()) as u64;
        self.in_flight
            .push_back(self.running.len() + self.queued.len());
        if self.in_flight.len() > 1_000 {
            self.in_flight.pop_front();
        }
    }

    /// Runs loads for a time; returns what became of each one's statements.
    fn run(mut self, loads: &[Load], ms: u64) -> Self {
        self.ends = loads.iter().map(|_| Ends::default()).collect();
        for now in 0..ms {
            for (load, l) in loads.iter().enumerate() {
                let sent = (now + 1) * l.per_10_ms / 10 - now * l.per_10_ms / 10;
                if now < l.from || now >= l.until {
                    continue;
                }
                for _ in 0..sent {
                    self.ends[load].sent += 1;
                    self.waiters.push((load, now));
                    let waiter = u32::try_from(self.waiters.len() - 1).unwrap();
                    let actions = self.pool.request(l.request(now), waiter, at(now));
                    self.act(actions, now);
                }
            }
            self.serve(now);
            if now % 50 == 0 || self.pool.next_tick().is_some_and(|due| due <= at(now)) {
                let actions = self.pool.tick(at(now));
                self.act(actions, now);
            }
        }
        self
    }
}

/// Load: a burst of the last class at four times the capacity, beside a quarter of the capacity
/// of the first class. The burst costs the first class nothing.
#[test]
fn a_burst_of_the_last_class_leaves_the_first_class_alone() {
    let loads = [
        Load::new("calm", 0, 1),
        Load::new("burst", 2, 16).during(500, 3_500),
    ];
    let world = World::new(4, 10).run(&loads, 5_000);
    let (first, last) = (&world.ends[0], &world.ends[1]);
    assert!(first.rejected.is_empty(), "{first:?}");
    let slow = first.served.iter().filter(|took| **took > OBJECTIVE / 4);
    assert_eq!(slow.count(), 0, "{first:?}");
    // The rest of the capacity serves the burst: 0.3 of 0.4 statements a millisecond.
    assert!(
        last.served.len() * 10 >= 3_000 * 3 / 10 * 9,
        "{}",
        last.served.len()
    );
}

/// Load: one customer sends four times the capacity while another one of the same class sends a
/// fifth of it. The backlog of the first does not push out the second.
#[test]
fn a_hot_customer_does_not_push_out_another_one() {
    let loads = [Load::new("hot", 1, 16), Load::new("calm", 1, 1)];
    let world = World::new(4, 10).run(&loads, 4_000);
    let calm = &world.ends[1];
    assert!(calm.rejected.is_empty(), "{calm:?}");
    assert_eq!(calm.in_objective(), calm.served.len(), "{calm:?}");
}

/// Load: a hot customer beside a burst of the last class, each of which alone exceeds the
/// capacity. The other customers of the hot one's class are served, and the hot one has the rest.
#[test]
fn a_hot_customer_beside_a_burst_leaves_others_their_share() {
    let loads = [
        Load::new("hot", 1, 8),
        Load::new("calm", 1, 1),
        Load::new("burst", 2, 8).during(500, 3_000),
    ];
    let world = World::new(4, 10).run(&loads, 4_000);
    let (hot, calm) = (&world.ends[0], &world.ends[1]);
    assert!(calm.rejected.is_empty(), "{calm:?}");
    assert_eq!(calm.in_objective(), calm.served.len(), "{calm:?}");
    assert!(
        hot.served.len() >= 4_000 / 10 * 3 * 8 / 10,
        "{}",
        hot.served.len()
    );
}

/// Load: two customers of priorities 0 and 2 each send twice the capacity. Their shares are in
/// the proportion of three to one.
#[test]
fn shares_follow_the_customers_priorities() {
    let preferred = Load {
        weight: 0,
        ..Load::new("first", 1, 8)
    };
    let other = Load {
        weight: 2,
        ..Load::new("second", 1, 8)
    };
    let world = World::new(4, 10).run(&[preferred, other], 5_000);
    let [first, second] = [0, 1].map(|n| world.ends[n].served.len() as f64);
    let ratio = first / second;
    assert!((2.4..=3.6).contains(&ratio), "{first} to {second}");
}

/// Load: three times the capacity for four seconds. Whatever cannot be served is rejected within
/// a quarter of its objective, and the slots stay busy with statements that meet theirs.
#[test]
fn hopeless_statements_are_rejected_early() {
    let world = World::new(4, 10).run(&[Load::new("a", 1, 12)], 5_000);
    let ends = &world.ends[0];
    let capacity = 5_000 / 10 * 4;
    assert!(
        ends.in_objective() * 10 >= capacity * 9,
        "{}",
        ends.in_objective()
    );
    let early = ends.rejected.iter().filter(|took| **took <= OBJECTIVE / 4);
    let early = early.count();
    assert!(
        early * 10 >= ends.rejected.len() * 9,
        "{early} of {}",
        ends.rejected.len()
    );
}

/// Load: a short burst that takes 800 ms to serve beside half of the capacity. The statements that miss their objective can
/// be served before their deadline, and are: callers prefer a late reply to none.
#[test]
fn hopeful_statements_are_served_late() {
    let loads = [Load::new("a", 1, 2), Load::new("b", 1, 32).during(500, 550)];
    let world = World::new(4, 10).run(&loads, 3_000);
    let rejected: usize = world.ends.iter().map(|e| e.rejected.len()).sum();
    assert_eq!(rejected, 0, "{:?}", world.ends);
    assert!(world.ends[1].in_objective() < world.ends[1].served.len());
}

/// Load: the first class alone sends twice the capacity. The last class still gets a part.
#[test]
fn the_last_class_is_not_starved() {
    let loads = [Load::new("a", 0, 8), Load::new("b", 2, 1)];
    let world = World::new(4, 10).run(&loads, 10_000);
    let last = world.ends[1].served.len();
    // One of seventeen grants.
    assert!(last * 17 >= 10_000 / 10 * 4 * 8 / 10, "{last} served");
}

/// Load: an instance that needs eight times as long per statement as the others, with ten times
/// the statements that it can run. The work in flight stays near its slots, which stay busy.
#[test]
fn work_in_flight_finds_the_capacity_of_a_slow_instance() {
    let mut world = World::new(3, 80).run(&[Load::new("a", 1, 4)], 10_000);
    let busiest = world.in_flight.make_contiguous().iter().max().copied();
    assert!(busiest.is_some_and(|n| n <= 3 * 3), "{busiest:?} in flight");
    assert!(
        world.idle_slots * 20 <= 3 * 10_000,
        "{} idle",
        world.idle_slots
    );
    assert_eq!(world.ends[0].busy, 0);
}

/// Without customers the order is that of priority and arrival, and the oldest request is never
/// rejected before its deadline.
#[test]
fn without_customers_nothing_is_rejected_early() {
    let mut world = World::new(4, 10);
    world.pool.set_by_customer(false);
    let world = world.run(&[Load::new("a", 1, 8)], 900);
    let stats = world.pool.queue_stats();
    assert_eq!((stats.hopeless, stats.late, stats.advanced), (0, 0, 0));
}
