//! Callers that go on connecting while a proxy stops, and what became of their statements.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standin::managed::Managed;

use super::{Caller, TIMEOUT, unused_id};

/// Pause of a caller that was not let in.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// A statement that was sent on an open session and got no whole reply.
#[derive(Clone, Debug)]
pub(crate) struct Unanswered {
    pub(crate) id: String,
    pub(crate) text: String,
    pub(crate) sent: Instant,
    /// When the connection had ended, or the reply had timed out.
    pub(crate) ended: Instant,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.id, self.text)
    }
}

/// What became of the statements of several callers.
#[derive(Default)]
pub(crate) struct Tally {
    stop: AtomicBool,
    counts: Mutex<Counts>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) done: usize,
    /// Statements with an error as their reply.
    pub(crate) failed: usize,
    /// Of these, the ones of unknown outcome.
    pub(crate) in_doubt: usize,
    pub(crate) unanswered: Vec<Unanswered>,
}

impl Tally {
    /// Ends the callers, and returns what became of their statements.
    pub(crate) fn finish(&self) -> Counts {
        self.stop.store(true, Ordering::Relaxed);
        self.counts.lock().unwrap().clone()
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends a statement; `false` if the session must not be used further.
    fn send(&self, session: &mut Caller, text: &str) -> bool {
        let (id, sent) = (unused_id(), Instant::now());
        if !session.is_open() {
            return false;
        }
        let reply = session.query_with(&id, text);
        let mut counts = self.counts.lock().unwrap();
        match &reply {
            Some(reply) if reply.done() => counts.done += 1,
            Some(reply) => {
                counts.failed += 1;
                counts.in_doubt += usize::from(reply.code() == Some("INDOUBT"));
            }
            None => {
                let text = text.to_owned();
                let ended = Instant::now();
                let unanswered = Unanswered {
                    id,
                    text,
                    sent,
                    ended,
                };
                counts.unanswered.push(unanswered);
            }
        }
        reply.is_some_and(|reply| reply.done())
    }
}

impl Counts {
    /// The unanswered statements that an instance ran.
    pub(crate) fn ran(&self, managed: &Managed) -> usize {
        let ran = |statement: &&Unanswered| managed.runs(&statement.id) > 0;
        self.unanswered.iter().filter(ran).count()
    }
}

/// Connects, sends statements and transactions with pauses of up to `pause_ms`, and connects
/// again, until the tally ends.
pub(crate) fn call(caller: u64, proxy: SocketAddr, pause_ms: u64, tally: &Tally) {
    let mut rng = SmallRng::seed_from_u64(caller);
    let item = format!("s{caller}");
    while !tally.stopped() {
        let session = Caller::try_connect_within(proxy, "audit", "me", TIMEOUT);
        let Some(mut session) = session else {
            thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        while !tally.stopped() && call_once(&mut rng, &mut session, &item, tally) {
            thread::sleep(Duration::from_millis(rng.random_range(0..=pause_ms)));
        }
    }
}

/// Sends one statement or one transaction; `false` once the session must not be used further.
fn call_once(rng: &mut SmallRng, session: &mut Caller, item: &str, tally: &Tally) -> bool {
    let write = format!("WRITE {item} {}", rng.random_range(0..1_000));
    let read = format!("READ {item}");
    match rng.random_range(0..4) {
        0 => tally.send(session, &write),
        1 => ["BEGIN", &write, &read, "COMMIT"].into_iter().all(|text| {
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
            tally.send(session, text)
        }),
        _ => tally.send(session, &read),
    }
}
