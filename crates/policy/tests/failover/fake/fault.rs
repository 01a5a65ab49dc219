//! Faults that begin and end.

use super::{SITES, World};

/// A fault as it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process of an instance is gone; its log is kept.
    Down(usize),
    /// An instance does nothing, and goes on later where it stopped.
    Freeze(usize),
    /// A data centre reaches no other.
    IsolateSite(usize),
    /// An instance reaches nobody but the proxies of its own data centre.
    IsolateInstance(usize),
    /// Two data centres do not reach each other.
    Partition(usize, usize),
    /// The same for whichever instance leads when the fault begins.
    DownLeader,
    FreezeLeader,
    IsolateLeaderSite,
    IsolateLeaderInstance,
    /// A proxy does nothing, and then takes in at once all that came meanwhile.
    Pause(usize),
    /// A proxy is gone, and a new one takes its place in the end.
    Kill(usize),
    /// A proxy takes itself for the only one, and so coordinates whatever others do.
    SeesNoPeers(usize),
    /// An instance is declared to be leaving.
    Leaving(usize),
    /// The store takes no request.
    StoreDown,
    /// Percent of the store's answers that are lost after taking effect.
    LoseReplies(u32),
    /// Percent of messages that are lost, and doubled.
    Loss(u32),
    /// Milliseconds by which messages are delayed and reordered.
    Jitter(u64),
    /// Records that a replica takes in a tick, at most.
    ReplicationLimit(u64),
}

impl World {
    /// Begins a fault. One that meets the leader stays with that instance.
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

    /// Makes the world as faulty as the list of faults says.
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
