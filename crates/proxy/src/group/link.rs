//! The connections of a group task to one instance.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use model::id::InstanceId;
use policy::message::{Channel, QueryId};
use policy::route::Failure;
use policy::status::Status;

use super::client::{Connection, Login, Reader};
use super::round_trip::RoundTrip;

/// Longest time for a question on a connection of its own, its opening included.
const FRESH_WITHIN: Duration = Duration::from_millis(1_000);

/// Time for which an answered connection is kept for the next order. Claim, fence and
/// promotion follow each other within it, and each then saves the opening of a connection
/// (10 to 30 ms and two round trips); a backend server's connections are too few to keep
/// it for longer.
const SPARE_FOR: Duration = Duration::from_millis(2_000);

/// Silence of the long-lived connection after which an answer on a fresh one proves that
/// something between the ends has forgotten it; it is then closed.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(100);

/// An answer of an instance.
pub(super) struct Answer {
    pub(super) query: QueryId,
    pub(super) result: Result<Status, Failure>,
    /// The time on the way there and back, when it is known to have changed.
    pub(super) round_trip: Option<(InstanceId, Duration)>,
}

impl Answer {
    fn new(query: QueryId, result: Result<Status, Failure>) -> Self {
        let round_trip = None;
        Self {
            query,
            result,
            round_trip,
        }
    }
}

/// A question to an instance.
#[derive(Clone, Debug)]
pub(super) struct Question {
    pub(super) query: QueryId,
    pub(super) sql: String,
    /// Whether it is an order, which may reuse an answered connection: only a status that
    /// serves as evidence of life needs a new one.
    pub(super) order: bool,
}

/// Questions of the long-lived connection without an answer, oldest first.
type Pending = Rc<RefCell<VecDeque<(QueryId, Instant)>>>;

struct Steady {
    tx: flume::Sender<Question>,
    pending: Pending,
    /// Cancelled when dropped.
    _task: JoinHandle<()>,
}

/// The connections to one instance.
pub(super) struct Link {
    instance: InstanceId,
    login: Rc<Login>,
    tx: flume::Sender<Answer>,
    steady: Option<Steady>,
    spare: Rc<Cell<Option<(Connection, Instant)>>>,
}

impl Link {
    pub(super) fn new(instance: InstanceId, login: Login, tx: flume::Sender<Answer>) -> Self {
        Self {
            instance,
            login: Rc::new(login),
            tx,
            steady: None,
            spare: Rc::default(),
        }
    }

    pub(super) fn ask(&mut self, question: Question, channel: Channel) {
        match channel {
            Channel::Persistent => self.ask_steady(question),
            Channel::Fresh => self.ask_fresh(question),
        }
    }

    /// Notes that the instance answered. Closes what is idle, and the long-lived
    /// connection if that one stayed silent meanwhile.
    pub(super) fn answered(&mut self, query: QueryId) {
        let Some(steady) = &self.steady else {
            return;
        };
        let pending = steady.pending.borrow();
        let oldest = pending.front().copied();
        drop(pending);
        let forgotten = oldest.is_some_and(|(q, at)| q != query && at.elapsed() >= FORGOTTEN_AFTER);
        if forgotten {
            self.steady = None;
        }
    }

    /// Closes the spare connection once it is too old.
    pub(super) fn tidy(&self) {
        let spare = self.spare.take();
        self.spare
            .set(spare.filter(|(_, at)| at.elapsed() < SPARE_FOR));
    }

    fn ask_steady(&mut self, question: Question) {
        let (instance, login, tx) = (&self.instance, &self.login, &self.tx);
        let steady = self.steady.get_or_insert_with(|| open(instance, login, tx));
        let entry = (question.query, Instant::now());
        steady.pending.borrow_mut().push_back(entry);
        if let Err(flume::SendError(question)) = steady.tx.send(question) {
            // The connection broke since the last question; the next one opens another.
            self.steady = None;
            let _ = self
                .tx
                .send(Answer::new(question.query, Err(Failure::Broken)));
        }
    }

    fn ask_fresh(&mut self, question: Question) {
        let (login, tx) = (self.login.clone(), self.tx.clone());
        let spare = self.spare.clone();
        let reused = if question.order { spare.take() } else { None };
        compio::runtime::spawn(async move {
            let asked = ask_once(&login, reused.map(|(c, _)| c), &question.sql);
            let asked = compio::time::timeout(FRESH_WITHIN, asked).await;
            let result = match asked {
                Ok(Ok((connection, status))) => {
                    spare.set(Some((connection, Instant::now())));
                    Ok(status)
                }
                Ok(Err(e)) => Err(e),
                Err(_) => Err(Failure::Timeout),
            };
            let _ = tx.send(Answer::new(question.query, result));
        })
        .detach();
    }
}

async fn ask_once(
    login: &Login,
    reused: Option<Connection>,
    sql: &str,
) -> Result<(Connection, Status), Failure> {
    let mut connection = match reused {
        Some(connection) => connection,
        None => Connection::open(login).await?,
    };
    let status = connection.ask(sql).await?;
    Ok((connection, status))
}

fn open(instance: &InstanceId, login: &Rc<Login>, answers: &flume::Sender<Answer>) -> Steady {
    let (tx, rx) = flume::unbounded();
    let pending = Pending::default();
    let round_trip = (instance.clone(), RoundTrip::new(Instant::now()));
    let task = run(
        round_trip,
        login.clone(),
        rx,
        answers.clone(),
        pending.clone(),
    );
    Steady {
        tx,
        pending,
        _task: compio::runtime::spawn(task),
    }
}

/// Serves the long-lived connection until it breaks; then every question without an
/// answer has failed.
async fn run(
    mut round_trip: (InstanceId, RoundTrip),
    login: Rc<Login>,
    rx: flume::Receiver<Question>,
    answers: flume::Sender<Answer>,
    pending: Pending,
) {
    let failure = serve(&mut round_trip, &login, &rx, &answers, &pending).await;
    drop(rx);
    for (query, _) in pending.borrow_mut().drain(..) {
        let _ = answers.send(Answer::new(query, Err(failure)));
    }
}

async fn serve(
    round_trip: &mut (InstanceId, RoundTrip),
    login: &Login,
    rx: &flume::Receiver<Question>,
    answers: &flume::Sender<Answer>,
    pending: &Pending,
) -> Failure {
    let connection = Connection::open(login).await;
    let Connection {
        mut tx,
        rx: mut reader,
    } = match connection {
        Ok(connection) => connection,
        Err(e) => return e,
    };
    let write = async {
        while let Ok(question) = rx.recv_async().await {
            if let Err(e) = tx.send(&question.sql).await {
                return e;
            }
        }
        Failure::Broken
    };
    let read = read(round_trip, &mut reader, answers, pending);
    futures_util::pin_mut!(write, read);
    futures_util::future::select(write, read)
        .await
        .factor_first()
        .0
}

async fn read(
    (instance, round_trip): &mut (InstanceId, RoundTrip),
    reader: &mut Reader,
    answers: &flume::Sender<Answer>,
    pending: &Pending,
) -> Failure {
    loop {
        let result = reader.status().await;
        if let Err(e @ (Failure::Broken | Failure::Refused)) = result {
            return e;
        }
        let answered = pending.borrow_mut().pop_front();
        if let Some((query, asked)) = answered {
            let changed = round_trip.record(asked.elapsed(), Instant::now());
            let _ = answers.send(Answer {
                query,
                result,
                round_trip: changed.map(|round_trip| (instance.clone(), round_trip)),
            });
        }
    }
}
