//! What goes wrong during a soak.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;
use standin::managed::wire::{Weather, Wire};
use standin::managed::{Fault, StoreFault};

use crate::config;
use crate::oracle::Oracle;
use crate::testbed::{Bed, INSTANCES};

/// What ends by itself after a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ends {
    Pause(usize),
    Instance(usize),
    Store,
    InstanceWire(usize),
    StoreWire(usize),
    CallerWire(usize),
}

struct Disturbance<'a> {
    rng: SmallRng,
    bed: &'a mut Bed,
    oracle: &'a Oracle,
    ending: Vec<(Ends, Instant)>,
}

/// Lets things go wrong until the time is up, several at a time, and puts them right.
pub(crate) fn disturb(seed: u64, bed: &mut Bed, length: Duration, oracle: &Oracle) {
    let mut disturbance = Disturbance {
        rng: SmallRng::seed_from_u64(seed),
        bed,
        oracle,
        ending: Vec::new(),
    };
    let end = Instant::now() + length;
    while Instant::now() < end {
        disturbance.strike();
        let pause = disturbance.rng.random_range(60..500);
        thread::sleep(Duration::from_millis(pause));
        disturbance.end_due(Instant::now());
    }
    disturbance.end_all();
}

impl Disturbance<'_> {
    fn strike(&mut self) {
        let at = self.rng.random_range(0..self.bed.members.len());
        match self.rng.random_range(0..16) {
            0 => self.bed.members[at].proxy.restart(),
            1 | 2 => {
                self.bed.members[at].proxy.signal(Signal::STOP);
                self.until(Ends::Pause(at));
            }
            3 => self.stop_in_order(at),
            4 => self.store_fault(),
            5..=7 => self.instance_fault(),
            8 => {
                let instance = self.rng.random_range(0..INSTANCES);
                let wire = self.bed.instances[instance].clone();
                self.wire_fault(&wire, Ends::InstanceWire(instance));
            }
            9 => {
                let wire = self.bed.members[at].store.clone();
                self.wire_fault(&wire, Ends::StoreWire(at));
            }
            10 => {
                let wire = self.bed.members[at].callers.clone();
                self.wire_fault(&wire, Ends::CallerWire(at));
            }
            11 => self.late_orders(),
            12 => self.bed.managed.forget_history(),
            13 => self.bed.managed.lapse_leases(),
            14 => self.change_configuration(),
            _ => self.herd(),
        }
    }

    fn until(&mut self, what: Ends) {
        let after = Duration::from_millis(self.rng.random_range(100..1_800));
        self.ending.push((what, Instant::now() + after));
    }

    fn is_on(&self, what: Ends) -> bool {
        self.ending.iter().any(|(on, _)| *on == what)
    }

    /// Stopped in order, and killed soon after at times.
    fn stop_in_order(&mut self, at: usize) {
        self.bed.members[at].proxy.signal(Signal::TERM);
        thread::sleep(Duration::from_millis(self.rng.random_range(0..700)));
        self.bed.members[at].proxy.restart();
    }

    /// All are killed and started again.
    fn herd(&mut self) {
        if self.rng.random_bool(0.3) {
            for member in &mut self.bed.members {
                member.proxy.restart();
            }
        }
    }

    fn store_fault(&mut self) {
        if self.is_on(Ends::Store) {
            return;
        }
        let faults = [
            StoreFault::Away,
            StoreFault::Crowded,
            StoreFault::Slow(Duration::from_millis(300)),
            StoreFault::LosesAnswers,
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.bed.managed.set_store_fault(fault);
        self.until(Ends::Store);
    }

    fn instance_fault(&mut self) {
        let wrong = |(what, _): &(Ends, Instant)| matches!(what, Ends::Instance(_));
        if self.ending.iter().any(wrong) {
            return;
        }
        let faults = [
            Fault::Down,
            Fault::Dark,
            Fault::Deaf,
            Fault::Lagging,
            Fault::LosesAnswers,
            Fault::Busy,
        ];
        let instance = self.rng.random_range(0..INSTANCES);
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.bed.managed.set_fault(instance, fault);
        self.until(Ends::Instance(instance));
    }

    fn wire_fault(&mut self, wire: &Wire, ends: Ends) {
        let weather = match self.rng.random_range(0..6) {
            0 => return wire.reset(),
            1 => return wire.silence(),
            2 => Weather::Slow(Duration::from_millis(self.rng.random_range(5..120))),
            3 => Weather::CutForth,
            4 => Weather::CutBack,
            _ => Weather::Cut,
        };
        if !self.is_on(ends) {
            wire.set(weather);
            self.until(ends);
        }
    }

    fn late_orders(&mut self) {
        let delay = Duration::from_millis(self.rng.random_range(500..5_000));
        let managed = &self.bed.managed;
        match self.rng.random_range(0..4) {
            0 => managed.delay_next_order(delay),
            1 => managed.delay_next_statement("PAUSE", delay),
            2 => managed.delay_next_statement("RESUME", delay),
            _ => managed.delay_next_statement("DEMOTE", delay),
        }
    }

    fn change_configuration(&mut self) {
        let version = self.oracle.version() + 1;
        self.bed.managed.configure(&config::configuration(version));
        self.oracle.set_version(version);
    }

    fn end_due(&mut self, now: Instant) {
        let due: Vec<_> = self.ending.extract_if(.., |(_, at)| *at <= now).collect();
        for (what, _) in due {
            self.end(what);
        }
    }

    fn end(&self, what: Ends) {
        let bed = &self.bed;
        match what {
            Ends::Pause(at) => bed.members[at].proxy.signal(Signal::CONT),
            Ends::Instance(at) => bed.managed.set_fault(at, Fault::None),
            Ends::Store => bed.managed.set_store_fault(StoreFault::None),
            Ends::InstanceWire(at) => bed.instances[at].set(Weather::Clear),
            Ends::StoreWire(at) => bed.members[at].store.set(Weather::Clear),
            Ends::CallerWire(at) => bed.members[at].callers.set(Weather::Clear),
        }
    }

    fn end_all(mut self) {
        for (what, _) in std::mem::take(&mut self.ending) {
            self.end(what);
        }
        for member in &self.bed.members {
            member.proxy.signal(Signal::CONT);
        }
    }
}
