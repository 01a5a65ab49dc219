//! Service times of a backend server, learned per class and statement shape.

use indexmap::IndexMap;
use model::id;
use model::unit::Span;

/// Hash of a statement's text without its literals; statements of equal shape have similar
/// costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape(pub u64);

/// Maximum number of shapes kept. Otherwise an application that generates statement texts would
/// make memory grow with every text. A thousand shapes take about 100 KB and cover the
/// statements of a handful of applications.
const MAX_SHAPES: usize = 1_000;

/// Assumed service time before any response: a short statement of a small database.
const INITIAL_ESTIMATE: Span = Span::from_millis(5);

/// Weight of a new sample, as a divisor. An eighth follows a slowing server within about ten
/// responses, and one outlier shifts an estimate by 12 %.
const SAMPLE_DIVISOR: u64 = 8;

/// Step of the running median, as a divisor: 2 % per sample settles within a hundred responses
/// and does not depend on the size of outliers.
const MEDIAN_DIVISOR: u64 = 50;

/// Multiple of the median from which work counts as long. With a few reports among many
/// lookups, reports would otherwise hold every slot while lookups wait. At a factor of 4,
/// jitter of short statements is not mistaken for long work.
const LONG_FACTOR: u64 = 4;

/// Whether work is short or long relative to its server's median.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Length {
    /// At most a few times the median.
    Short,
    /// Far above the median.
    Long,
}

/// Step of a shape's median, as a divisor; larger than that of all work, since one shape is
/// rarer. A long shape is recognised after seven responses.
const SHAPE_DIVISOR: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: Span,
    median: Span,
}

/// Service times learned from responses.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    estimates: IndexMap<(id::Class, Shape), Estimate>,
    median: Span,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            estimates: IndexMap::new(),
            median: INITIAL_ESTIMATE,
        }
    }
}

impl ServiceTimes {
    /// The expected service time; the overall median for an unknown shape.
    pub fn expected(&self, class: &id::Class, shape: Shape) -> Span {
        let key = (class.clone(), shape);
        self.estimates.get(&key).map_or(self.median, |k| k.mean)
    }

    /// Whether a shape counts as long on this server.
    ///
    /// Uses the shape's median: a payment that once waited inside the server behind reports
    /// must not be classified as long.
    pub fn length(&self, class: &id::Class, shape: Shape) -> Length {
        let key = (class.clone(), shape);
        let median = self.estimates.get(&key).map_or(self.median, |k| k.median);
        if median > self.median.times(LONG_FACTOR) {
            Length::Long
        } else {
            Length::Short
        }
    }

    /// Median service time of all work.
    pub fn median(&self) -> Span {
        self.median
    }

    /// Records the time that a response took.
    pub fn record(&mut self, class: &id::Class, shape: Shape, elapsed: Span) {
        self.update_median(elapsed);
        let key = (class.clone(), shape);
        if !self.estimates.contains_key(&key) && self.estimates.len() >= MAX_SHAPES {
            self.estimates.swap_remove_index(0);
        }
        let new = Estimate {
            mean: elapsed,
            median: self.median,
        };
        let estimate = self.estimates.entry(key).or_insert(new);
        let mean = estimate.mean.as_micros();
        let mean = mean - mean / SAMPLE_DIVISOR + elapsed.as_micros() / SAMPLE_DIVISOR;
        estimate.mean = Span::from_micros(mean.max(1));
        estimate.median = step_towards(estimate.median, elapsed, SHAPE_DIVISOR);
    }

    fn update_median(&mut self, elapsed: Span) {
        self.median = step_towards(self.median, elapsed, MEDIAN_DIVISOR);
    }
}

/// Moves a running median one step towards a sample, regardless of the sample's distance.
fn step_towards(median: Span, sample: Span, divisor: u64) -> Span {
    let now = median.as_micros();
    let step = (now / divisor).max(1);
    let moved = if sample > median {
        now + step
    } else {
        now.saturating_sub(step)
    };
    Span::from_micros(moved.max(1))
}
