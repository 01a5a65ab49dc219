//! Links between data centres: delays, a bandwidth cap between regions, cuts
//! and byte counters. Everything here runs on the fleet's one thread.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::id;

use crate::spec::Spec;

/// How often a sender on a cut link looks whether the link is back.
const CUT_POLL: Duration = Duration::from_millis(5);

/// A data centre by its index in [`Spec::data_centres`]; `None` is a viewer
/// outside all of them, which has no delay and is never cut off.
pub(crate) type Site = Option<usize>;

/// Who still reaches an isolated instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// Nobody.
    Nobody,
    /// Viewers in its own data centre, but none of its group.
    SameDataCentre,
}

/// Direction of bytes, as seen from an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// From the viewer to the instance.
    In,
    /// From the instance to the viewer.
    Out,
}

/// What bytes are for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Traffic {
    /// Between viewers and instances.
    Queries,
    /// Between instances of a group.
    Replication,
    /// Calls to the platform.
    Platform,
    /// Through relays.
    Relayed,
}

/// Bytes of one kind from one region to another, or within one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Flow {
    /// Region that sends.
    pub from: id::Region,
    /// Region that receives.
    pub to: id::Region,
    /// What the bytes are for.
    pub traffic: Traffic,
}

impl Flow {
    /// Whether the bytes cross from one region to another.
    pub fn crosses(&self) -> bool {
        self.from != self.to
    }
}

/// Bytes carried so far.
pub type Bytes = IndexMap<Flow, u64>;

struct State {
    spec: Spec,
    cuts: IndexSet<(usize, usize)>,
    isolated: IndexMap<id::InstanceId, Reach>,
    bytes: Bytes,
    free_at: IndexMap<(id::Region, id::Region), Instant>,
}

/// The links of one fleet; clones share them.
#[derive(Clone)]
pub(crate) struct Net(Rc<RefCell<State>>);

impl Net {
    /// Links as `spec` describes them, none of them cut.
    pub(crate) fn new(spec: &Spec) -> Self {
        Self(Rc::new(RefCell::new(State {
            spec: spec.clone(),
            cuts: IndexSet::new(),
            isolated: IndexMap::new(),
            bytes: IndexMap::new(),
            free_at: IndexMap::new(),
        })))
    }

    /// The data centre of an address `127.0.k.x`.
    pub(crate) fn site(&self, ip: IpAddr) -> Site {
        let IpAddr::V4(ip) = ip else { return None };
        let [127, 0, k, _] = ip.octets() else {
            return None;
        };
        let known = self.0.borrow().spec.data_centres.len();
        (1..=known)
            .contains(&usize::from(k))
            .then(|| usize::from(k) - 1)
    }

    /// The delay one way.
    pub(crate) fn delay(&self, from: Site, to: Site) -> Duration {
        match (from, to) {
            (Some(from), Some(to)) => self.0.borrow().spec.delay(from, to),
            _ => Duration::ZERO,
        }
    }

    /// Cuts the link in one direction.
    pub(crate) fn cut(&self, from: usize, to: usize) {
        self.0.borrow_mut().cuts.insert((from, to));
    }

    /// Restores every link.
    pub(crate) fn heal(&self) {
        let mut state = self.0.borrow_mut();
        state.cuts.clear();
        state.isolated.clear();
    }

    /// Isolates an instance, or ends its isolation.
    pub(crate) fn isolate(&self, instance: &id::InstanceId, reach: Option<Reach>) {
        let isolated = &mut self.0.borrow_mut().isolated;
        match reach {
            Some(reach) => {
                isolated.insert(instance.clone(), reach);
            }
            None => {
                isolated.shift_remove(instance);
            }
        }
    }

    /// Whether bytes pass between two data centres now.
    pub(crate) fn open(&self, from: Site, to: Site) -> bool {
        match (from, to) {
            (Some(from), Some(to)) => !self.0.borrow().cuts.contains(&(from, to)),
            _ => true,
        }
    }

    /// Whether isolation lets bytes pass between a viewer and an instance at `home`.
    fn admits(&self, viewer: Site, home: usize, instance: &id::InstanceId) -> bool {
        match self.0.borrow().isolated.get(instance) {
            Some(Reach::Nobody) => false,
            Some(Reach::SameDataCentre) => viewer.is_none_or(|v| v == home),
            None => true,
        }
    }

    /// Whether an instance is cut off from the rest of its group.
    pub(crate) fn isolated(&self, instance: &id::InstanceId) -> bool {
        self.0.borrow().isolated.contains_key(instance)
    }

    /// Waits until bytes pass between two data centres.
    pub(crate) async fn wait_open(&self, from: Site, to: Site) {
        while !self.open(from, to) {
            compio::time::sleep(CUT_POLL).await;
        }
    }

    /// Waits until bytes pass from a viewer to an instance, or back.
    pub(crate) async fn wait_reach(
        &self,
        viewer: Site,
        home: usize,
        instance: &id::InstanceId,
        direction: Direction,
    ) {
        let home_site = Some(home);
        let (from, to) = match direction {
            Direction::In => (viewer, home_site),
            Direction::Out => (home_site, viewer),
        };
        while !(self.admits(viewer, home, instance) && self.open(from, to)) {
            compio::time::sleep(CUT_POLL).await;
        }
    }

    /// Counts `len` bytes and says when the last of them arrives.
    pub(crate) fn arrival(&self, traffic: Traffic, from: Site, to: Site, len: usize) -> Instant {
        let now = Instant::now();
        let (Some(from), Some(to)) = (from, to) else {
            return now;
        };
        let mut state = self.0.borrow_mut();
        let delay = state.spec.delay(from, to);
        let pair = (
            state.spec.data_centres[from].region.clone(),
            state.spec.data_centres[to].region.clone(),
        );
        let (region, other) = pair.clone();
        let flow = Flow {
            from: region,
            to: other,
            traffic,
        };
        *state.bytes.entry(flow).or_default() += len as u64;
        let sent = match state.spec.between_regions {
            Some(rate) if pair.0 != pair.1 => {
                let took = len as f64 / rate.as_bytes_per_second().max(1) as f64;
                let free = state.free_at.entry(pair).or_insert(now);
                *free = (*free).max(now) + Duration::from_secs_f64(took);
                *free
            }
            _ => now,
        };
        sent + delay
    }

    /// Bytes carried so far.
    pub(crate) fn bytes(&self) -> Bytes {
        self.0.borrow().bytes.clone()
    }
}
