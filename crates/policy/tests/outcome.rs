//! Request outcomes against an oracle that knows what the server really did.

use policy::outcome::{Kind, MAX_SENT, Outcome, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// One disturbance, with what the server did behind the proxy's back.
#[derive(Clone, Debug)]
enum Step {
    /// No route or connection, with time left or not.
    NoWay { time_left: bool },
    /// Bytes leave; the server may run them before the connection is lost.
    Lost {
        runs: bool,
        begun: bool,
        time_left: bool,
    },
    /// The server refuses, having run nothing.
    Refused { time_left: bool },
    /// The server refuses what was taken for a read, having run nothing.
    Writes { time_left: bool },
    /// The server runs it, but no majority confirms.
    Unconfirmed,
}

/// What really happened.
#[derive(Clone, Debug)]
struct Truth {
    kind: Kind,
    executions: u32,
    maybe_left: u32,
    ended: bool,
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Truth;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Truth> {
        prop_oneof![Just(Kind::Read), Just(Kind::Write), Just(Kind::Once)]
            .prop_map(|kind| Truth {
                kind,
                executions: 0,
                maybe_left: 0,
                ended: false,
            })
            .boxed()
    }

    fn transitions(_: &Truth) -> BoxedStrategy<Step> {
        prop_oneof![
            any::<bool>().prop_map(|time_left| Step::NoWay { time_left }),
            any::<(bool, bool, bool)>().prop_map(|(runs, begun, time_left)| Step::Lost {
                runs,
                begun,
                time_left
            }),
            any::<bool>().prop_map(|time_left| Step::Refused { time_left }),
            any::<bool>().prop_map(|time_left| Step::Writes { time_left }),
            Just(Step::Unconfirmed),
        ]
        .boxed()
    }

    fn apply(state: Truth, _: &Step) -> Truth {
        state
    }
}

struct Run {
    outcome: Outcome,
    truth: Truth,
}

impl Run {
    fn send(&mut self) {
        self.outcome.sending();
        self.truth.maybe_left += 1;
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Run;
    type Reference = Machine;

    fn init_test(truth: &Truth) -> Run {
        Run {
            outcome: Outcome::new(truth.kind),
            truth: truth.clone(),
        }
    }

    fn apply(mut run: Run, _: &Truth, step: Step) -> Run {
        if run.truth.ended {
            return run;
        }
        let verdict = match step {
            Step::NoWay { time_left } => run.outcome.lost(time_left),
            Step::Lost {
                runs,
                begun,
                time_left,
            } => {
                run.send();
                run.truth.executions += u32::from(runs || begun);
                if begun {
                    run.outcome.response_started();
                }
                run.outcome.lost(time_left)
            }
            Step::Refused { time_left } => {
                run.send();
                run.outcome.refused(time_left)
            }
            Step::Writes { time_left } => {
                run.send();
                if run.truth.kind == Kind::Read && run.truth.executions == 0 {
                    run.truth.kind = Kind::Write;
                    run.outcome.reclassify();
                }
                run.outcome.refused(time_left)
            }
            Step::Unconfirmed => {
                run.send();
                run.truth.executions += 1;
                run.outcome.unconfirmed()
            }
        };
        run.truth.ended = verdict != Verdict::Retry;
        check(&run.truth, verdict);
        run
    }
}

fn check(truth: &Truth, verdict: Verdict) {
    let writes = truth.kind != Kind::Read;
    assert!(truth.maybe_left <= MAX_SENT, "sent too often");
    match verdict {
        Verdict::DidNotRun => assert_eq!(truth.executions, 0, "a false did-not-run"),
        Verdict::Retry if writes => assert_eq!(truth.executions, 0, "a second execution"),
        Verdict::Retry | Verdict::Unknown => {}
        Verdict::Failed | Verdict::Abort => assert!(!writes, "a write must not be called failed"),
    }
    if truth.kind == Kind::Once {
        assert!(truth.maybe_left <= 1, "sent twice");
        assert!(
            verdict != Verdict::Retry || truth.maybe_left == 0,
            "would be sent twice"
        );
    }
}

fn cases() -> u32 {
    let set = std::env::var("POMELO_FUZZ_CASES").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(2_000)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_false_word_and_no_second_execution(sequential 1..8 => Machine);
}
