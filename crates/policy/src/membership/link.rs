//! Links between data centres, kept by the gateways.

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId};
use model::unit::{Span, Time};

use crate::membership::delegate;
use crate::membership::message::Peer;
use crate::membership::table::{MemberInfo, State, Table};

/// Time without any contact with a data centre, by any path, after which its proxies count as
/// gone. A partition looks the same, and during a short one its proxies should count as
/// alive: they refute it when the links work again.
pub const LOST_AFTER: Span = Span::from_millis(60_000);

/// Time without contact after which the tables are compared at the next contact.
const COMPARE_AFTER: Span = Span::from_millis(10_000);

/// Reachability of the other data centres.
#[derive(Debug)]
pub struct Links {
    home: DataCentre,
    /// Heartbeat rounds that the gateways of this data centre have counted.
    round: u64,
    /// The last contact with each of the other data centres.
    contacts: IndexMap<DataCentre, Contact>,
    /// Failures in a row, by data centre; they select the proxy to try next.
    failures: IndexMap<DataCentre, usize>,
}

/// Last contact with a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Highest round that its gateways have reported. If gateways exchanged ages instead,
    /// each message's delay would make them younger, and they would circulate for ever.
    round: u64,
    /// When the round increased, or a proxy of the data centre responded.
    at: Time,
}

impl Links {
    /// The links of a proxy without any contact yet.
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            round: 0,
            contacts: IndexMap::new(),
            failures: IndexMap::new(),
        }
    }

    /// The peers to send to now if this proxy is a gateway: one of each linked data centre,
    /// and the other gateways.
    pub fn due(&mut self, table: &Table, me: &ProxyId) -> Vec<Peer> {
        let Some(other_gateways) = delegate::other_gateways(table, &self.home, me) else {
            // Other proxies are the gateways now; contacts must not grow old here.
            self.contacts.clear();
            self.failures.clear();
            return Vec::new();
        };
        let linked = delegate::links(table, &self.home, me);
        let remote = linked.iter().filter_map(|name| self.candidate(table, name));
        let local = other_gateways.into_iter().map(peer);
        remote.chain(local).collect()
    }

    /// The highest-ranked proxy, or after failures the next one. Once all were tried, also
    /// gone ones, because their data centre may only have been partitioned.
    fn candidate(&self, table: &Table, name: &DataCentre) -> Option<Peer> {
        let mut ranked = delegate::ranking(table, name);
        let running = ranked.len();
        let members = table.iter().map(|entry| &entry.info);
        ranked.extend(members.filter(|n| n.data_centre == *name && !is_running(n)));
        if ranked.is_empty() {
            return None;
        }
        let failures = self.failures.get(name).copied().unwrap_or_default();
        let count = if failures < running {
            running
        } else {
            ranked.len()
        };
        Some(peer(ranked[failures % count.max(1)]))
    }

    /// Starts another round; the other data centres receive its number directly or through
    /// others.
    pub fn begin_round(&mut self) {
        self.round += 1;
    }

    /// An exchange with a proxy of another data centre succeeded. Returns whether there was no
    /// contact with it for long before.
    pub fn contact(&mut self, now: Time, name: &DataCentre) -> bool {
        self.failures.shift_remove(name);
        let before = self.contacts.get(name).copied();
        let round = before.unwrap_or_default().round;
        self.contacts
            .insert(name.clone(), Contact { round, at: now });
        before.is_none_or(|contact| now.since(contact.at) > COMPARE_AFTER)
    }

    /// Merges the rounds that another gateway knows. Without them, a gateway would take a data
    /// centre for lost that only others are linked to.
    pub fn merge_rounds(&mut self, now: Time, rounds: &IndexMap<DataCentre, u64>) {
        for (name, &round) in rounds {
            if *name == self.home {
                // After all proxies of a data centre were replaced, its count continues.
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

    /// A proxy of another data centre did not respond.
    pub fn failed(&mut self, name: &DataCentre) {
        *self.failures.entry(name.clone()).or_default() += 1;
    }

    /// The highest known round of each data centre.
    pub fn rounds(&self) -> IndexMap<DataCentre, u64> {
        let contacts = self.contacts.iter();
        let mut rounds: IndexMap<_, _> = contacts
            .map(|(n, contact)| (n.clone(), contact.round))
            .collect();
        rounds.insert(self.home.clone(), self.round);
        rounds
    }

    /// Time since the last contact with a data centre.
    pub fn time_since_contact(&self, now: Time, name: &DataCentre) -> Option<Span> {
        self.contacts.get(name).map(|contact| now.since(contact.at))
    }

    /// Whether the proxies of a data centre count as gone. `false` without any earlier contact:
    /// only gateways have contacts.
    pub fn is_lost(&self, now: Time, name: &DataCentre) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| now.since(contact.at) >= LOST_AFTER)
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
