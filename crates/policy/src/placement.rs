//! Which proxies serve a group, and how a caller's connection gets to one of them.
//!
//! Load: 33,000 groups behind 2,200 proxies. Harm prevented: if every proxy served every
//! group that its callers name, each backend server's 20 connections would be spread over
//! hundreds of proxies, which could not watch it, let alone use it. So a group is served
//! by a few proxies in each of its data centres, and a proxy that accepts a connection
//! for another group passes it on.

use std::cmp::Reverse;

use indexmap::IndexSet;
use model::hash;
use model::id::{DataCentre, GroupId};

use crate::message::Peer;

/// Proxies that serve a group in each data centre which holds one of its backend servers.
///
/// Three keep two while one restarts, and three data centres make nine: each holds a
/// connection to watch a backend server, which leaves eleven of twenty for statements,
/// more than its three slots need. A fleet of nine VMs serves every group from each.
pub const PER_DATA_CENTRE: usize = 3;

/// Where a caller's connection is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// By the proxy that accepted it.
    Local,
    /// By one of these, the one to try first in front.
    Via(Vec<&'a Peer>),
}

/// The data centres that hold a group's backend servers.
pub type Homes = IndexSet<DataCentre>;

/// The live proxies that serve a group: the highest by rendezvous hash in each of its
/// data centres, so that a proxy which comes or goes moves only its own part.
pub fn serving_proxies<'a>(group: &GroupId, homes: &Homes, live: &'a [Peer]) -> Vec<&'a Peer> {
    let mut found = Vec::new();
    for home in homes {
        let mut there: Vec<_> = live
            .iter()
            .filter(|p| p.location.data_centre == *home)
            .collect();
        if there.len() > PER_DATA_CENTRE {
            there.sort_by_cached_key(|p| Reverse(weight(group, p)));
            there.truncate(PER_DATA_CENTRE);
        }
        found.extend(there);
    }
    found
}

fn weight(group: &GroupId, proxy: &Peer) -> u64 {
    hash::of([group.as_str(), proxy.id.as_str()])
}

/// Where `me` has a connection for `group` served.
///
/// With no server known alive the connection stays here. Failure: the group's data
/// centres are cut off, or membership has just started; it shows as a group without
/// servers. Serving it here costs a few connections, refusing it would cost answers.
pub fn route<'a>(group: &GroupId, homes: &Homes, me: &Peer, live: &'a [Peer]) -> Route<'a> {
    let mut servers = serving_proxies(group, homes, live);
    if servers.is_empty() || servers.iter().any(|p| p.id == me.id) {
        return Route::Local;
    }
    // Nearest first; among equals a choice that differs between entry proxies, so that
    // the connections of one data centre spread over the group's servers.
    let key = |p: &&Peer| {
        let spread = hash::of([me.id.as_str(), group.as_str(), p.id.as_str()]);
        (me.location.distance(&p.location), spread)
    };
    servers.sort_by_cached_key(key);
    Route::Via(servers)
}
