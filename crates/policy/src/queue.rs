//! Fair queue of one backend server: start-time fair queueing over callers, and within a caller
//! over classes, charged by expected service time.
//!
//! Urgent requests of a caller near its share precede all others. They are charged to the
//! caller all the same, so urgency lets work run earlier but never buys a larger share.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use indexmap::IndexMap;
use model::id;
use model::unit::{Span, Time};

use crate::service_time;
use crate::slots::Capacity;

/// Class weight from which requests are urgent. While listings fill the queue, a payment would
/// otherwise wait a round of all callers. The threshold of four leaves weights 1 to 3 to rank
/// ordinary classes.
pub const URGENT_WEIGHT: u32 = 4;

/// How far ahead of its share a caller may be and still be served urgently, in microseconds of
/// service at weight 1. It allows for a burst of payments by one caller. If it is larger, a
/// caller that marks everything as payment delays the others by this much once; if it is
/// smaller, a few payments of a tenant in a row lose their urgency. 100 ms is twenty short
/// statements.
const URGENT_LEAD: u64 = 100_000;

/// Key of a queued request, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller.
    pub caller: id::CallerId,
    /// The caller's share against other callers; at least 1.
    pub weight: u32,
    /// Class of the request.
    pub class: id::Class,
    /// The class's share against other classes of the caller; at least 1.
    pub class_weight: u32,
    /// Shape of the statement, by which its service time is learned.
    pub shape: service_time::Shape,
    /// Time after which the caller no longer needs the response.
    pub deadline: Time,
}

/// A queued request with its expected cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request's key.
    pub key: Key,
    /// The request itself.
    pub request: Request,
    /// Expected service time.
    pub cost: Span,
    /// Whether it counts as long work.
    pub length: service_time::Length,
    /// When it was queued.
    pub since: Time,
    /// The wait forecast from the backlog at that time.
    pub forecast: Span,
}

impl Entry {
    /// Time after which the request could not finish within its deadline.
    pub fn latest_start(&self) -> Time {
        let deadline = self.request.deadline.as_micros();
        Time::from_micros(deadline.saturating_sub(self.cost.as_micros()))
    }
}

/// Weight of a new sample of a lane's bias, and the bounds of the bias. A weight of a tenth
/// follows a change of the load within ten requests.
const BIAS_SMOOTHING: f64 = 0.1;
const BIAS_RANGE: std::ops::RangeInclusive<f64> = 0.25..=16.0;

/// Shorter forecasts are not used for the bias. In a burst after a calm period, a wait of 10 ms
/// against a forecast of 3 ms would make the burst appear three times as long as it is, and
/// 1.2 % of it would be rejected needlessly.
const MIN_FORECAST: Span = Span::from_millis(10);

/// Requests of one caller, class and length, first come, first served.
#[derive(Clone, Debug)]
struct Lane {
    weight: u32,
    /// Recent waits relative to their forecasts. A forecast counts the backlog and cannot
    /// include urgent requests that arrive later and are served first.
    bias: f64,
    /// Virtual finish time: service received, divided by the weight.
    virtual_finish: u64,
    /// Expected service time of the queued requests.
    backlog: u64,
    keys: VecDeque<Key>,
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            weight: 1,
            bias: 1.0,
            virtual_finish: 0,
            backlog: 0,
            keys: VecDeque::new(),
        }
    }
}

impl Lane {
    fn record_wait(&mut self, waited: Span, forecast: Span) {
        if forecast < MIN_FORECAST {
            return;
        }
        let sample = waited.as_micros() as f64 / forecast.as_micros() as f64;
        let bias = self.bias + (sample - self.bias) * BIAS_SMOOTHING;
        self.bias = bias.clamp(*BIAS_RANGE.start(), *BIAS_RANGE.end());
    }
}

type LaneKey = (id::Class, service_time::Length);

#[derive(Clone, Debug, Default)]
struct Flow {
    weight: u32,
    /// Virtual finish time: service received, divided by the weight, on the queue's virtual
    /// clock.
    virtual_finish: u64,
    /// Virtual clock of the lanes.
    clock: u64,
    /// Expected service time of the queued requests.
    backlog: u64,
    lanes: IndexMap<LaneKey, Lane>,
}

impl Flow {
    fn lanes(&self, capacity: Capacity) -> impl Iterator<Item = (usize, &Lane)> {
        let lanes = self.lanes.iter().enumerate();
        let lanes = lanes.filter(move |(_, (key, lane))| fits(capacity, key, lane));
        lanes.map(|(at, (_, lane))| (at, lane))
    }

