//! Service times of a backend server, learned per class and statement shape.

use indexmap::IndexMap;
use model::id;
use model::unit::Span;

/// Hash of a statement's text without its literals; equal shapes cost alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape(pub u64);

/// Most shapes remembered. Load: an application that builds statement texts;
/// harm: memory that grows with every text. A thousand shapes take about 100 KB
/// and cover the statements of a handful of applications.
const MAX_SHAPES: usize = 1_000;

/// Assumed before anything is known: a short statement of a small database.
const FIRST_GUESS: Span = Span::from_millis(5);

/// Weight of a new sample, as a divisor. An eighth follows a slowing server
/// within about ten answers, and one odd answer shifts an estimate by 12 %.
const SAMPLE_DIVISOR: u64 = 8;

/// Step of the running median, as a divisor: 2 % per sample settles within a
/// hundred answers and is not moved by the size of outliers.
const MEDIAN_DIVISOR: u64 = 50;

/// Multiple of the median from which work counts as long. Load: a few reports
/// among many lookups; harm: reports hold every slot while lookups wait. At 4
/// times, jitter of short statements is not taken for long work.
const LONG_FACTOR: u64 = 4;

/// Whether work is short or long for its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Length {
    /// At most a few times the median.
    Short,
    /// Far above the median.
    Long,
}

/// Step of a shape's median, as a divisor; a shape is rarer than all work together.
/// A long shape is known as such after seven answers.
const SHAPE_DIVISOR: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct Known {
    mean: Span,
    median: Span,
}

/// Learned service times.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    known: IndexMap<(id::Class, Shape), Known>,
    median: Span,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            known: IndexMap::new(),
            median: FIRST_GUESS,
        }
    }
}

impl ServiceTimes {
    /// The expected service time; the median for a shape not seen yet.
    pub fn expected(&self, class: &id::Class, shape: Shape) -> Span {
        let key = (class.clone(), shape);
        self.known.get(&key).map_or(self.median, |k| k.mean)
    }

    /// Whether a shape counts as long on this server.
    ///
    /// Judged by its median: a payment that once waited inside the server behind
    /// reports would otherwise be taken for one of them.
    pub fn length(&self, class: &id::Class, shape: Shape) -> Length {
        let key = (class.clone(), shape);
        let median = self.known.get(&key).map_or(self.median, |k| k.median);
        if median > self.median.times(LONG_FACTOR) {
            Length::Long
        } else {
            Length::Short
        }
    }

    /// Median service time over all work.
    pub fn median(&self) -> Span {
        self.median
    }

    /// Records how long an answer took.
    pub fn record(&mut self, class: &id::Class, shape: Shape, took: Span) {
        self.move_median(took);
        let key = (class.clone(), shape);
        if !self.known.contains_key(&key) && self.known.len() >= MAX_SHAPES {
            self.known.swap_remove_index(0);
        }
        let fresh = Known {
            mean: took,
            median: self.median,
        };
        let known = self.known.entry(key).or_insert(fresh);
        let mean = known.mean.as_micros();
        let mean = mean - mean / SAMPLE_DIVISOR + took.as_micros() / SAMPLE_DIVISOR;
        known.mean = Span::from_micros(mean.max(1));
        known.median = toward(known.median, took, SHAPE_DIVISOR);
    }

    fn move_median(&mut self, took: Span) {
        self.median = toward(self.median, took, MEDIAN_DIVISOR);
    }
}

/// One step of a running median towards a sample, whatever its distance.
fn toward(median: Span, sample: Span, divisor: u64) -> Span {
    let now = median.as_micros();
    let step = (now / divisor).max(1);
    let moved = if sample > median {
        now + step
    } else {
        now.saturating_sub(step)
    };
    Span::from_micros(moved.max(1))
}
