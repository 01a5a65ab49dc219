//! Membership: which proxies run, and which of them act for their data centre.
//!
//! Within a data centre each proxy sends one heartbeat a second to the next of the others
//! in a shuffled order, and news travels along with the heartbeats. A proxy that leaves
//! two without an answer is suspected; unless it contradicts within two seconds, by
//! raising its incarnation, it is gone. Between data centres only a few proxies keep
//! links, and silence there condemns nobody for a minute: a cut link looks the same.
//!
//! The platform's VM list lags behind reality. It is used as a list of addresses to try,
//! and never as proof that a proxy runs or does not.

pub mod delegate;
pub mod gossip;
pub mod link;
pub mod message;
mod roles;
mod suspicion;
pub mod table;
pub mod timing;

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;

use gossip::GossipQueue;
use link::Links;
use message::{Action, Compare, Heartbeat, Peer};
use table::{MemberInfo, State, Table};
use timing::{ALONE, BEAT, COMPARE_EVERY, FETCH, MISSES};

/// The membership controller of one proxy.
#[derive(Debug)]
pub struct Membership {
    me: MemberInfo,
    table: Table,
    spread: GossipQueue,
    links: Links,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    /// Proxies of the own data centre still to get a heartbeat in this round.
    round: Vec<ProxyId>,
    misses: IndexMap<ProxyId, u32>,
    /// When the own data centre was last heard from, by any exchange.
    contact: Time,
    complete: Revision,
    watching: bool,
    due: Due,
    fetching_until: Option<Time>,
    storeless_until: Option<Time>,
}

/// When periodic work is due next.
#[derive(Debug, Default)]
struct Due {
    beat: Time,
    compare: Time,
    push: Option<Time>,
    last_push: Option<Time>,
}

impl Membership {
    /// A proxy that knows itself and some addresses to try; `seed` is its only source of
    /// randomness.
    pub fn new(now: Time, me: MemberInfo, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut table = Table::default();
        table.take(now, me.clone());
        let mut spread = GossipQueue::default();
        spread.add(me.clone());
        Self {
            links: Links::new(me.data_centre.clone()),
            me,
            table,
            spread,
            rng: StdRng::seed_from_u64(seed),
            seeds,
            next_seed: 0,
            round: Vec::new(),
            misses: IndexMap::new(),
            contact: now,
            complete: Revision::default(),
            watching: false,
            due: Due {
                compare: now + COMPARE_EVERY,
                ..Due::default()
            },
            fetching_until: None,
            storeless_until: None,
        }
    }

    /// What this proxy tells of itself.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Every proxy that is known.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether this proxy holds its data centre's watch on the store.
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// How long ago there was word of another data centre, directly or through others.
    ///
    /// `None` for the own data centre, and for one that this proxy has no word of.
    pub fn time_since_contact(&self, now: Time, data_centre: &DataCentre) -> Option<Span> {
        self.links.time_since_contact(now, data_centre)
    }

