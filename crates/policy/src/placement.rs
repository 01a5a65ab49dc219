//! Which proxies serve a group, and how a caller's connection is forwarded to one of them.
//!
//! Under load, 2,200 proxies serve 33,000 groups. If every proxy served every group that its
//! callers name, each backend server's 20 connections would be spread over hundreds of
//! proxies, too few for each to monitor the server, let alone to use it. So a few proxies in
//! each of a group's data centres serve it, and a proxy that accepts a connection for
//! another group forwards it.

use std::cmp::Reverse;

use indexmap::IndexSet;
use model::hash;
use model::id::{DataCentre, GroupId};

use crate::message::Peer;

/// Proxies that serve a group in each data centre with one of its backend servers.
///
/// With three, two remain while one restarts. Three data centres have nine such proxies. Each
/// holds one connection to monitor a backend server, which leaves eleven of twenty for
/// statements, more than the server's three slots need. In a fleet of nine VMs, each one
/// serves every group.
pub const PER_DATA_CENTRE: usize = 3;

/// Where a caller's connection is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// By the proxy that accepted it.
    Local,
    /// By one of these, in order of preference.
    Via(Vec<&'a Peer>),
}

/// The data centres of a group's backend servers.
pub type Homes = IndexSet<DataCentre>;

/// The live proxies that serve a group: in each of its data centres, those with the highest
/// rendezvous hash. So a proxy that starts or stops moves only its own groups.
pub fn serving_proxies<'a>(group: &GroupId, homes: &Homes, live: &'a [Peer]) -> Vec<&'a Peer> {
    let mut serving = Vec::new();
    for home in homes {
        let mut local: Vec<_> = live
            .iter()
            .filter(|p| p.location.data_centre == *home)
            .collect();
        if local.len() > PER_DATA_CENTRE {
            local.sort_by_cached_key(|p| Reverse(weight(group, p)));
            local.truncate(PER_DATA_CENTRE);
        }
        serving.extend(local);
    }
    serving
}

fn weight(group: &GroupId, proxy: &Peer) -> u64 {
    hash::of([group.as_str(), proxy.id.as_str()])
}

/// Where a connection for `group` that `me` accepted is served.
///
/// If no serving proxy is known to be alive, the connection is served here. This happens when
/// the group's data centres are partitioned from this one, or membership has just started.
/// Serving it here costs a few connections; rejecting it would fail statements that this
/// proxy could serve.
pub fn route<'a>(group: &GroupId, homes: &Homes, me: &Peer, live: &'a [Peer]) -> Route<'a> {
    let mut serving = serving_proxies(group, homes, live);
    if serving.is_empty() || serving.iter().any(|p| p.id == me.id) {
        return Route::Local;
    }
    // Nearest first. Among equally near ones the order depends on the accepting proxy, so
    // that the connections of one data centre spread over the group's serving proxies.
    let key = |p: &&Peer| {
        let tie_break = hash::of([me.id.as_str(), group.as_str(), p.id.as_str()]);
        (me.location.distance(&p.location), tie_break)
    };
    serving.sort_by_cached_key(key);
    Route::Via(serving)
}
