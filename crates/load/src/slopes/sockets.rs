//! Embedded proxies over real sockets: calls to the store, bytes between proxies,
//! processor time, memory, and the time until a change is in force everywhere.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future;
use miette::IntoDiagnostic as _;
use model::position::Revision;
use proxy::member::{Empty, OWN, OwnState};
use store::kv::Outcome;

use super::process;
use crate::bed::Bed;
use crate::report::Table;

/// Data centres, and proxies in each.
const CENTRES: [usize; 3] = [1, 2, 3];
const PROXIES: [usize; 3] = [2, 4, 8];

/// Changes over which the time and the calls of one are averaged.
const CHANGES: u32 = 5;

/// Calls of the operator who makes a change: one reads, one writes.
const OPERATOR_CALLS: f64 = 2.0;

/// Time for the proxies to find each other.
const SETTLE: Duration = Duration::from_secs(25);

/// Longest wait for one change.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two looks at a proxy's revision.
const LOOK: Duration = Duration::from_millis(2);

pub(super) async fn measure(seconds: u64) -> miette::Result<Table> {
    let title = "embedded proxies, one group, no callers";
    let columns = [
        "data centres",
        "proxies",
        "store calls/s idle",
        "store calls per change",
        "peer B/s each",
        "cpu % each",
        "memory MB in all",
        "in force p50 ms",
        "in force worst ms",
    ];
    let mut table = Table::new(title, &columns);
    for centres in CENTRES {
        for proxies in PROXIES {
            table.row(one_size(centres, proxies, seconds).await?);
        }
    }
    Ok(table)
}

async fn one_size(centres: usize, each: usize, seconds: u64) -> miette::Result<Vec<String>> {
    let mut spec = standin::Spec::ypsilon();
    spec.data_centres.truncate(centres);
    spec.groups.truncate(1);
    let proxies = centres * each;
    let bed = Bed::start(spec, proxies).await.into_diagnostic()?;
    let peers = peer::Client::new(Bed::key()).into_diagnostic()?;
    compio::time::sleep(SETTLE).await;
    let before = Look::take(&bed).await?;
    compio::time::sleep(Duration::from_secs(seconds)).await;
    let idle = Look::take(&bed).await?.since(&before);
    let before = Look::take(&bed).await?;
    let mut times = Vec::new();
    for change in 0..CHANGES {
        times.push(apply(&bed, &peers, change).await?);
    }
    let changed = Look::take(&bed).await?.since(&before);
    times.sort();
    let all = idle.took.as_secs_f64();
    // What the watches cost without a change does not count as the change's.
    let idle_calls = idle.calls as f64 / all * changed.took.as_secs_f64();
    let calls = (changed.calls as f64 - idle_calls) / f64::from(CHANGES) - OPERATOR_CALLS;
    let ms = |d: Duration| format!("{:.0}", d.as_secs_f64() * 1e3);
    Ok(vec![
        centres.to_string(),
        proxies.to_string(),
        format!("{:.2}", idle.calls as f64 / all),
        format!("{calls:.2}"),
        format!("{:.0}", idle.bytes as f64 / all / proxies as f64),
        format!(
            "{:.2}",
            idle.cpu.as_secs_f64() / all / proxies as f64 * 100.0
        ),
        format!("{:.0}", process::memory() as f64 / f64::from(1 << 20)),
        ms(times[times.len() / 2]),
        ms(times[times.len() - 1]),
    ])
}

/// Counters at one moment, or the difference of two.
struct Look {
    at: Instant,
    took: Duration,
    calls: u64,
    bytes: u64,
    cpu: Duration,
}

impl Look {
    async fn take(bed: &Bed) -> miette::Result<Self> {
        let counts = bed.stand_ins().control().store_calls().into_diagnostic()?;
        let mut bytes = 0;
        for peer in bed.peers() {
            bytes += peer_bytes(peer).await?;
        }
        Ok(Self {
            at: Instant::now(),
            took: Duration::ZERO,
            calls: counts.values().sum(),
            bytes,
            cpu: process::proxies_cpu(),
        })
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            at: self.at,
            took: self.at - earlier.at,
            calls: self.calls - earlier.calls,
            bytes: self.bytes - earlier.bytes,
            cpu: self.cpu - earlier.cpu,
        }
    }
}

/// Bytes that a proxy sent to and received from peers, from its metrics.
async fn peer_bytes(peer: SocketAddr) -> miette::Result<u64> {
    let client = cyper::Client::builder().no_proxy().build();
    let request = client.into_diagnostic()?;
    let request = request.get(format!("http://{peer}/metrics"));
    let response = request.into_diagnostic()?.send().await.into_diagnostic()?;
    let text = response.text().await.into_diagnostic()?;
    let lines = text.lines().filter(|l| l.starts_with("pomelo_peer_bytes"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    Ok(values.sum())
}

/// Applies a change and returns the time until every proxy has it in force.
async fn apply(bed: &Bed, peers: &peer::Client, change: u32) -> miette::Result<Duration> {
    let centre = bed.stand_ins().addresses().platform.keys().next().cloned();
    let url = centre.and_then(|centre| bed.stand_ins().store_url(&centre));
    let client = store::Client::new(url.into_iter().collect()).into_diagnostic()?;
    let base = client.load_config().await.into_diagnostic()?;
    let mut fleet = base.fleet.clone();
    fleet.defaults.queue = 1_000 + change;
    let nonce = format!("slopes-{change}-{}", base.revision);
    let outcome = client.save_config(&base, &fleet, &nonce).await;
    let Outcome::Applied(revision) = outcome.into_diagnostic()? else {
        return Err(miette::miette!("the change was not applied"));
    };
    let began = Instant::now();
    let waits = bed
        .peers()
        .into_iter()
        .map(|peer| wait(peers, peer, revision));
    future::try_join_all(waits).await?;
    Ok(began.elapsed())
}

async fn wait(peers: &peer::Client, peer: SocketAddr, revision: Revision) -> miette::Result<()> {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        let own = peers.call::<_, OwnState>(peer, OWN, &Empty {}, PATIENCE, None);
        if own.await.into_diagnostic()?.revision >= revision {
            return Ok(());
        }
        compio::time::sleep(LOOK).await;
    }
    Err(miette::miette!("{peer} lacks revision {revision}"))
}
