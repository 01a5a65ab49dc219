//! How often proxies call a store that does not respond to some or all of them, and how soon all
//! have updates again. The fleet runs step by step, without a network.

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::direct_access::DirectAccess;
use policy::store_reader::{self, Next, StoreReaders, Upstream};
use policy::store_watch::WatchPacing;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use test_case::test_case;

const STEP: Span = Span::from_millis(5);

/// Time in which a change must be in force.
const IN_FORCE_WITHIN: Span = Span::from_millis(6_000);

/// Time for which a follower that another proxy asks may take over from its reader.
const TAKEOVER_TIME: Span = Span::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    Reads,
    Follows,
    Diverted,
    Lost,
}

#[derive(Clone, Debug)]
enum Work {
    Call(Time, bool),
    Follow(ProxyId, Time, Time),
    Wait(Time),
}

struct Proxy {
    readers: StoreReaders,
    direct: DirectAccess,
    pacing: WatchPacing,
    access: Access,
    work: Work,
    calls: usize,
    updated_at: Time,
}

/// The proxies of one data centre.
struct DataCentre {
    ids: Vec<ProxyId>,
    proxies: IndexMap<ProxyId, Proxy>,
    rng: StdRng,
    now: Time,
}

impl DataCentre {
    fn new(size: usize) -> Self {
        let ids: Vec<ProxyId> = (0..size)
            .map(|n| format!("front-a-{n}").parse().unwrap())
            .collect();
        let proxy = |id: &ProxyId| {
            let proxy = Proxy {
                readers: StoreReaders::default(),
                direct: DirectAccess::default(),
                pacing: WatchPacing::new(IN_FORCE_WITHIN),
                access: Access::Follows,
                work: Work::Wait(Time::default()),
                calls: 0,
                updated_at: Time::default(),
            };
            (id.clone(), proxy)
        };
        Self {
            proxies: ids.iter().map(proxy).collect(),
            ids,
            rng: StdRng::seed_from_u64(1),
            now: Time::default(),
        }
    }

    /// Runs until a time; `responds` says to which proxies the store responds, by their index.
    fn run(&mut self, until: Time, responds: impl Fn(usize) -> bool) {
        while self.now < until {
            for index in 0..self.ids.len() {
                self.step(index, responds(index));
            }
            self.now = self.now + STEP;
        }
    }

    fn step(&mut self, index: usize, responds: bool) {
        let (id, now) = (self.ids[index].clone(), self.now);
        match self.proxies[&id].work.clone() {
            Work::Call(ends, succeeds) if now < ends && (responds || !succeeds) => {}
            Work::Call(_, true) if !responds => self.fail(&id, responds),
            Work::Call(_, succeeded) if succeeded => {
                let proxy = &mut self.proxies[&id];
                proxy.direct.succeeded();
                proxy.pacing.succeeded();
                proxy.access = Access::Reads;
                proxy.updated_at = now;
                self.begin(&id, responds);
            }
            Work::Call(..) => self.fail(&id, responds),
            Work::Follow(reader, asked, until) => self.follow(&id, &reader, asked, until, responds),
            Work::Wait(until) if now < until => {}
            Work::Wait(_) => self.begin(&id, responds),
        }
    }

    fn fail(&mut self, id: &ProxyId, responds: bool) {
        let proxy = &mut self.proxies[id];
        proxy.access = Access::Lost;
        let delay = proxy.pacing.failed(&mut self.rng);
        let others =
            !store_reader::is_reader(id, &self.ids) && proxy.readers.others_respond(id, &self.ids);
        proxy.direct.failed(others, delay, &mut self.rng, self.now);
        self.begin(id, responds);
    }

    fn follow(&mut self, id: &ProxyId, reader: &ProxyId, asked: Time, until: Time, responds: bool) {
        let now = self.now;
        let access = self.proxies[reader].access;
        let proxy = &mut self.proxies[id];
        match access {
            Access::Reads if now < until => {}
            Access::Reads => {
                proxy.pacing.succeeded();
                proxy.readers.end_round();
                let first = StoreReaders::default().upstream(id, &self.ids, now);
                proxy
                    .direct
                    .followed(first == Upstream::StoreReader(reader.clone()));
                let is_lost = proxy.direct.is_lost();
                proxy.access = if is_lost {
                    Access::Diverted
                } else {
                    Access::Follows
                };
                proxy.updated_at = now;
                self.begin(id, responds);
            }
            Access::Follows if now.since(asked) < TAKEOVER_TIME => {}
            Access::Follows | Access::Diverted | Access::Lost => {
                proxy.readers.mark_without_updates(reader, now);
                self.begin(id, responds);
            }
        }
    }

