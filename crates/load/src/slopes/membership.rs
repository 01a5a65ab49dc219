//! Cost of membership at growing sizes of a data centre: the controllers are driven
//! directly, and their messages are encoded as they would be sent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use miette::IntoDiagnostic as _;
use model::unit::{Span, Time};
use peer::codec;
use policy::membership::Membership;
use policy::membership::message::{Action, Heartbeat, Peer};
use policy::membership::table::{MemberInfo, State};

use super::process;
use crate::report::Table;

/// Proxies of each data centre.
const SIZES: [usize; 4] = [3, 23, 92, 184];
const CENTRES: usize = 3;
const STEP: Span = Span::from_millis(100);

/// Time for all to find each other, and the time that is measured.
const WARM_UP: Span = Span::from_millis(300_000);
const MEASURED: Span = Span::from_millis(30_000);

/// Bytes of a request and its answer besides the bodies: request and status lines, host,
/// proofs, lengths, types and date, counted on one exchange over a socket.
const OVERHEAD: usize = 560;

struct World {
    now: Time,
    members: Vec<Membership>,
    queue: VecDeque<(usize, Action)>,
    bodies: usize,
    exchanges: usize,
    cpu: Duration,
}

pub(super) fn measure() -> miette::Result<Table> {
    let title = "membership of 3 data centres, each proxy's share";
    let columns = ["proxies", "exchanges/s", "control B/s", "cpu %", "table KB"];
    let mut table = Table::new(title, &columns);
    for size in SIZES {
        table.row(one_size(size)?);
    }
    Ok(table)
}

fn one_size(size: usize) -> miette::Result<Vec<String>> {
    let proxies = size * CENTRES;
    let before = process::memory();
    let mut world = World::start(proxies)?;
    world.run(WARM_UP);
    let table = process::memory().saturating_sub(before) / proxies as u64;
    world.reset();
    world.run(MEASURED);
    let seconds = MEASURED.as_millis() as f64 / 1e3 * proxies as f64;
    let per_proxy = |n: usize| n as f64 / seconds;
    let bytes = world.bodies + world.exchanges * OVERHEAD;
    Ok(vec![
        proxies.to_string(),
        // Each exchange has two ends.
        format!("{:.2}", per_proxy(world.exchanges) * 2.0),
        format!("{:.0}", per_proxy(bytes) * 2.0),
        format!("{:.4}", world.cpu.as_secs_f64() / seconds * 100.0),
        format!("{:.1}", table as f64 / 1024.0),
    ])
}

impl World {
    fn start(proxies: usize) -> miette::Result<Self> {
        let now = Time::from_millis(1_000);
        let mut members = Vec::new();
        for at in 0..proxies {
            let me = MemberInfo {
                id: format!("proxy-{at:04}").parse().into_diagnostic()?,
                data_centre: format!("dc{}", at % CENTRES).parse().into_diagnostic()?,
                address: address(at),
                incarnation: 0,
                state: State::Live,
                draining: false,
                store_unreachable: false,
            };
            let seeds = (0..CENTRES).map(address).collect();
            members.push(Membership::new(now, me, seeds, at as u64));
        }
        Ok(Self {
            now,
            members,
            queue: VecDeque::new(),
            bodies: 0,
            exchanges: 0,
            cpu: Duration::ZERO,
        })
    }

    fn reset(&mut self) {
        self.bodies = 0;
        self.exchanges = 0;
        self.cpu = Duration::ZERO;
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let began = process::thread_cpu();
            for at in 0..self.members.len() {
                let actions = self.members[at].tick(self.now);
                self.queue.extend(actions.into_iter().map(|a| (at, a)));
            }
            while let Some((from, action)) = self.queue.pop_front() {
                self.perform(from, action);
            }
            self.cpu += process::thread_cpu() - began;
        }
    }

    fn perform(&mut self, from: usize, action: Action) {
        match action {
            Action::Heartbeat(peer, heartbeat) => self.beat(from, &peer, &heartbeat),
            Action::Compare(peer, compare) => {
                let tables = self.members[index(&peer)].differing_tables(&compare);
                self.count(&compare, &tables);
                let actions = self.members[from].tables_received(self.now, tables);
                self.queue.extend(actions.into_iter().map(|a| (from, a)));
            }
            Action::Fetch(..) | Action::Watch(_) | Action::Changed => {}
        }
    }

    fn beat(&mut self, from: usize, peer: &Peer, heartbeat: &Heartbeat) {
        let to = index(peer);
        let body = codec::encode(heartbeat).unwrap_or_default();
        let Ok(received) = codec::decode(&body) else {
            return;
        };
        let (answer, actions) = self.members[to].receive(self.now, received);
        self.queue.extend(actions.into_iter().map(|a| (to, a)));
        self.count(heartbeat, &answer);
        let actions = self.members[from].response_received(self.now, answer);
        self.queue.extend(actions.into_iter().map(|a| (from, a)));
    }

    fn count(&mut self, req: &impl serde::Serialize, res: &impl serde::Serialize) {
        let size = |body: Result<Vec<u8>, _>| body.map_or(0, |body| body.len());
        self.bodies += size(codec::encode(req)) + size(codec::encode(res));
        self.exchanges += 1;
    }
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 0], u16::try_from(at + 1).unwrap_or(u16::MAX)))
}

fn index(peer: &Peer) -> usize {
    usize::from(peer.address.port()) - 1
}
