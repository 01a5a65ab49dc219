//! Membership: which proxies run, and which of them have a role for their data centre.
//!
//! Within a data centre, each proxy sends one heartbeat a second to the next of the others in
//! a shuffled order. Updates about proxies are gossiped with the heartbeats. A proxy that
//! does not respond to two heartbeats is suspected. Unless it refutes this within two seconds,
//! by raising its incarnation, it is gone. Between data centres only a few proxies, the
//! gateways, keep links. The proxies of another data centre are declared gone only after a
//! minute without contact, because a partition looks the same.
//!
//! The platform's VM list lags behind reality. It is used as a list of addresses to try,
//! never as evidence that a proxy runs or does not.

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
use timing::{COMPARE_INTERVAL, FETCH_TIMEOUT, HEARTBEAT_INTERVAL, ISOLATED_AFTER, MAX_MISSED};

/// The membership controller of one proxy.
#[derive(Debug)]
pub struct Membership {
    me: MemberInfo,
    table: Table,
    gossip_queue: GossipQueue,
    links: Links,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    /// Proxies of this data centre that have yet to receive a heartbeat in this cycle.
    cycle: Vec<ProxyId>,
    missed: IndexMap<ProxyId, u32>,
    /// When any exchange with a proxy of this data centre last succeeded.
    last_contact: Time,
    complete: Revision,
    watching: bool,
    schedule: Schedule,
    fetching_until: Option<Time>,
    store_unreachable_until: Option<Time>,
}

/// When periodic work is due next.
#[derive(Debug, Default)]
struct Schedule {
    heartbeat: Time,
    compare: Time,
    push: Option<Time>,
    last_push: Option<Time>,
}

impl Membership {
    /// The controller of a proxy that knows itself and some addresses to try. `seed` seeds its
    /// only source of randomness.
    pub fn new(now: Time, me: MemberInfo, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut table = Table::default();
        table.merge(now, me.clone());
        let mut gossip_queue = GossipQueue::default();
        gossip_queue.add(me.clone());
        Self {
            links: Links::new(me.data_centre.clone()),
            me,
            table,
            gossip_queue,
            rng: StdRng::seed_from_u64(seed),
            seeds,
            next_seed: 0,
            cycle: Vec::new(),
            missed: IndexMap::new(),
            last_contact: now,
            complete: Revision::default(),
            watching: false,
            schedule: Schedule {
                compare: now + COMPARE_INTERVAL,
                ..Schedule::default()
            },
            fetching_until: None,
            store_unreachable_until: None,
        }
    }

    /// What this proxy sends others about itself.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// All known proxies.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether this proxy watches the store for its data centre.
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// Time since the last contact with another data centre, direct or through others.
    ///
    /// `None` for this data centre, and for one without any contact.
    pub fn time_since_contact(&self, now: Time, data_centre: &DataCentre) -> Option<Span> {
        self.links.time_since_contact(now, data_centre)
    }

    /// Adds addresses to try when no peer is known, e.g. from the VM list.
    pub fn add_seeds(&mut self, addresses: Vec<SocketAddr>) {
        let new = addresses.into_iter().filter(|a| *a != self.me.address);
        for address in new {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Performs what is due at `now`.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.declare_gone(now, &mut actions);
        self.end_store_unreachable(now);
        if now >= self.schedule.heartbeat {
            self.schedule.heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now, &mut actions);
        }
        if self.schedule.push.is_some_and(|at| now >= at) {
            self.push(now, &mut actions);
        }
        if now >= self.schedule.compare {
            self.schedule.compare = now + COMPARE_INTERVAL;
            self.compare_with_some(&mut actions);
            self.contact_gone(&mut actions);
            self.forget(now);
        }
        self.update_watch(&mut actions);
        actions
    }

    fn send_heartbeats(&mut self, now: Time, actions: &mut Vec<Action>) {
        let retries = self.missed.iter().filter(|(_, n)| **n < MAX_MISSED);
        let retries: Vec<_> = retries.map(|(id, _)| id.clone()).collect();
        let next = self.next_in_cycle();
        for id in next.into_iter().filter(|id| !retries.contains(id)) {
            self.send_heartbeat(&id, actions);
        }
        for id in retries {
            self.send_heartbeat(&id, actions);
        }
        self.links.begin_round();
        for peer in self.links.due(&self.table, &self.me.id) {
            let heartbeat = self.heartbeat_to(&peer);
            actions.push(Action::Heartbeat(peer, heartbeat));
        }
        self.try_seed(now, actions);
    }