    /// Replaces the addresses to try when no peer is known, e.g. by the VM list.
    pub fn add_seeds(&mut self, addresses: Vec<SocketAddr>) {
        let new = addresses.into_iter().filter(|a| *a != self.me.address);
        for address in new {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.condemn(now, &mut actions);
        self.end_storeless(now);
        if now >= self.due.beat {
            self.due.beat = now + BEAT;
            self.beat(now, &mut actions);
        }
        if self.due.push.is_some_and(|at| now >= at) {
            self.push(now, &mut actions);
        }
        if now >= self.due.compare {
            self.due.compare = now + COMPARE_EVERY;
            self.compare_with_some(&mut actions);
            self.try_gone(&mut actions);
            self.forget(now);
        }
        self.choose_watch(&mut actions);
        actions
    }

    fn beat(&mut self, now: Time, actions: &mut Vec<Action>) {
        let retries = self.misses.iter().filter(|(_, n)| **n < MISSES);
        let retries: Vec<_> = retries.map(|(id, _)| id.clone()).collect();
        let next = self.next_in_round();
        for id in next.into_iter().filter(|id| !retries.contains(id)) {
            self.send(&id, actions);
        }
        for id in retries {
            self.send(&id, actions);
        }
        self.links.begin_round();
        for peer in self.links.due(&self.table, &self.me.id) {
            let heartbeat = self.heartbeat_to(&peer);
            actions.push(Action::Heartbeat(peer, heartbeat));
        }
        self.try_seed(now, actions);
    }

    /// The next proxy of the own data centre; every one comes once in each round, so that
    /// none stays unwatched by chance.
    fn next_in_round(&mut self) -> Option<ProxyId> {
        loop {
            if self.round.is_empty() {
                let home = self.me.data_centre.clone();
                let others = self.table.running_in(&home).map(|n| n.id.clone());
                self.round = others.filter(|id| *id != self.me.id).collect();
                self.round.shuffle(&mut self.rng);
            }
            let id = self.round.pop()?;
            let running = self.table.get(&id);
            if running.is_some_and(|e| e.info.state != State::Gone) {
                return Some(id);
            }
        }
    }

    /// Tries an address from the settings while the own data centre is silent.
    fn try_seed(&mut self, now: Time, actions: &mut Vec<Action>) {
        let known = self.table.running().count() > 1;
        let lonely = now.since(self.contact) > ALONE;
        if self.seeds.is_empty() || (known && !lonely) {
            return;
        }
        let address = self.seeds[self.next_seed % self.seeds.len()];
        self.next_seed += 1;
        if address != self.me.address {
            let peer = Peer { id: None, address };
            let heartbeat = self.heartbeat_to(&peer);
            actions.push(Action::Heartbeat(peer, heartbeat));
        }
    }

    fn send(&mut self, id: &ProxyId, actions: &mut Vec<Action>) {
        let Some(peer) = self.peer(id) else {
            return;
        };
        let heartbeat = self.heartbeat_to(&peer);
        actions.push(Action::Heartbeat(peer, heartbeat));
    }

    fn peer(&self, id: &ProxyId) -> Option<Peer> {
        let entry = self.table.get(id)?;
        Some(Peer {
            id: Some(id.clone()),
            address: entry.info.address,
        })
    }

    fn heartbeat_to(&mut self, peer: &Peer) -> Heartbeat {
        let mut updates = self.spread.take(self.table.running().count());
        let entry = peer.id.as_ref().and_then(|id| self.table.get(id));
        // A proxy that is taken for dead must hear of it, to contradict.
        if let Some(entry) = entry.filter(|e| e.info.state != State::Live)
            && !updates.iter().any(|n| n.id == entry.info.id)
        {
            updates.push(entry.info.clone());
        }
        let home = &self.me.data_centre;
        let far = entry.is_none_or(|e| e.info.data_centre != *home);
        let other_gateways = delegate::other_gateways(&self.table, home, &self.me.id);
        let fellow =
            other_gateways.is_some_and(|f| f.iter().any(|n| Some(&n.id) == peer.id.as_ref()));
        Heartbeat {
            from: self.me.clone(),
            updates,
            complete: self.complete,
            rounds: if far || fellow {
                self.links.rounds()
            } else {
                IndexMap::new()
            },
        }
    }

    /// A heartbeat came in; the first value is the answer to it.
    pub fn receive(&mut self, now: Time, heartbeat: Heartbeat) -> (Heartbeat, Vec<Action>) {
        let peer = Peer {
            id: Some(heartbeat.from.id.clone()),
            address: heartbeat.from.address,
        };
        let actions = self.take(now, heartbeat);
        (self.heartbeat_to(&peer), actions)
    }

    /// A heartbeat was answered.
    pub fn response_received(&mut self, now: Time, answer: Heartbeat) -> Vec<Action> {
        self.take(now, answer)
    }

    fn take(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<Action> {
        let mut actions = Vec::new();
        let from = heartbeat.from;
        self.misses.shift_remove(&from.id);
        let peer = Peer {
            id: Some(from.id.clone()),
            address: from.address,
        };
        if from.data_centre == self.me.data_centre {
            self.contact = now;
        } else {
            let back = self.links.contact(now, &from.data_centre);
            if back {
                let digests = self.table.digests();
                actions.push(Action::Compare(peer.clone(), Compare { digests }));
            }
        }
        if self.table.running().count() == 1 {
            // Just started: the peer's table tells of all others at once.
            let digests = self.table.digests();
            actions.push(Action::Compare(peer.clone(), Compare { digests }));
        }
        self.links.relayed(now, &heartbeat.rounds);
        let mut changed = self.learn(now, from);
        for info in heartbeat.updates {
            changed |= self.learn(now, info);
        }
        if changed {
            actions.push(Action::Changed);
        }
        let idle = self.fetching_until.is_none_or(|until| now >= until);
        if heartbeat.complete > self.complete && idle {
            self.fetching_until = Some(now + FETCH);
            actions.push(Action::Fetch(peer, self.complete));
        }
        actions
    }

    fn learn(&mut self, now: Time, info: MemberInfo) -> bool {
        if info.id == self.me.id {
            return self.contradict(now, &info);
        }
        let taken = self.table.take(now, info.clone());
        if taken {
            self.spread.add(info);
        }
        taken
    }

    fn announce(&mut self, now: Time) {
        self.table.take(now, self.me.clone());
        self.spread.add(self.me.clone());
    }
}