    /// Rank of the most urgent request: the highest class weight first, then the oldest.
    fn most_urgent(&self, capacity: Capacity) -> Option<(Reverse<u32>, Key)> {
        let lanes = self
            .lanes(capacity)
            .filter(|(_, l)| l.weight >= URGENT_WEIGHT);
        lanes
            .filter_map(|(_, l)| Some((Reverse(l.weight), *l.keys.front()?)))
            .min()
    }

    /// The lane to serve next: the least service for its weight, the heavier lane on a tie.
    fn next_lane(&self, capacity: Capacity) -> Option<usize> {
        let turn = |lane: &Lane| (lane.virtual_finish.max(self.clock), Reverse(lane.weight));
        let lanes = self.lanes(capacity);
        lanes.min_by_key(|(_, l)| turn(l)).map(|(at, _)| at)
    }

    fn urgent_backlog(&self) -> u64 {
        let urgent = self.lanes.values().filter(|l| l.weight >= URGENT_WEIGHT);
        urgent.map(|l| l.backlog).sum()
    }

    fn is_idle(&self) -> bool {
        self.lanes.values().all(|lane| lane.keys.is_empty())
    }
}

fn fits(capacity: Capacity, key: &LaneKey, lane: &Lane) -> bool {
    !lane.keys.is_empty()
        && (capacity.long || key.1 == service_time::Length::Short)
        && (capacity.ordinary || lane.weight >= URGENT_WEIGHT)
}

