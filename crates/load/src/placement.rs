//! How groups spread over the proxies that serve them, at several sizes of the fleet.

use std::time::Instant;

use clap::{ArgMatches, Command};
use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use model::location::Location;
use policy::message::Peer;
use policy::placement::{self, Homes};

use crate::report::Table;

/// Data centres, proxies in each, and groups: today, a step between, the aim.
const SIZES: [(usize, usize, usize); 3] = [(3, 3, 3), (12, 30, 4_000), (24, 92, 33_000)];
/// Data centres that hold a group's instances.
const HOMES: usize = 3;
/// Data centres in a region.
const REGION: usize = 3;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("placement")
        .about("Show how groups spread over proxies")
        .long_about(
            "Place groups on fleets of three sizes, without sockets, and print groups for \
             each proxy, proxies for each group, the groups that move when one proxy \
             leaves, and the time to place one group.",
        )
}

/// Places the groups and returns the figures.
pub fn run(_: &ArgMatches) -> miette::Result<Vec<Table>> {
    let columns = [
        "proxies x groups",
        "groups per proxy",
        "most",
        "proxies per group",
        "moved by one leaving",
        "time per group",
    ];
    let mut table = Table::new("placement", &columns);
    for (centres, each, groups) in SIZES {
        table.row(measure(centres, each, groups));
    }
    Ok(vec![table])
}

fn measure(centres: usize, each: usize, groups: usize) -> [String; 6] {
    let live: Vec<_> = (0..centres * each).map(|n| proxy(n % centres, n)).collect();
    let mut load: IndexMap<&ProxyId, usize> = IndexMap::new();
    let mut placed = 0;
    let start = Instant::now();
    for n in 0..groups {
        for server in placement::serving_proxies(&group(n), &homes(centres, n), &live) {
            *load.entry(&server.id).or_default() += 1;
            placed += 1;
        }
    }
    let took = start.elapsed() / u32::try_from(groups).unwrap_or(u32::MAX);
    let moved = load.get(&live[0].id).copied().unwrap_or(0);
    let most = load.values().copied().max().unwrap_or(0);
    [
        format!("{} x {groups}", live.len()),
        (placed / live.len()).to_string(),
        most.to_string(),
        (placed / groups).to_string(),
        moved.to_string(),
        format!("{} us", took.as_micros()),
    ]
}

fn proxy(centre: usize, n: usize) -> Peer {
    Peer {
        id: format!("proxy-{n}").parse().expect("an identifier"),
        location: place_of(centre),
    }
}

fn place_of(centre: usize) -> Location {
    Location {
        region: format!("region-{}", centre / REGION)
            .parse()
            .expect("an identifier"),
        data_centre: format!("dc-{centre}").parse().expect("an identifier"),
    }
}

fn group(n: usize) -> GroupId {
    format!("group-{n}").parse().expect("an identifier")
}

fn homes(centres: usize, group: usize) -> Homes {
    (0..HOMES)
        .map(|k| place_of((group + k) % centres).data_centre)
        .collect()
}
