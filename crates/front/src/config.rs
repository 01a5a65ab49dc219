//! Settings of one process.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId, Region};
use model::unit::Span;
use model::vm::{VmSize, VmSizeError};
use policy::quota::Terms;
use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
pub enum ConfigError {
    /// The windows for quotas have no length.
    #[error("quota_window_s must be above 0")]
    QuotaWindow,
    /// A tolerance for quotas is negative or not a number.
    #[error("{0} must be a number from 0 on, and is {1}")]
    QuotaTolerance(&'static str, f64),
    /// The size of the VM is impossible.
    #[error("vm: {0}")]
    Vm(#[from] VmSizeError),
}

/// What the VM of this process can carry.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Number of cores; also how many times as fast a single core is.
    pub cores: f64,
    /// Part of each core that the VM gets.
    pub core_share: f64,
    /// Bandwidth of its network link, in Mbit/s.
    pub link_mbps: f64,
}

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
    /// Windows in which the operations of a customer are counted, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default = "default_quota_window")]
    pub quota_window_s: Duration,
    /// Accepted excess over a customer's limit in a window, as a part of it.
    #[serde(default)]
    pub quota_overage: f64,
    /// Accepted excess over a customer's limit in a window, in operations.
    #[serde(default)]
    pub quota_slack: f64,
    /// The size of the VM; without it, this proxy carries as much as any other.
    #[serde(default)]
    pub vm: Option<VmSettings>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Time from the stop signal until the process is killed, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace_s: Duration,
}

fn default_quota_window() -> Duration {
    Terms::default().window.as_duration()
}

impl Config {
    /// Checks what the format alone does not ensure.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.quota_window_s.is_zero() {
            return Err(ConfigError::QuotaWindow);
        }
        let tolerances = [
            ("quota_overage", self.quota_overage),
            ("quota_slack", self.quota_slack),
        ];
        let is_invalid = |(_, value): &(_, f64)| !(value.is_finite() && *value >= 0.0);
        if let Some((name, value)) = tolerances.into_iter().find(is_invalid) {
            return Err(ConfigError::QuotaTolerance(name, value));
        }
        self.vm_size()?;
        Ok(())
    }

    /// The size of the VM, if the settings state it.
    pub fn vm_size(&self) -> Result<Option<VmSize>, VmSizeError> {
        let size = |vm: VmSettings| VmSize::new(vm.cores, vm.core_share, vm.link_mbps);
        self.vm.map(size).transpose()
    }

    /// What is tolerated beyond the customers' limits.
    pub fn quota_terms(&self) -> Terms {
        Terms {
            window: Span::from(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }
}
