//! Settings of one process.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId, Region};
use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};

/// Settings of one process, JSON with comments.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of this proxy in the store.
    pub proxy: ProxyId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// All data centres with their regions.
    pub data_centres: IndexMap<DataCentre, Region>,
    /// Address for callers' connections.
    pub listen: SocketAddr,
    /// Address at which the balancer checks whether this proxy accepts new callers.
    pub ready_listen: SocketAddr,
    /// Address of the relay, which provides pooled connections to other proxies; it must be
    /// reachable for them.
    pub relay_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address at which the platform accepts promotion orders.
    pub orders: SocketAddr,
    /// Shortest lease that the store grants, in milliseconds.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub least_lease_ms: Duration,
    /// Time within which a change of the configuration must be in force, in milliseconds.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub in_force_within_ms: Duration,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Time from the stop signal until the process is killed, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace_s: Duration,
}
