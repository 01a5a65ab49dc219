//! Fault injection during a soak run.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;
use standin::managed::wire::{Weather, Wire};
use standin::managed::{Fault, StoreFault};

use crate::config;
use crate::oracle::Oracle;
use crate::testbed::{INSTANCES, Testbed};

/// Longest duration of a fault that is ended.
pub(crate) const MAX_FAULT: Duration = Duration::from_millis(1_800);

/// A fault that is ended after some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimedFault {
    Pause(usize),
    Instance(usize),
    Store,
    InstanceWire(usize),
    StoreWire(usize),
    CallerWire(usize),
}

struct Injector<'a> {
    rng: SmallRng,
    testbed: &'a Testbed,
    oracle: &'a Oracle,
    active: Vec<(TimedFault, Instant)>,
}

/// Injects faults for `length`, several at a time, and ends them all.
pub(crate) fn inject(seed: u64, testbed: &Testbed, length: Duration, oracle: &Oracle) {
    let mut injector = Injector {
        rng: SmallRng::seed_from_u64(seed),
        testbed,
        oracle,
        active: Vec::new(),
    };
    let end = Instant::now() + length;
    while Instant::now() < end {
        injector.inject_one();
        let pause = injector.rng.random_range(60..500);
        thread::sleep(Duration::from_millis(pause));
        injector.end_due(Instant::now());
    }
    injector.end_all();
}

impl Injector<'_> {
    fn inject_one(&mut self) {
        let at = self.rng.random_range(0..self.testbed.nodes.len());
        match self.rng.random_range(0..16) {
            0 => self.testbed.nodes[at].proxy.restart(),
            1 | 2 => {
                self.testbed.nodes[at].proxy.signal(Signal::STOP);
                self.end_later(TimedFault::Pause(at));
            }
            3 => self.stop_gracefully(at),
            4 => self.store_fault(),
            5..=7 => self.instance_fault(),
            8 => {
                let instance = self.rng.random_range(0..INSTANCES);
                let wire = self.testbed.instances[instance].clone();
                self.wire_fault(&wire, TimedFault::InstanceWire(instance));
            }
            9 => {
                let wire = self.testbed.nodes[at].store.clone();
                self.wire_fault(&wire, TimedFault::StoreWire(at));
            }
            10 => {
                let wire = self.testbed.nodes[at].callers.clone();
                self.wire_fault(&wire, TimedFault::CallerWire(at));
            }
            11 => self.delay_orders(),
            12 => self.testbed.managed.forget_history(),
            13 => self.testbed.managed.lapse_leases(),
            14 => self.change_configuration(),
            _ => self.restart_all(),
        }
    }

    fn end_later(&mut self, fault: TimedFault) {
        let longest = MAX_FAULT.as_millis() as u64;
        let after = Duration::from_millis(self.rng.random_range(100..longest));
        self.active.push((fault, Instant::now() + after));
    }

    fn is_active(&self, fault: TimedFault) -> bool {
        self.active.iter().any(|(active, _)| *active == fault)
    }

    /// Stops a proxy gracefully, and kills it if it has not exited within a random time.
    fn stop_gracefully(&mut self, at: usize) {
        self.testbed.nodes[at].proxy.signal(Signal::TERM);
        thread::sleep(Duration::from_millis(self.rng.random_range(0..700)));
        self.testbed.nodes[at].proxy.restart();
    }

    /// At times kills and restarts all proxies at once.
    fn restart_all(&mut self) {
        if self.rng.random_bool(0.3) {
            for node in &self.testbed.nodes {
                node.proxy.restart();
            }
        }
    }

    fn store_fault(&mut self) {
        if self.is_active(TimedFault::Store) {
            return;
        }
        let faults = [
            StoreFault::Away,
            StoreFault::Crowded,
            StoreFault::Slow(Duration::from_millis(300)),
            StoreFault::LosesAnswers,
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.testbed.managed.set_store_fault(fault);
        self.end_later(TimedFault::Store);
    }

    fn instance_fault(&mut self) {
        let is_instance =
            |(fault, _): &(TimedFault, Instant)| matches!(fault, TimedFault::Instance(_));
        if self.active.iter().any(is_instance) {
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
        self.testbed.managed.set_fault(instance, fault);
        self.end_later(TimedFault::Instance(instance));
    }

    fn wire_fault(&mut self, wire: &Wire, timed: TimedFault) {
        let weather = match self.rng.random_range(0..6) {
            0 => return wire.reset(),
            1 => return wire.silence(),
            2 => Weather::Slow(Duration::from_millis(self.rng.random_range(5..120))),
            3 => Weather::CutForth,
            4 => Weather::CutBack,
            _ => Weather::Cut,
        };
        if !self.is_active(timed) {
            wire.set(weather);
            self.end_later(timed);
        }
    }

    fn delay_orders(&mut self) {
        let delay = Duration::from_millis(self.rng.random_range(500..5_000));
        let managed = &self.testbed.managed;
        match self.rng.random_range(0..4) {
            0 => managed.delay_next_order(delay),
            1 => managed.delay_next_statement("PAUSE", delay),
            2 => managed.delay_next_statement("RESUME", delay),
            _ => managed.delay_next_statement("DEMOTE", delay),
        }
    }

    fn change_configuration(&mut self) {
        let version = self.oracle.version() + 1;
        self.testbed
            .managed
            .configure(&config::configuration(version));
        self.oracle.set_version(version);
    }

    fn end_due(&mut self, now: Instant) {
        let due: Vec<_> = self.active.extract_if(.., |(_, at)| *at <= now).collect();
        for (fault, _) in due {
            self.end(fault);
        }
    }

    fn end(&self, fault: TimedFault) {
        let testbed = &self.testbed;
        match fault {
            TimedFault::Pause(at) => testbed.nodes[at].proxy.signal(Signal::CONT),
            TimedFault::Instance(at) => testbed.managed.set_fault(at, Fault::None),
            TimedFault::Store => testbed.managed.set_store_fault(StoreFault::None),
            TimedFault::InstanceWire(at) => testbed.instances[at].set(Weather::Clear),
            TimedFault::StoreWire(at) => testbed.nodes[at].store.set(Weather::Clear),
            TimedFault::CallerWire(at) => testbed.nodes[at].callers.set(Weather::Clear),
        }
    }

    fn end_all(mut self) {
        for (fault, _) in std::mem::take(&mut self.active) {
            self.end(fault);
        }
        for node in &self.testbed.nodes {
            node.proxy.signal(Signal::CONT);
        }
    }
}
