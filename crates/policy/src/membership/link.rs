//! Links between data centres.

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId};
use model::unit::{Span, Time};

use crate::membership::delegate;
use crate::membership::message::Peer;
use crate::membership::table::{MemberInfo, State, Table};

/// Time without any word of a data centre, by any path, after which its proxies count as
/// gone. A cut of the links looks the same, and its proxies are better believed alive
/// through a short one: they contradict when the links come back.
pub const LOST: Span = Span::from_millis(60_000);

/// Time without word after which the tables are compared as soon as there is word again.
const QUIET: Span = Span::from_millis(10_000);

/// What is known of the other data centres' reachability.
#[derive(Debug)]
pub struct Links {
    home: DataCentre,
    /// Turns that the keepers of the own data centre have counted.
    round: u64,
    /// The other data centres that there was word of.
    contacts: IndexMap<DataCentre, Contact>,
    /// Failures in a row, by data centre; they choose whom to try next.
    failures: IndexMap<DataCentre, usize>,
}

/// Word of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Highest turn that its keepers were heard to have counted. Ages instead would be
    /// renewed on the way, by each delay, and go round for ever.
    round: u64,
    /// When it rose, or a proxy of it answered.
    at: Time,
}

impl Links {
    /// No word of any other data centre yet.
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            round: 0,
            contacts: IndexMap::new(),
            failures: IndexMap::new(),
        }
    }

    /// The peers to send to now, if this proxy keeps links: one of each linked data
    /// centre, and the fellow keepers.
    pub fn due(&mut self, table: &Table, me: &ProxyId) -> Vec<Peer> {
        let Some(other_gateways) = delegate::other_gateways(table, &self.home, me) else {
            // Others have word of the data centres now; what was heard must not age here.
            self.contacts.clear();
            self.failures.clear();
            return Vec::new();
        };
        let linked = delegate::links(table, &self.home, me);
        let far = linked.iter().filter_map(|name| self.candidate(table, name));
        let near = other_gateways.into_iter().map(peer);
        far.chain(near).collect()
    }

    /// The first in rank, or after failures the next ones; once all are tried, also the
    /// gone ones, since their data centre may only have been cut off.
    fn candidate(&self, table: &Table, name: &DataCentre) -> Option<Peer> {
        let mut all = delegate::ranking(table, name);
        let running = all.len();
        let info = table.iter().map(|entry| &entry.info);
        all.extend(info.filter(|n| n.data_centre == *name && !is_running(n)));
        if all.is_empty() {
            return None;
        }
        let failures = self.failures.get(name).copied().unwrap_or_default();
        let n = if failures < running {
            running
        } else {
            all.len()
        };
        Some(peer(all[failures % n.max(1)]))
    }

    /// Another turn begins; the other data centres hear of it directly or through others.
    pub fn begin_round(&mut self) {
        self.round += 1;
    }

    /// An exchange with a proxy of another data centre succeeded. Returns whether there had
    /// been no word of it for long.
    pub fn contact(&mut self, now: Time, name: &DataCentre) -> bool {
        self.failures.shift_remove(name);
        let before = self.contacts.get(name).copied();
        let round = before.unwrap_or_default().round;
        self.contacts
            .insert(name.clone(), Contact { round, at: now });
        before.is_none_or(|contact| now.since(contact.at) > QUIET)
    }

    /// Another keeper of links told the turns that it had heard of. Without this, a keeper
    /// would take a data centre for lost that only others are linked to.
    pub fn relayed(&mut self, now: Time, rounds: &IndexMap<DataCentre, u64>) {
        for (name, &round) in rounds {
            if *name == self.home {
                // A data centre whose proxies were all replaced goes on counting.
                self.round = self.round.max(round);
            } else if self
                .contacts
                .get(name)
                .is_none_or(|contact| contact.round < round)
            {
                self.contacts
                    .insert(name.clone(), Contact { round, at: now });
            }
        }
    }

    /// A proxy of another data centre did not answer.
    pub fn failed(&mut self, name: &DataCentre) {
        *self.failures.entry(name.clone()).or_default() += 1;
    }

    /// The turns of every data centre, as far as heard of.
    pub fn rounds(&self) -> IndexMap<DataCentre, u64> {
        let contacts = self.contacts.iter();
        let mut rounds: IndexMap<_, _> = contacts
            .map(|(n, contact)| (n.clone(), contact.round))
            .collect();
        rounds.insert(self.home.clone(), self.round);
        rounds
    }

    /// How long ago there was word of a data centre.
    pub fn time_since_contact(&self, now: Time, name: &DataCentre) -> Option<Span> {
        self.contacts.get(name).map(|contact| now.since(contact.at))
    }

    /// Whether the proxies of a data centre count as gone. One that never was heard of is
    /// not judged: only keepers of links hear of it.
    pub fn lost(&self, now: Time, name: &DataCentre) -> bool {
        let contacts = self.contacts.get(name);
        contacts.is_some_and(|contact| now.since(contact.at) >= LOST)
    }
}

fn peer(info: &MemberInfo) -> Peer {
    Peer {
        id: Some(info.id.clone()),
        address: info.address,
    }
}

fn is_running(info: &MemberInfo) -> bool {
    info.state != State::Gone
}
