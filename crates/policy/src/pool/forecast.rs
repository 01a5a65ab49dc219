//! How long waiting requests will wait, by the rate at which requests were granted of late.

use indexmap::IndexMap;
use model::unit::{Span, Time};

/// Inverse of the weight of a new interval in the moving average.
const SMOOTHING: u64 = 16;

/// Intervals that must be known before anything is forecast.
const MIN_SAMPLES: u32 = 8;

/// Largest multiple of the average that one interval counts as: a pause of a second, as while
/// the primary changes, says little about the rate after it.
const MAX_DEVIATION: u64 = 4;

/// Interval below which an average counts as this long for [`MAX_DEVIATION`], in microseconds.
const MIN_INTERVAL: u64 = 1_000;

/// Requests that must wait for an interval to show the capacity: a single one may wait for a
/// connection to be opened while the instances are idle.
const MIN_WAITING: usize = 4;

/// Time without a grant after which the rate counts as unknown.
const EXPIRY: Span = Span::from_millis(2_000);

/// Time over which arrivals are averaged, in microseconds.
const ARRIVALS_OVER: f64 = 1_000_000.0;

/// Part of the rate from which on requests that others precede are not expected to be served.
const FULL: f64 = 0.95;

/// Duration of the interval whose arrivals show whether a burst still lasts.
const RECENT: Span = Span::from_millis(50);

/// A rate of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    /// Arrivals, each weighted by its age.
    count: f64,
    at: Time,
    /// Arrivals in the present interval and in the one before.
    recent: [u32; 2],
    recent_since: Time,
}

impl Arrivals {
    fn add(&mut self, now: Time) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
        if now.since(self.recent_since) >= RECENT {
            self.recent = [0, self.last_interval(now)];
            self.recent_since = now;
        }
        self.recent[0] += 1;
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_micros() as f64;
        self.count * (-age / ARRIVALS_OVER).exp()
    }

    /// Arrivals in the last complete interval.
    fn last_interval(&self, now: Time) -> u32 {
        let age = now.since(self.recent_since);
        if age >= RECENT.times(2) {
            0
        } else if age >= RECENT {
            self.recent[0]
        } else {
            self.recent[1]
        }
    }

    /// Arrivals in a microsecond: the average, unless few arrived of late.
    fn rate(&self, now: Time) -> f64 {
        let recent = f64::from(self.last_interval(now)) / RECENT.as_micros() as f64;
        (self.decayed(now) / ARRIVALS_OVER).min(recent)
    }
}

/// The rate at which the requests of one lane are granted while some wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    /// Average interval between two grants, in microseconds.
    interval: u64,
    samples: u32,
    /// The last grant, if enough requests waited after it.
    busy_since: Option<Time>,
    last_grant: Time,
    /// Arrivals by class.
    arrivals: IndexMap<u8, Arrivals>,
}

impl Forecast {
    /// Records a request of a class that begins to wait.
    pub(super) fn arrived(&mut self, class: u8, now: Time) {
        self.arrivals.entry(class).or_default().add(now);
    }

    /// Records a grant, after which `waiting` requests wait.
    pub(super) fn granted(&mut self, waiting: usize, now: Time) {
        if now.since(self.last_grant) > EXPIRY {
            self.samples = 0;
        }
        if let Some(since) = self.busy_since {
            let sample = now.since(since).as_micros();
            self.interval = match self.samples {
                0 => sample,
                1..MIN_SAMPLES => self.average(sample, u64::from(self.samples) + 1),
                _ => {
                    let limit = self.interval.max(MIN_INTERVAL) * MAX_DEVIATION;
                    self.average(sample.min(limit), SMOOTHING)
                }
            };
            self.samples = self.samples.saturating_add(1);
        }
        self.busy_since = (waiting >= MIN_WAITING).then_some(now);
        self.last_grant = now;
    }

    fn average(&self, sample: u64, weight: u64) -> u64 {
        (self.interval * (weight - 1) + sample).div_ceil(weight)
    }

    /// Expected wait of a request with this many ahead of it, if further ones of the classes that
    /// `precedes` accepts go ahead of it as they arrive; [`Wait::Unknown`] if nothing is known.
    pub(super) fn wait(&self, ahead: u64, precedes: impl Fn(u8) -> bool, now: Time) -> Wait {
        if self.samples < MIN_SAMPLES || now.since(self.last_grant) > EXPIRY {
            return Wait::Unknown;
        }
        let arrivals = self.arrivals.iter().filter(|(class, _)| precedes(**class));
        let rate: f64 = arrivals.map(|(_, a)| a.rate(now)).sum();
        let load = rate * self.interval as f64;
        if load >= FULL {
            return Wait::Endless;
        }
        let wait = self.interval.saturating_mul(ahead + 1) as f64 / (1.0 - load);
        Wait::Expected(Span::from_micros(wait as u64))
    }
}

/// A forecast wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wait {
    /// Too little is known.
    Unknown,
    /// This long.
    Expected(Span),
    /// As long as requests that go ahead arrive as fast as now.
    Endless,
}

impl Wait {
    /// Whether it is expected to be longer than `left`.
    pub(super) fn exceeds(self, left: Span) -> bool {
        match self {
            Self::Unknown => false,
            Self::Expected(wait) => wait > left,
            Self::Endless => true,
        }
    }
}
