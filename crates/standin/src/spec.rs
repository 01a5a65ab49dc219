//! What a fleet of stand-ins consists of.

use std::time::Duration;

use model::id;
use model::unit::{Rate, Span};

/// A data centre; its index, counted from 1, is `k` in its addresses `127.0.k.x`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: id::DataCentre,
    /// Region that holds it.
    pub region: id::Region,
}

/// What to start; build it from a preset and change what differs.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Data centres; the first holds the platform's key-value service.
    pub data_centres: Vec<DataCentre>,
    /// Database groups; each has one instance per data centre, in turn.
    pub groups: Vec<id::GroupId>,
    /// Instances of each group.
    pub instances: usize,
    /// Delay one way between data centres of one region.
    pub near: Span,
    /// Delay one way between regions.
    pub far: Span,
    /// Bytes per second from one region to another, if limited.
    pub between_regions: Option<Rate>,
    /// Statements that an instance works on at once.
    pub slots: usize,
    /// Connections that an instance accepts.
    pub connections: usize,
    /// Time from accepting a connection to answering its start-up message.
    pub connect: Span,
    /// Time that every statement takes besides its own work.
    pub service: Span,
    /// Time between receiving and applying a record on a replica.
    pub lag: Span,
}

impl Default for Spec {
    fn default() -> Self {
        Self::small()
    }
}

fn named<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("preset names are identifiers")
}

fn centres(list: &[(&str, &str)]) -> Vec<DataCentre> {
    list.iter()
        .map(|(name, region)| DataCentre {
            name: named(name),
            region: named(region),
        })
        .collect()
}

fn groups(prefix: &str, count: usize) -> Vec<id::GroupId> {
    (1..=count)
        .map(|n| named(&format!("{prefix}-{n}")))
        .collect()
}

impl Spec {
    /// One group of three instances in three data centres, without delays.
    pub fn small() -> Self {
        Self {
            data_centres: centres(&[("dc1", "north"), ("dc2", "north"), ("dc3", "south")]),
            groups: vec![named("g1")],
            instances: 3,
            near: Span::from_millis(0),
            far: Span::from_millis(0),
            between_regions: None,
            slots: 3,
            connections: 20,
            connect: Span::from_millis(0),
            service: Span::from_millis(0),
            lag: Span::from_millis(0),
        }
    }

    /// Three groups in two data centres in Attica and one in Macedonia.
    pub fn ypsilon() -> Self {
        Self {
            data_centres: centres(&[
                ("attica-1", "attica"),
                ("attica-2", "attica"),
                ("macedonia-1", "macedonia"),
            ]),
            groups: groups("cbam-ledger", 3),
            near: Span::from_micros(1_500),
            far: Span::from_millis(20),
            between_regions: Some(REGION_LINK),
            connections: 20,
            connect: Span::from_millis(10),
            service: Span::from_millis(1),
            lag: Span::from_millis(50),
            ..Self::small()
        }
    }

    /// Three groups in two data centres in Budapest and one in Debrecen.
    pub fn budapest() -> Self {
        Self {
            data_centres: centres(&[
                ("budapest-1", "budapest"),
                ("budapest-2", "budapest"),
                ("debrecen-1", "debrecen"),
            ]),
            groups: groups("engedely-db", 3),
            near: Span::from_micros(500),
            far: Span::from_millis(20),
            between_regions: Some(REGION_LINK),
            connections: 35,
            connect: Span::from_millis(30),
            service: Span::from_millis(1),
            lag: Span::from_millis(50),
            ..Self::small()
        }
    }

    /// The delay one way between two data centres, by index.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            Duration::ZERO
        } else if self.data_centres[from].region == self.data_centres[to].region {
            self.near.as_duration()
        } else {
            self.far.as_duration()
        }
    }
}

/// 30 Mbit/s.
const REGION_LINK: Rate = Rate::from_bytes_per_second(30_000_000 / 8);
