//! Judging others, and contradicting their judgement.

use model::id::DataCentre;
use model::unit::Time;
use rand::seq::IteratorRandom as _;

use super::Membership;
use super::message::{Action, Compare, Failure, Peer, Tables};
use super::table::{MemberInfo, State};
use super::timing::{ALONE, FORGET, HOLD, MISSES, SUSPICION};

impl Membership {
    /// Others took this proxy for dead, e.g. because it was paused: it raises its
    /// incarnation, and that news counts more than theirs.
    pub(super) fn contradict(&mut self, now: Time, info: &MemberInfo) -> bool {
        let theirs = (info.incarnation, info.state);
        if theirs <= (self.me.incarnation, self.me.state) {
            return false;
        }
        self.me.incarnation = info.incarnation + 1;
        self.announce(now);
        true
    }

    /// A heartbeat got no answer.
    pub fn heartbeat_failed(&mut self, now: Time, peer: &Peer, failure: Failure) -> Vec<Action> {
        let Some(entry) = peer.id.as_ref().and_then(|id| self.table.get(id)) else {
            return Vec::new();
        };
        let info = entry.info.clone();
        if info.data_centre != self.me.data_centre {
            self.links.failed(&info.data_centre);
            return Vec::new();
        }
        let misses = self.misses.entry(info.id.clone()).or_default();
        // A refusal comes from a VM on which no such process listens: no need to ask twice.
        *misses = match failure {
            Failure::Refused => MISSES,
            Failure::Unresponsive => *misses + 1,
        };
        if *misses < MISSES || info.state != State::Live {
            return Vec::new();
        }
        let state = State::Suspected;
        self.learn(now, MemberInfo { state, ..info });
        vec![Action::Changed]
    }

    /// Suspected proxies that did not contradict are gone, and so are those of a data
    /// centre without any word for long.
    pub(super) fn condemn(&mut self, now: Time, actions: &mut Vec<Action>) {
        let alone = now.since(self.contact);
        let others = self.table.running_in(&self.me.data_centre).count() > 2;
        // The one that hears from nobody is probably the one that is cut off. Should all
        // others really be gone, it finds that out a little later.
        let spare = others && alone > ALONE && alone < HOLD;
        let home = &self.me.data_centre;
        let late = self.table.iter().filter(|entry| {
            let info = &entry.info;
            let suspected = info.state == State::Suspected && now.since(entry.since) >= SUSPICION;
            let near = info.data_centre == *home && !spare && suspected;
            let far = info.data_centre != *home && self.links.lost(now, &info.data_centre);
            info.state != State::Gone && (near || far)
        });
        let late: Vec<_> = late.map(|entry| entry.info.clone()).collect();
        for info in late {
            self.misses.shift_remove(&info.id);
            let state = State::Gone;
            self.learn(now, MemberInfo { state, ..info });
            actions.push(Action::Changed);
        }
        actions.dedup();
    }

    /// Asks one proxy of the own data centre, and one over each link, to compare tables:
    /// news may have been missed, above all while the fleet was cut in two.
    pub(super) fn compare_with_some(&mut self, actions: &mut Vec<Action>) {
        let near = self.next_in_round().and_then(|id| self.peer(&id));
        let linked = self.links.due(&self.table, &self.me.id);
        for peer in near.into_iter().chain(linked) {
            let digests = self.table.digests();
            actions.push(Action::Compare(peer, Compare { digests }));
        }
    }

    /// Sends a heartbeat to a gone proxy of the own data centre: should it run after all,
    /// e.g. since two halves of the data centre were cut apart, it contradicts.
    pub(super) fn try_gone(&mut self, actions: &mut Vec<Action>) {
        let home = &self.me.data_centre;
        let gone = self.table.iter().map(|entry| &entry.info);
        let gone = gone.filter(|n| n.state == State::Gone && n.data_centre == *home);
        let chosen = gone.choose(&mut self.rng).map(|info| info.id.clone());
        if let Some(id) = chosen {
            self.send(&id, actions);
        }
    }

    /// The tables that a peer lacks, by the hashes that it sent.
    pub fn differing_tables(&self, compare: &Compare) -> Tables {
        let digests = self.table.digests();
        let differs = |name: &DataCentre| digests.get(name) != compare.digests.get(name);
        let entries = self.table.iter().map(|entry| &entry.info);
        let members = entries.filter(|info| differs(&info.data_centre));
        Tables {
            members: members.cloned().collect(),
        }
    }

    /// The tables that a peer sent. What they hold has been spread before; passing it on
    /// again would cost each proxy a message about every other one after a restart.
    pub fn tables_received(&mut self, now: Time, tables: Tables) -> Vec<Action> {
        let mut changed = false;
        for info in tables.members {
            changed |= if info.id == self.me.id {
                self.contradict(now, &info)
            } else {
                self.table.take(now, info)
            };
        }
        Vec::from_iter(changed.then_some(Action::Changed))
    }

    pub(super) fn forget(&mut self, now: Time) {
        if now.as_micros() > FORGET.as_micros() {
            let age = now.as_micros() - FORGET.as_micros();
            self.table.forget(Time::from_micros(age));
        }
    }
}
