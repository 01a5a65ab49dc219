//! A whole fleet in one process: stand-ins and proxies, each on its own thread.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use model::config::Fleet;
use model::id::{DataCentre, ProxyId};
use proxy::config::Config;
use proxy::run::Embedded;

/// Secret that the embedded proxies share.
const SECRET: &str = "embedded fleet";

/// Proxies that a later one is told of; through these it finds the others.
const SEEDS: usize = 3;

/// Why a fleet cannot be started.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum BedError {
    /// The stand-ins cannot start.
    #[error(transparent)]
    StandIn(#[from] standin::StartError),
    /// A proxy cannot start.
    #[error(transparent)]
    Proxy(#[from] proxy::run::StartError),
    /// The configuration cannot be written to the store.
    #[error(transparent)]
    Configuration(#[from] store::config::ConfigError),
    /// The store cannot be reached.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The configuration cannot be written to a file.
    #[error("cannot write the configuration")]
    File(#[from] std::io::Error),
    /// A fault could not be switched.
    #[error(transparent)]
    Fault(#[from] standin::ControlError),
    /// The sessions could not be prepared or audited.
    #[error(transparent)]
    Client(#[from] crate::client::ClientError),
}

/// Running stand-ins and proxies; dropping the bed stops them, proxies first.
pub struct Bed {
    /// Proxies, in the order of their data centres, in turn.
    proxies: Vec<Embedded>,
    stand_ins: standin::Fleet,
    /// The configuration, for proxies that start before the store answers.
    document: tempfile::NamedTempFile,
}

impl Bed {
    /// Starts the stand-ins, writes their configuration to the store, and starts
    /// `proxies` proxies, one data centre after the other.
    pub async fn start(spec: standin::Spec, proxies: usize) -> Result<Self, BedError> {
        let stand_ins = standin::Fleet::start(spec.clone())?;
        let mut fleet = stand_ins.document();
        // The connections that each proxy may always hold follow from it.
        fleet.defaults.proxies = u32::try_from(proxies.max(1)).unwrap_or(u32::MAX);
        publish(&stand_ins, &spec.data_centres[0].name, &fleet).await?;
        let mut bed = Self {
            proxies: Vec::new(),
            document: write_document(&fleet)?,
            stand_ins,
        };
        for at in 0..proxies {
            let cfg = bed.config(&spec, at);
            bed.proxies.push(Embedded::start(cfg)?);
        }
        Ok(bed)
    }

    /// The stand-ins.
    pub fn stand_ins(&self) -> &standin::Fleet {
        &self.stand_ins
    }

    /// Begins the graceful shutdown of a proxy without waiting for its end.
    pub fn stop(&mut self, at: usize) {
        self.proxies[at].shutdown();
    }

    /// Caller addresses of the proxies, as a workload takes them.
    pub fn entries(&self) -> Vec<(SocketAddr, Option<IpAddr>)> {
        self.proxies.iter().map(|p| (p.address(), None)).collect()
    }

    /// Peer addresses of the proxies.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let peers = self.proxies.iter().map(Embedded::peer_address);
        peers.flatten().collect()
    }

    /// Proves requests to the proxies.
    pub fn key() -> peer::auth::Key {
        peer::auth::Key::new(SECRET.as_bytes())
    }

    fn config(&self, spec: &standin::Spec, at: usize) -> Config {
        let centre = at % spec.data_centres.len();
        let name: &DataCentre = &spec.data_centres[centre].name;
        let ip = loopback(centre, at);
        let id: ProxyId = format!("proxy-{at}").parse().expect("an identifier");
        let store = self.stand_ins.store_url(name).into_iter().collect();
        let mut cfg = Config::builder(name.clone(), SECRET)
            .id(id)
            .address(ip)
            .listen(SocketAddr::new(ip, 0))
            .peer_listen(SocketAddr::new(ip, 0))
            .store(store)
            .seeds(self.peers().into_iter().take(SEEDS).collect())
            .fleet_file(self.document.path().to_owned());
        if let Some(url) = self.stand_ins.vm_list_url(name) {
            cfg = cfg.vm_list(url);
        }
        cfg.build()
    }
}

impl Drop for Bed {
    /// All proxies stop at once: one waits for what it carries for another.
    fn drop(&mut self) {
        self.proxies.iter_mut().for_each(Embedded::shutdown);
    }
}

/// The stand-ins tell data centres apart by the third byte, counted from 1.
fn loopback(centre: usize, at: usize) -> IpAddr {
    let byte = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, 0, byte(centre + 1), byte(at + 10)))
}

async fn publish(
    stand_ins: &standin::Fleet,
    centre: &DataCentre,
    fleet: &Fleet,
) -> Result<(), BedError> {
    let endpoints = stand_ins.store_url(centre).into_iter().collect();
    let client = store::Client::new(endpoints)?;
    let base = client.load_config().await?;
    client.save_config(&base, fleet, "bed").await?;
    Ok(())
}

fn write_document(fleet: &Fleet) -> Result<tempfile::NamedTempFile, BedError> {
    let mut file = tempfile::NamedTempFile::new()?;
    serde_json::to_writer(&mut file, fleet).map_err(std::io::Error::from)?;
    Ok(file)
}