    fn begin(&mut self, id: &ProxyId, responds: bool) {
        let now = self.now;
        let proxy = &mut self.proxies[id];
        let wait = proxy.pacing.wait();
        proxy.work = match proxy.readers.next(id, &self.ids, &proxy.direct, now) {
            Next::WaitUntil(time) => Work::Wait(time),
            Next::Follow(reader) => Work::Follow(reader, now, now + wait),
            Next::Call => {
                proxy.calls += 1;
                let takes_over =
                    proxy.access != Access::Reads && store_reader::may_take_over(id, &self.ids);
                let wait = if takes_over {
                    Span::from_millis(60)
                } else {
                    wait
                };
                let takes = if responds {
                    wait
                } else {
                    Span::from_millis(10)
                };
                Work::Call(now + takes, responds)
            }
        };
    }

    fn calls(&self) -> usize {
        self.proxies.values().map(|p| p.calls).sum()
    }

    /// Longest time since an update.
    fn oldest_update(&self) -> Span {
        let oldest = self.proxies.values().map(|p| p.updated_at).min().unwrap();
        self.now.since(oldest)
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// The store rejects some proxies for nine seconds, whichever they are. Each of them called it
/// three times a second, and so did their followers, though others nearby could read it.
#[test_case(14, 3; "14 proxies, a third rejected")]
#[test_case(14, 2; "14 proxies, half rejected")]
#[test_case(100, 3; "100 proxies, a third rejected")]
fn rejected_proxies_follow_those_that_are_not(size: usize, one_in: usize) {
    for offset in 0..one_in {
        let mut centre = DataCentre::new(size);
        centre.run(at(10_000), |_| true);
        let before = centre.calls();
        centre.run(at(19_000), |index| index % one_in != offset);
        let calls = centre.calls() - before;
        assert!(calls <= 30 + size, "{calls} calls of {size} proxies");
        // A watch takes 3 s, and a reader is asked for 3 s.
        let oldest = centre.oldest_update();
        assert!(oldest < Span::from_millis(4_500), "{oldest}");
    }
}

/// The store responds to nobody for five seconds. Hundreds of proxies called it three times a
/// second each, and all have updates again soon after it has returned.
#[test_case(14; "14 proxies")]
#[test_case(100; "100 proxies")]
#[test_case(333; "333 proxies")]
fn during_an_outage_few_proxies_call_the_store(size: usize) {
    let mut centre = DataCentre::new(size);
    centre.run(at(10_000), |_| true);
    let before = centre.calls();
    centre.run(at(15_000), |_| false);
    let calls = centre.calls() - before;
    assert!(calls <= 50 + 6 * size, "{calls} calls of {size} proxies");
    centre.run(at(16_500), |_| true);
    let oldest = centre.oldest_update();
    assert!(oldest < Span::from_millis(1_500), "{oldest}");
}

/// Each of three proxies in a data centre reads the store itself: its retries stay as frequent as
/// those of a proxy that has nobody to ask.
#[test]
fn in_a_small_data_centre_each_proxy_keeps_calling() {
    let mut centre = DataCentre::new(3);
    centre.run(at(10_000), |_| true);
    let before = centre.calls();
    centre.run(at(14_000), |_| false);
    let calls = centre.calls() - before;
    assert!((30..=60).contains(&calls), "{calls} calls");
}

/// A proxy that nobody in its data centre responds to has only the store to ask.
#[test]
fn a_proxy_that_nobody_responds_to_retries_soon() {
    let mut direct = DirectAccess::default();
    let delay = Span::from_millis(80);
    direct.failed(false, delay, &mut StdRng::seed_from_u64(1), at(1_000));
    assert_eq!(direct.next_call(), at(1_080));
}

/// A rejected reader follows another proxy: it calls the store at growing intervals, and often
/// again once that proxy has no updates either.
#[test]
fn a_rejected_reader_calls_at_growing_intervals() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut direct = DirectAccess::default();
    let mut pauses = Vec::new();
    direct.failed(false, Span::from_millis(50), &mut rng, at(0));
    for _ in 0..4 {
        direct.followed(false);
        let now = direct.next_call();
        direct.failed(false, Span::from_millis(50), &mut rng, now);
        pauses.push(direct.next_call().since(now).as_millis());
    }
    assert!((500..=1_000).contains(&pauses[0]), "{pauses:?}");
    assert!((2_000..=4_000).contains(&pauses[3]), "{pauses:?}");
    let now = direct.next_call();
    direct.failed(false, Span::from_millis(50), &mut rng, now);
    assert_eq!(direct.next_call(), now + Span::from_millis(50));
}
