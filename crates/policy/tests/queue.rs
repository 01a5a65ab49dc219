//! Order, fairness and rejections of the queue of one backend server.

use model::unit::{Span, Time};
use policy::admission::{Action, Admission, Completion, Limits, Reason};
use policy::queue::{Key, Request};
use policy::{service_time, slots};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use test_case::test_case;

const ONE_SLOT: Limits = Limits {
    share: slots::Share {
        slots: 1,
        total_connections: 1,
        connections: 1,
        round_trip: Span::from_millis(0),
    },
    queue: 100,
};

fn request(caller: &str, class_weight: u32, deadline: u64) -> Request {
    Request {
        caller: caller.parse().unwrap(),
        weight: 1,
        class: format!("class-{class_weight}").parse().unwrap(),
        class_weight,
        shape: service_time::Shape(0),
        deadline: Time::from_millis(deadline),
    }
}

fn started(actions: &[Action]) -> Vec<Key> {
    let key = |a: &Action| match a {
        Action::Start(key) => Some(*key),
        Action::Reject(..) => None,
    };
    actions.iter().filter_map(key).collect()
}

struct Bench {
    admission: Admission,
    rng: SmallRng,
}

impl Bench {
    fn new(limits: Limits) -> Self {
        Self {
            admission: Admission::new(limits),
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn submit(&mut self, request: Request, ms: u64) -> (Key, Vec<Action>) {
        let now = Time::from_millis(ms);
        self.admission.submit(request, now, &mut self.rng)
    }

    /// Ends `key` and returns the one that starts instead.
    fn next(&mut self, key: Key, ms: u64) -> Option<Key> {
        let now = Time::from_millis(ms);
        let actions = self.admission.finished(key, Completion::Responded, now);
        started(&actions).first().copied()
    }
}

// A tenant's payment arrives behind fifty listings of its own and of others. It is the next to
// start, because its class is urgent and its caller near its share.
#[test]
fn payment_precedes_listings() {
    let mut b = Bench::new(ONE_SLOT);
    let (first, _) = b.submit(request("a", 1, 10_000), 0);
    for n in 0..50 {
        b.submit(request(if n % 2 == 0 { "a" } else { "b" }, 1, 10_000), 0);
    }
    let (payment, _) = b.submit(request("a", 8, 10_000), 0);
    assert_eq!(b.next(first, 5), Some(payment));
}

// One caller floods the queue, then another sends one request. It does not wait behind the
// flood, because callers are served in turn.
#[test]
fn callers_take_turns() {
    let mut b = Bench::new(ONE_SLOT);
    let (first, _) = b.submit(request("flood", 1, 10_000), 0);
    for _ in 0..50 {
        b.submit(request("flood", 1, 10_000), 0);
    }
    let (quiet, _) = b.submit(request("quiet", 1, 10_000), 0);
    let second = b.next(first, 5).unwrap();
    let third = b.next(second, 10).unwrap();
    assert!(second == quiet || third == quiet);
}

// Two callers send only payments, far above their shares, and one also has a listing waiting.
// The listing runs, after at most as many payments as the weights allow.
#[test]
fn no_class_starves() {
    let mut b = Bench::new(ONE_SLOT);
    let (mut running, _) = b.submit(request("a", 8, 100_000), 0);
    for _ in 0..45 {
        b.submit(request("a", 8, 100_000), 0);
        b.submit(request("b", 8, 100_000), 0);
    }
    let (listing, _) = b.submit(request("a", 1, 100_000), 0);
    let mut turns = 0;
    while running != listing {
        turns += 1;
        running = b.next(running, 5 * turns).unwrap();
    }
    assert!(turns <= 2 * 10, "the listing ran after {turns} requests");
}

// The backlog is 500 ms long, and a caller waits 100 ms at most. It is rejected on arrival,
// with the time until the backlog is served as a retry hint.
#[test]
fn requests_with_too_long_a_wait_are_rejected_on_arrival() {
    let mut b = Bench::new(ONE_SLOT);
    for _ in 0..100 {
        b.submit(request("a", 1, 10_000), 0);
    }
    let (key, actions) = b.submit(request("a", 1, 100), 0);
    let [Action::Reject(rejected, why)] = actions.as_slice() else {
        panic!("admitted: {actions:?}");
    };
    assert_eq!((*rejected, why.reason), (key, Reason::Backlog));
    assert!(why.retry_after >= Span::from_millis(300), "{why}");
}

// A statement occupies the only slot for a second. The request behind it is rejected as soon as
// it can no longer finish in time, not at its deadline.
#[test]
fn late_requests_are_rejected_early() {
    let mut b = Bench::new(ONE_SLOT);
    b.submit(request("a", 1, 10_000), 0);
    let (late, _) = b.submit(request("b", 1, 100), 0);
    let at = b.admission.next_tick(Time::default()).unwrap();
    assert!(at < Time::from_millis(100));
    let actions = b.admission.tick(at, &mut b.rng);
    assert!(matches!(actions[..], [Action::Reject(key, why)]
        if key == late && why.reason == Reason::Expired));
    assert_eq!(b.admission.queued(), 0);
}

// The queue is full of one caller's requests when another caller arrives. The newest request of
// the flood is evicted for it; the flooding caller itself gets no more space.
#[test_case("quiet", true; "another caller")]
#[test_case("flood", false; "the flooding caller")]
fn full_queue_evicts_the_largest_backlog(caller: &str, admitted: bool) {
    let mut b = Bench::new(ONE_SLOT);
    for _ in 0..=ONE_SLOT.queue {
        b.submit(request("flood", 1, 100_000), 0);
    }
    let (key, actions) = b.submit(request(caller, 1, 100_000), 0);
    let [Action::Reject(out, why)] = actions[..] else {
        panic!("nothing rejected");
    };
    assert_eq!((why.reason, out != key), (Reason::Full, admitted));
    assert_eq!(b.admission.queued(), ONE_SLOT.queue as usize);
}