/// Fair queue of one backend server.
///
/// Invariants: each entry is in exactly one lane and once in `by_start`;
/// a flow's `backlog` is the sum of its entries' costs.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeMap<Key, Entry>,
    by_start: BTreeSet<(Time, Key)>,
    flows: IndexMap<id::CallerId, Flow>,
    clock: u64,
    backlog: u64,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expected service time of everything queued.
    pub fn backlog(&self) -> Span {
        Span::from_micros(self.backlog)
    }

    /// Number of callers with a flow; bounded by callers that have queued requests or are ahead
    /// of their share.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Expected service time that is served before a new request of this kind: its caller's
    /// backlog, and as much of each other caller's as is served meanwhile.
    pub fn work_ahead_of(&self, request: &Request, cost: Span) -> Span {
        let own = self.flows.get(&request.caller);
        let urgent = request.class_weight >= URGENT_WEIGHT;
        let weight = u64::from(request.weight.max(1));
        let virtual_finish = own.map_or(0, |f| f.virtual_finish);
        if urgent && virtual_finish <= self.clock + URGENT_LEAD {
            let flows = self.flows.values();
            return Span::from_micros(flows.map(Flow::urgent_backlog).sum());
        }
        let own = own.map_or(0, |f| f.backlog);
        let others = self.flows.iter().filter(|(id, _)| **id != request.caller);
        let turn = (own + cost.as_micros()) / weight;
        let others: u64 = others
            .map(|(_, f)| f.backlog.min(turn * u64::from(f.weight.max(1))))
            .sum();
        Span::from_micros(own + others)
    }

    /// How much longer requests of this kind wait than the backlog suggests, as a factor.
    pub fn bias(&self, request: &Request, length: service_time::Length) -> f64 {
        let flow = self.flows.get(&request.caller);
        let lane = flow.and_then(|f| f.lanes.get(&(request.class.clone(), length)));
        lane.map_or(1.0, |lane| lane.bias)
    }

    /// Queues a request.
    pub fn push(&mut self, entry: Entry) {
        let cost = entry.cost.as_micros();
        let flow = self.flows.entry(entry.request.caller.clone()).or_default();
        flow.weight = entry.request.weight.max(1);
        if flow.is_idle() {
            // A caller gains no credit for idle time; otherwise it could later block all others
            // for as long.
            flow.virtual_finish = flow.virtual_finish.max(self.clock);
        }
        let lane = (entry.request.class.clone(), entry.length);
        let lane = flow.lanes.entry(lane).or_default();
        lane.weight = entry.request.class_weight.max(1);
        lane.virtual_finish = lane.virtual_finish.max(flow.clock);
        lane.keys.push_back(entry.key);
        lane.backlog += cost;
        flow.backlog += cost;
        self.backlog += cost;
        self.by_start.insert((entry.latest_start(), entry.key));
        self.entries.insert(entry.key, entry);
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self, capacity: Capacity, now: Time) -> Option<Entry> {
        self.advance_clock();
        let at = self.next_flow(capacity)?;
        let (_, flow) = self.flows.get_index_mut(at)?;
        let lane_at = flow.next_lane(capacity)?;
        let (_, lane) = flow.lanes.get_index_mut(lane_at)?;
        let key = *lane.keys.front()?;
        let entry = self.entries.get(&key)?;
        let cost = entry.cost.as_micros();
        lane.record_wait(now.since(entry.since), entry.forecast);
        let start = lane.virtual_finish.max(flow.clock);
        lane.virtual_finish = start + cost / u64::from(lane.weight);
        flow.clock = start;
        flow.virtual_finish += cost / u64::from(flow.weight);
        self.remove(key)
    }

    fn advance_clock(&mut self) {
        let waiting = self.flows.values().filter(|f| !f.is_idle());
        if let Some(least) = waiting.map(|f| f.virtual_finish).min() {
            self.clock = self.clock.max(least);
        }
    }

    fn next_flow(&self, capacity: Capacity) -> Option<usize> {
        let lead = self.clock + URGENT_LEAD;
        let flows = || self.flows.values().enumerate();
        // Ordered by class weight and arrival, not by service received: all these callers are
        // near their shares, and callers notice the longest wait most.
        let urgent = flows()
            .filter(|(_, f)| f.virtual_finish <= lead)
            .filter_map(|(at, f)| Some((f.most_urgent(capacity)?, at)))
            .min();
        let least = || {
            flows()
                .filter(|(_, f)| f.lanes(capacity).next().is_some())
                .min_by_key(|(_, f)| f.virtual_finish)
                .map(|(at, _)| at)
        };
        urgent.map(|(_, at)| at).or_else(least)
    }

    /// Corrects a caller's charge once the actual service time is known.
    ///
    /// Otherwise a caller whose statements cost more than expected would get more than its
    /// share.
    pub fn adjust_charge(&mut self, request: &Request, expected: Span, took: Span) {
        let Some(flow) = self.flows.get_mut(&request.caller) else {
            return;
        };
        let weight = u64::from(flow.weight);
        let expected = expected.as_micros() / weight;
        let took = took.as_micros() / weight;
        flow.virtual_finish = (flow.virtual_finish + took).saturating_sub(expected);
    }

    /// Removes a request, for instance because its caller went away.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.by_start.remove(&(entry.latest_start(), key));
        let cost = entry.cost.as_micros();
        self.backlog -= cost;
        let flow = self.flows.get_mut(&entry.request.caller)?;
        flow.backlog -= cost;
        let lane = (entry.request.class.clone(), entry.length);
        let lane = flow.lanes.get_mut(&lane)?;
        if let Ok(at) = lane.keys.binary_search(&key) {
            lane.keys.remove(at);
            lane.backlog -= cost;
        }
        self.drop_settled_flows(&entry.request.caller);
        Some(entry)
    }

    /// Drops flows that are idle and not ahead of the virtual clock, which bounds memory by the
    /// callers that have queued requests or are ahead of their share. Once the queue is empty,
    /// no caller is being kept from service, so all start equal again.
    fn drop_settled_flows(&mut self, caller: &id::CallerId) {
        let clock = self.clock;
        let done = |f: &Flow| f.is_idle() && f.virtual_finish <= clock;
        if self.flows.get(caller).is_some_and(done) {
            self.flows.swap_remove(caller);
        }
        if self.entries.is_empty() {
            let last = self.flows.values().map(|f| f.virtual_finish).max();
            self.clock = clock.max(last.unwrap_or(clock));
            self.flows.clear();
        }
    }

    /// Removes and returns every request that can no longer finish within its deadline.
    pub fn expire(&mut self, now: Time) -> Vec<Entry> {
        let mut expired = Vec::new();
        while let Some((start, key)) = self.by_start.first().copied() {
            if start >= now {
                break;
            }
            expired.extend(self.remove(key));
        }
        expired
    }

    /// When the next request expires, if it does not start before.
    pub fn next_expiry(&self) -> Option<Time> {
        self.by_start.first().map(|(start, _)| *start)
    }

    /// Evicts the newest request of the lowest class weight of the caller with the largest
    /// backlog for its weight, unless that caller is `requester`.
    ///
    /// When one caller floods a full queue, the others would otherwise be rejected for lack of
    /// space that they did not use.
    pub fn evict_for(&mut self, requester: &id::CallerId) -> Option<Entry> {
        let load = |f: &Flow| f.backlog / u64::from(f.weight.max(1));
        let (caller, flow) = self.flows.iter().max_by_key(|(_, f)| load(f))?;
        if caller == requester {
            return None;
        }
        let lanes = flow.lanes.values().filter(|lane| !lane.keys.is_empty());
        let lane = lanes.min_by_key(|lane| lane.weight)?;
        let key = *lane.keys.back()?;
        self.remove(key)
    }
}