    /// The next proxy of this data centre. Each one is returned once per cycle, so that none
    /// remains unmonitored by chance.
    fn next_in_cycle(&mut self) -> Option<ProxyId> {
        loop {
            if self.cycle.is_empty() {
                let home = self.me.data_centre.clone();
                let others = self.table.running_in(&home).map(|n| n.id.clone());
                self.cycle = others.filter(|id| *id != self.me.id).collect();
                self.cycle.shuffle(&mut self.rng);
            }
            let id = self.cycle.pop()?;
            let running = self.table.get(&id);
            if running.is_some_and(|e| e.info.state != State::Gone) {
                return Some(id);
            }
        }
    }

    /// Sends a heartbeat to one of the seeds while this data centre is out of contact.
    fn try_seed(&mut self, now: Time, actions: &mut Vec<Action>) {
        let knows_others = self.table.running().count() > 1;
        let isolated = now.since(self.last_contact) > ISOLATED_AFTER;
        if self.seeds.is_empty() || (knows_others && !isolated) {
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

    fn send_heartbeat(&mut self, id: &ProxyId, actions: &mut Vec<Action>) {
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
        let mut updates = self.gossip_queue.take(self.table.running().count());
        let entry = peer.id.as_ref().and_then(|id| self.table.get(id));
        // A proxy that others suspect or take for gone must learn of it to refute it.
        if let Some(entry) = entry.filter(|e| e.info.state != State::Live)
            && !updates.iter().any(|n| n.id == entry.info.id)
        {
            updates.push(entry.info.clone());
        }
        let home = &self.me.data_centre;
        let remote = entry.is_none_or(|e| e.info.data_centre != *home);
        let other_gateways = delegate::other_gateways(&self.table, home, &self.me.id);
        let is_gateway =
            other_gateways.is_some_and(|f| f.iter().any(|n| Some(&n.id) == peer.id.as_ref()));
        Heartbeat {
            from: self.me.clone(),
            updates,
            complete: self.complete,
            rounds: if remote || is_gateway {
                self.links.rounds()
            } else {
                IndexMap::new()
            },
        }
    }

    /// Processes a received heartbeat; the first value is the response to it.
    pub fn receive(&mut self, now: Time, heartbeat: Heartbeat) -> (Heartbeat, Vec<Action>) {
        let peer = Peer {
            id: Some(heartbeat.from.id.clone()),
            address: heartbeat.from.address,
        };
        let actions = self.process_heartbeat(now, heartbeat);
        (self.heartbeat_to(&peer), actions)
    }

    /// Processes the response to a heartbeat.
    pub fn response_received(&mut self, now: Time, response: Heartbeat) -> Vec<Action> {
        self.process_heartbeat(now, response)
    }

    fn process_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<Action> {
        let mut actions = Vec::new();
        let from = heartbeat.from;
        self.missed.shift_remove(&from.id);
        let peer = Peer {
            id: Some(from.id.clone()),
            address: from.address,
        };
        if from.data_centre == self.me.data_centre {
            self.last_contact = now;
        } else {
            let resumed = self.links.contact(now, &from.data_centre);
            if resumed {
                let digests = self.table.digests();
                actions.push(Action::Compare(peer.clone(), Compare { digests }));
            }
        }
        if self.table.running().count() == 1 {
            // Just started: the peer's table has all other proxies at once.
            let digests = self.table.digests();
            actions.push(Action::Compare(peer.clone(), Compare { digests }));
        }
        self.links.merge_rounds(now, &heartbeat.rounds);
        let mut changed = self.merge(now, from);
        for info in heartbeat.updates {
            changed |= self.merge(now, info);
        }
        if changed {
            actions.push(Action::Changed);
        }
        let may_fetch = self.fetching_until.is_none_or(|until| now >= until);
        if heartbeat.complete > self.complete && may_fetch {
            self.fetching_until = Some(now + FETCH_TIMEOUT);
            actions.push(Action::Fetch(peer, self.complete));
        }
        actions
    }

    fn merge(&mut self, now: Time, info: MemberInfo) -> bool {
        if info.id == self.me.id {
            return self.refute(now, &info);
        }
        let is_newer = self.table.merge(now, info.clone());
        if is_newer {
            self.gossip_queue.add(info);
        }
        is_newer
    }

    fn announce(&mut self, now: Time) {
        self.table.merge(now, self.me.clone());
        self.gossip_queue.add(self.me.clone());
    }
}
