//! Checks verdicts against a model that knows what the server really executed.

use policy::outcome::{Kind, MAX_SENT, Outcome, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// One interruption, with what the server executed unknown to the proxy.
#[derive(Clone, Debug)]
enum Step {
    /// There is no route or connection.
    NoRoute { time_left: bool },
    /// Bytes are sent; the server may run them before the connection is lost.
    Lost {
        runs: bool,
        responded: bool,
        time_left: bool,
    },
    /// The server rejects the request without running it.
    Refused { time_left: bool },
    /// The server rejects, without running it, a write that was classified as a read.
    Reclassified { time_left: bool },
    /// The server runs it, but no majority confirms it.
    Unconfirmed,
}

/// What really happened.
#[derive(Clone, Debug)]
struct Truth {
    kind: Kind,
    executions: u32,
    times_sent: u32,
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
                times_sent: 0,
                ended: false,
            })
            .boxed()
    }

    fn transitions(_: &Truth) -> BoxedStrategy<Step> {
        prop_oneof![
            any::<bool>().prop_map(|time_left| Step::NoRoute { time_left }),
            any::<(bool, bool, bool)>().prop_map(|(runs, responded, time_left)| Step::Lost {
                runs,
                responded,
                time_left
            }),
            any::<bool>().prop_map(|time_left| Step::Refused { time_left }),
            any::<bool>().prop_map(|time_left| Step::Reclassified { time_left }),
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
        self.truth.times_sent += 1;
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
            Step::NoRoute { time_left } => run.outcome.lost(time_left),
            Step::Lost {
                runs,
                responded,
                time_left,
            } => {
                run.send();
                run.truth.executions += u32::from(runs || responded);
                if responded {
                    run.outcome.response_started();
                }
                run.outcome.lost(time_left)
            }
            Step::Refused { time_left } => {
                run.send();
                run.outcome.refused(time_left)
            }
            Step::Reclassified { time_left } => {
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
    assert!(truth.times_sent <= MAX_SENT, "sent too often");
    match verdict {
        Verdict::DidNotRun => assert_eq!(truth.executions, 0, "reported as not run, but it ran"),
        Verdict::Retry if writes => assert_eq!(truth.executions, 0, "a write would run twice"),
        Verdict::Retry | Verdict::Unknown => {}
        Verdict::Failed | Verdict::Abort => assert!(!writes, "a write must not be reported failed"),
    }
    if truth.kind == Kind::Once {
        assert!(truth.times_sent <= 1, "sent twice");
        assert!(
            verdict != Verdict::Retry || truth.times_sent == 0,
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
    fn no_false_report_and_no_second_execution(sequential 1..8 => Machine);
}
