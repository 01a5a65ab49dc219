//! The faults of the measurement, in turn.

use std::time::{Duration, Instant};

use model::id::{GroupId, InstanceId};
use model::position::Term;
use standin::ControlError;
use standin::link::Reach;

use crate::decisions::{self, Stage};

/// Time from one fault to the next.
pub(super) const CYCLE: Duration = Duration::from_secs(6);
/// Time that a fault lasts.
const FAULT: Duration = Duration::from_millis(3_500);
/// Time that a fault lasts which must not change the primary.
const QUIET_FAULT: Duration = Duration::from_millis(1_500);
/// Time between two of those; the stand-ins give up silent connections within it, so
/// that each fault meets a server with all its connections to give.
const QUIET_PAUSE: Duration = Duration::from_millis(5_500);
/// How often each of those is switched on.
const QUIET_TIMES: u32 = 4;
/// A pause of the primary that callers may notice and proxies must sit out.
const STALL: Duration = Duration::from_millis(300);

/// A fault that takes the primary away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// The process ends.
    Kill,
    /// Nobody reaches it.
    CutOff,
    /// Only its own data centre's proxies reach it; it still believes that it leads.
    Isolated,
}

const LOSSES: [Loss; 3] = [Loss::Kill, Loss::CutOff, Loss::Isolated];

/// A fault that must not change the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Quiet {
    /// The primary stalls for 300 ms.
    Stall,
    /// One connection to the primary goes silent for good.
    OneSilent,
    /// Every open connection to the primary goes silent; new ones work.
    OpenSilent,
    /// A data centre without the primary is cut off.
    Partition,
}

pub(super) const QUIETS: [Quiet; 4] = [
    Quiet::Stall,
    Quiet::OneSilent,
    Quiet::OpenSilent,
    Quiet::Partition,
];

/// Time that all faults of [`Bench::quiet`] take together.
pub(super) fn quiet_length() -> Duration {
    (QUIET_FAULT + QUIET_PAUSE) * QUIET_TIMES * u32::try_from(QUIETS.len()).unwrap_or(u32::MAX)
}

/// One loss of a primary.
#[derive(Clone, Debug)]
pub(super) struct Strike {
    pub(super) loss: Loss,
    pub(super) at: Instant,
    /// End of the time in which its gap is looked for.
    pub(super) until: Instant,
    /// Whether another primary led before the fault was over.
    pub(super) replaced: bool,
    /// Stages that the proxies logged.
    pub(super) stages: Vec<Stage>,
    /// Whether every instance followed the newest primary before the next fault.
    pub(super) settled: bool,
}

/// Outcome of one kind of fault that must not change the primary.
#[derive(Clone, Debug)]
pub(super) struct Calm {
    pub(super) quiet: Quiet,
    pub(super) times: u32,
    /// Changes of term while it was on or shortly after.
    pub(super) changes: u64,
    pub(super) spans: Vec<(Instant, Instant)>,
}

/// The group under measurement and the handle to its faults.
pub(super) struct Bench {
    group: GroupId,
    control: standin::Control,
    instances: Vec<InstanceId>,
    /// Data centre of each instance, by index.
    homes: Vec<usize>,
}

type Done<T> = Result<T, ControlError>;

impl Bench {
    pub(super) fn new(stand_ins: &standin::Fleet, group: &GroupId) -> Self {
        let addresses = stand_ins.addresses();
        let of_group = || {
            addresses
                .instances
                .iter()
                .filter(|(_, p)| p.group == *group)
        };
        let home = |p: &standin::Placed| addresses.platform.get_index_of(&p.data_centre);
        Self {
            group: group.clone(),
            control: stand_ins.control(),
            instances: of_group().map(|(id, _)| id.clone()).collect(),
            homes: of_group().filter_map(|(_, p)| home(p)).collect(),
        }
    }

