//! The pool and the state of its connections, against an oracle that plays the server.

use std::collections::BTreeMap;

use bytes::Bytes;
use pg::frame::Frame;
use pg::tag;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use proxy::backend::{Status, Tracker};
use proxy::pool::core::{Action, Core};

#[derive(Clone, Debug)]
enum Step {
    Acquire,
    Opened(bool),
    /// A holder sends a request with one or two ready messages due.
    Send {
        holder: usize,
        readies: u32,
    },
    /// The server ends one request, in this state.
    Ready {
        holder: usize,
        status: Status,
    },
    /// The server says something that nobody asked for.
    Stray {
        holder: usize,
    },
    Release {
        holder: usize,
    },
    Limit(usize),
    Purge,
    Trim,
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let status = prop_oneof![
            4 => Just(Status::Idle),
            1 => Just(Status::Open),
            1 => Just(Status::Failed)
        ];
        prop_oneof![
            4 => Just(Step::Acquire),
            3 => any::<bool>().prop_map(Step::Opened),
            4 => (0usize..8, 1u32..3).prop_map(|(holder, readies)| Step::Send { holder, readies }),
            6 => (0usize..8, status).prop_map(|(holder, status)| Step::Ready { holder, status }),
            1 => (0usize..8).prop_map(|holder| Step::Stray { holder }),
            4 => (0usize..8).prop_map(|holder| Step::Release { holder }),
            1 => (0usize..6).prop_map(Step::Limit),
            1 => Just(Step::Purge),
            1 => Just(Step::Trim),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// What the server knows of a connection.
#[derive(Clone, Copy, Debug)]
struct Truth {
    due: u32,
    status: Status,
    stray: bool,
}

#[derive(Clone, Debug)]
struct Conn {
    id: u32,
    tracker: Tracker,
}

struct World {
    core: Core<Conn, u32>,
    truth: BTreeMap<u32, Truth>,
    held: Vec<Conn>,
    limit: usize,
    opening: usize,
    next: u32,
}

impl World {
    fn perform(&mut self, actions: Vec<Action<Conn, u32>>) {
        for action in actions {
            match action {
                Action::Open => self.opening += 1,
                Action::Give(_, conn) => {
                    let truth = self.truth[&conn.id];
                    assert!(truth.due == 0, "an answer to another request is due");
                    assert!(truth.status == Status::Idle, "in another's transaction");
                    assert!(!truth.stray, "its state is not known");
                    let twice = self.held.iter().any(|c| c.id == conn.id);
                    assert!(!twice, "held by two transactions");
                    self.held.push(conn);
                }
                Action::Fail(_) => {}
                Action::Close(conn) => {
                    self.truth.remove(&conn.id);
                    let more = self.core.gone();
                    self.perform(more);
                }
            }
        }
    }

    fn open(&mut self) {
        let id = self.next;
        self.next += 1;
        let fresh = Truth {
            due: 0,
            status: Status::Idle,
            stray: false,
        };
        self.truth.insert(id, fresh);
        let conn = Conn {
            id,
            tracker: Tracker::default(),
        };
        let actions = self.core.opened(conn);
        self.perform(actions);
    }

    fn release(&mut self, at: usize) {
        let conn = self.held.swap_remove(at);
        let actions = if conn.tracker.is_clean() {
            self.core.released(conn)
        } else {
            self.truth.remove(&conn.id);
            self.core.gone()
        };
        self.perform(actions);
    }

    fn ready(&mut self, at: usize, status: Status) {
        let conn = &mut self.held[at];
        let truth = self
            .truth
            .get_mut(&conn.id)
            .expect("a held connection is open");
        if truth.due == 0 {
            return;
        }
        truth.due -= 1;
        truth.status = status;
        conn.tracker.received(&ready(status));
    }
}

fn ready(status: Status) -> Frame {
    let raw = vec![tag::READY, 0, 0, 0, 5, status.byte()];
    Frame {
        tag: tag::READY,
        raw: Bytes::from(raw),
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Machine;

    fn init_test((): &()) -> World {
        World {
            core: Core::new(3),
            truth: BTreeMap::new(),
            held: Vec::new(),
            limit: 3,
            opening: 0,
            next: 0,
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        let there = |holder: usize| holder < world.held.len();
        let actions = match step {
            Step::Acquire => world.core.acquire(0),
            Step::Opened(ok) if world.opening > 0 => {
                world.opening -= 1;
                match ok {
                    true => world.open(),
                    false => {
                        let actions = world.core.failed();
                        world.perform(actions);
                    }
                }
                Vec::new()
            }
            Step::Send { holder, readies } if there(holder) => {
                let conn = &mut world.held[holder];
                conn.tracker.sent(readies);
                world.truth.get_mut(&conn.id).expect("open").due += readies;
                Vec::new()
            }
            Step::Ready { holder, status } if there(holder) => {
                world.ready(holder, status);
                Vec::new()
            }
            Step::Stray { holder } if there(holder) => {
                let conn = &mut world.held[holder];
                let truth = world.truth.get_mut(&conn.id).expect("open");
                if truth.due == 0 {
                    truth.stray = true;
                    conn.tracker.received(&ready(Status::Idle));
                }
                Vec::new()
            }
            Step::Release { holder } if there(holder) => {
                world.release(holder);
                Vec::new()
            }
            Step::Limit(limit) => {
                world.limit = limit;
                world.core.set_limit(limit)
            }
            Step::Purge => world.core.purge(),
            Step::Trim => world.core.trim(),
            _ => Vec::new(),
        };
        world.perform(actions);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        let open = world.truth.len() + world.opening;
        assert_eq!(
            world.core.open(),
            open,
            "the count of open connections is wrong"
        );
    }
}

fn cases() -> u32 {
    let set = std::env::var("POMELO_FUZZ_CASES").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(1_000)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_connection_is_shared_or_reused_unclean(sequential 1..80 => Machine);
}
