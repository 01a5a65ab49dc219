//! Settings of one proxy process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use model::id::{DataCentre, ProxyId};
use model::unit::{Size, Span};

use crate::trace::Traces;

/// Settings of one proxy process, read from a file of JSON with comments.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of this process in logs and among its peers; random when left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<ProxyId>,
    /// Data centre in which this process runs.
    pub data_centre: DataCentre,
    /// Own IP address; outgoing connections are bound to it.
    pub address: IpAddr,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where peers and operators connect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_listen: Option<SocketAddr>,
    /// Address by which peers reach this process; `peer_listen` when left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// URLs of the platform's key-value service.
    #[serde(default)]
    pub store: Vec<String>,
    /// URL of the platform's list of VMs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm_list: Option<String>,
    /// Addresses of peers to ask first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret of the fleet: signs session tokens and proves peers to each other.
    pub secret: Secret,
    /// Certificate towards callers; without it connections are in clear text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<Tls>,
    /// File with the fleet's configuration, for a start without the store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet_file: Option<PathBuf>,
    /// Where traces go; none are made when left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traces: Option<Traces>,
    /// What one caller connection may cost.
    #[serde(default)]
    pub limits: Limits,
}

/// A secret that never shows in logs.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// Files of the certificate that callers see.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain, PEM.
    pub certificate: PathBuf,
    /// Private key, PEM.
    pub key: PathBuf,
}

/// What callers may cost this process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers, also half-open ones. Load: a caller that leaks
    /// connections; harm: memory and file descriptors of the whole process.
    pub callers: u32,
    /// Time from connecting to the end of the login. Load: connections that are
    /// opened and left; harm: each holds memory and a place among the callers.
    pub login: Span,
    /// Largest request. A request is held whole until it is sent, because only
    /// then is it known where it must go.
    pub request: Size,
    /// Prepared statements that one session keeps.
    pub prepared: u32,
    /// Longest wait for a caller that does not read its answer.
    pub stalled: Span,
    /// Longest wait for requests in flight when shutting down.
    pub drain: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            callers: 15_000,
            login: Span::from_millis(10_000),
            request: Size::from_bytes(4 << 20),
            prepared: 1_000,
            stalled: Span::from_millis(30_000),
            drain: Span::from_millis(30_000),
        }
    }
}

impl Config {
    /// Begins a configuration with what has no default.
    pub fn builder(data_centre: DataCentre, secret: impl Into<String>) -> Builder {
        Builder(Self {
            id: None,
            data_centre,
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peer_listen: None,
            advertise: None,
            store: Vec::new(),
            vm_list: None,
            seeds: Vec::new(),
            secret: Secret(secret.into()),
            tls: None,
            fleet_file: None,
            traces: None,
            limits: Limits::default(),
        })
    }
}

/// Builds a [`Config`]; what is not set keeps its default.
#[derive(Clone, Debug)]
pub struct Builder(Config);

macro_rules! setters {
    ($($(#[$meta:meta])* $name:ident: $type:ty => $wrap:expr,)+) => {
        impl Builder {
            $($(#[$meta])*
            #[must_use]
            pub fn $name(mut self, $name: $type) -> Self {
                self.0.$name = $wrap($name);
                self
            })+

            /// The finished configuration.
            pub fn build(self) -> Config {
                self.0
            }
        }
    };
}

setters! {
    /// Names the process.
    id: ProxyId => Some,
    /// Sets the own IP address.
    address: IpAddr => std::convert::identity,
    /// Sets where callers connect.
    listen: SocketAddr => std::convert::identity,
    /// Sets where peers and operators connect.
    peer_listen: SocketAddr => Some,
    /// Sets the address by which peers reach this process.
    advertise: SocketAddr => Some,
    /// Sets the URLs of the key-value service.
    store: Vec<String> => std::convert::identity,
    /// Sets the URL of the list of VMs.
    vm_list: String => Some,
    /// Sets the peers to ask first.
    seeds: Vec<SocketAddr> => std::convert::identity,
    /// Sets the certificate towards callers.
    tls: Tls => Some,
    /// Sets the file with the fleet's configuration.
    fleet_file: PathBuf => Some,
    /// Sets where traces go.
    traces: Traces => Some,
    /// Sets what one caller may cost.
    limits: Limits => std::convert::identity,
}