    /// The primary of the newest term, by index, with that term.
    fn primary(&self) -> Done<(usize, Term)> {
        let mut newest = (0, Term(0));
        for (at, id) in self.instances.iter().enumerate() {
            let status = self.control.status(id)?;
            let term = status.history.term();
            if status.role == "primary" && term > newest.1 {
                newest = (at, term);
            }
        }
        Ok(newest)
    }

    /// Whether all instances promised the newest term and none else leads.
    fn settled(&self) -> Done<bool> {
        let (primary, term) = self.primary()?;
        for (at, id) in self.instances.iter().enumerate() {
            let status = self.control.status(id)?;
            let follows = at == primary || status.role == "replica";
            if !follows || status.fenced != term {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Takes the primary away `count` times.
    pub(super) async fn strikes(&self, count: u32) -> Done<Vec<Strike>> {
        let start = Instant::now();
        let mut strikes = Vec::new();
        for number in 0..count {
            let loss = LOSSES[number as usize % LOSSES.len()];
            strikes.push(self.strike(loss, start + CYCLE * (number + 1)).await?);
        }
        Ok(strikes)
    }

    async fn strike(&self, loss: Loss, until: Instant) -> Done<Strike> {
        let (primary, term) = self.primary()?;
        let id = &self.instances[primary];
        decisions::take();
        let at = Instant::now();
        match loss {
            Loss::Kill => self.control.kill(id)?,
            Loss::CutOff => self.control.isolate(id, Some(Reach::Nobody))?,
            Loss::Isolated => self.control.isolate(id, Some(Reach::SameDataCentre))?,
        }
        compio::time::sleep(FAULT).await;
        let replaced = self.primary()?.1 > term;
        match loss {
            Loss::Kill => self.control.restart(id)?,
            Loss::CutOff | Loss::Isolated => self.control.isolate(id, None)?,
        }
        compio::time::sleep_until(until).await;
        let settled = self.settled()?;
        let of_group = |s: &Stage| s.group == self.group.as_str();
        let stages = decisions::take().into_iter().filter(of_group).collect();
        tracing::info!(?loss, instance = %id, replaced, settled, "fault over");
        Ok(Strike {
            loss,
            at,
            until,
            replaced,
            stages,
            settled,
        })
    }

    /// A data centre with an instance but without the primary.
    pub(super) fn spared(&self) -> Done<Option<usize>> {
        let home = self.homes[self.primary()?.0];
        Ok(self.homes.iter().copied().rfind(|site| *site != home))
    }

    /// Switches on each fault that must not change the primary.
    ///
    /// `spared` is the data centre to cut off.
    pub(super) async fn quiet(&self, spared: Option<usize>) -> Done<Vec<Calm>> {
        let mut calms = Vec::new();
        for quiet in QUIETS {
            let before = self.primary()?.1;
            let mut spans = Vec::new();
            for _ in 0..QUIET_TIMES {
                let start = Instant::now();
                self.switch_on(quiet, spared)?;
                compio::time::sleep(QUIET_FAULT).await;
                self.control.heal()?;
                compio::time::sleep(QUIET_PAUSE).await;
                spans.push((start, Instant::now()));
            }
            let changes = self.primary()?.1.0 - before.0;
            calms.push(Calm {
                quiet,
                times: QUIET_TIMES,
                changes,
                spans,
            });
        }
        Ok(calms)
    }

    fn switch_on(&self, quiet: Quiet, spared: Option<usize>) -> Done<()> {
        let (primary, _) = self.primary()?;
        let id = &self.instances[primary];
        match quiet {
            Quiet::Stall => self.control.pause(id, STALL),
            Quiet::OneSilent => {
                let ports = self.control.ports(id)?;
                match ports.first() {
                    Some(port) => self.control.silence_port(id, *port),
                    None => Ok(()),
                }
            }
            Quiet::OpenSilent => self.control.silence_open(id),
            Quiet::Partition => spared.map_or(Ok(()), |site| self.control.partition(site)),
        }
    }
}
