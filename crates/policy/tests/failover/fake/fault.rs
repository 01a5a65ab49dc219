//! Injection of faults.

use super::{SITES, World};

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process of an instance is down; its log is kept.
    Down(usize),
    /// The process of an instance is paused, and continues when the fault ends.
    Freeze(usize),
    /// A data centre is partitioned from all others.
    IsolateSite(usize),
    /// An instance reaches only the proxies of its own data centre.
    IsolateInstance(usize),
    /// Two data centres are partitioned from each other.
    Partition(usize, usize),
    /// The same faults for the instance that leads when the fault begins.
    DownLeader,
    FreezeLeader,
    IsolateLeaderSite,
    IsolateLeaderInstance,
    /// A proxy is paused, and processes all queued input when the fault ends.
    Pause(usize),
    /// A proxy is killed, and a new one replaces it when the fault ends.
    Kill(usize),
    /// The membership shows a proxy no other live proxy, so that it has the first rank and
    /// coordinates whatever the others do.
    SeesNoPeers(usize),
    /// An instance is declared to be leaving.
    Leaving(usize),
    /// The store processes no request.
    StoreDown,
    /// Percentage of requests to the store that take effect but whose reply is lost.
    LoseReplies(u32),
    /// Percentage of messages that are lost, and of messages that are duplicated.
    Loss(u32),
    /// Largest extra delay of a message in milliseconds; it reorders messages.
    Jitter(u64),
    /// Largest number of records that a replica receives in one tick.
    ReplicationLimit(u64),
}

impl World {
    /// Begins a fault. A fault of the leader stays on that instance after a change of primary.
    pub(crate) fn begin(&mut self, fault: Fault) {
        let leader = self.leader();
        let fault = match fault {
            Fault::DownLeader => Fault::Down(leader),
            Fault::FreezeLeader => Fault::Freeze(leader),
            Fault::IsolateLeaderSite => Fault::IsolateSite(leader),
            Fault::IsolateLeaderInstance => Fault::IsolateInstance(leader),
            fault => fault,
        };
        self.faults.push(fault);
        self.apply_faults();
        if let Fault::Kill(at) = fault {
            self.kill_proxy(at);
        }
    }

    pub(crate) fn end_oldest(&mut self) {
        if !self.faults.is_empty() {
            self.faults.remove(0);
            self.apply_faults();
        }
    }

    pub(crate) fn end_all(&mut self) {
        self.faults.clear();
        self.apply_faults();
    }

    /// Brings the world into the state that the active faults describe.
    fn apply_faults(&mut self) {
        let has = |fault| self.faults.contains(&fault);
        let up: Vec<_> = (0..SITES).map(|at| !has(Fault::Down(at))).collect();
        let frozen: Vec<_> = (0..SITES).map(|at| has(Fault::Freeze(at))).collect();
        for (at, instance) in self.instances.iter_mut().enumerate() {
            (instance.up, instance.frozen) = (up[at], frozen[at]);
        }
        self.store.down = self.faults.contains(&Fault::StoreDown);
        (
            self.store.lose_replies,
            self.loss,
            self.jitter,
            self.replication_limit,
        ) = (0, 0, 2, 8);
        self.partitions.clear();
        for fault in self.faults.clone() {
            match fault {
                Fault::IsolateSite(site) => self.isolate(site),
                Fault::Partition(a, b) => self.partition(a, b),
                Fault::LoseReplies(percent) => self.store.lose_replies = percent,
                Fault::Loss(percent) => self.loss = percent,
                Fault::Jitter(ms) => self.jitter = ms,
                Fault::ReplicationLimit(limit) => self.replication_limit = limit,
                _ => {}
            }
        }
        for at in 0..SITES {
            self.set_leaving(at, self.faults.contains(&Fault::Leaving(at)));
        }
        self.publish_membership();
        for at in 0..self.proxies.len() {
            let paused = self.faults.contains(&Fault::Pause(at));
            if self.proxies[at].paused && !paused {
                self.resume_proxy(at);
            }
            self.proxies[at].paused = paused;
            if !self.proxies[at].alive && !self.faults.contains(&Fault::Kill(at)) {
                self.start_proxy(at);
            }
        }
    }
}
