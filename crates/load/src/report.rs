//! Figures of a run, as a table for people and JSON for programs.

use std::fmt;

use model::unit::Span;

/// Largest span that a histogram tells apart from longer ones, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Latencies of one kind of request.
#[derive(Clone, Debug)]
pub struct Latency(hdrhistogram::Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        let histogram = hdrhistogram::Histogram::new_with_max(MAX_MICROS, 3);
        Self(histogram.expect("three digits up to ten minutes are valid bounds"))
    }
}

impl Latency {
    /// Adds one measurement.
    pub fn record(&mut self, span: Span) {
        self.0.saturating_record(span.as_micros());
    }

    /// Adds every measurement of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.0
            .add(&other.0)
            .expect("both histograms have the same bounds");
    }

    /// Number of measurements.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The span that `share` (0 to 1) of the measurements do not exceed.
    pub fn quantile(&self, share: f64) -> Span {
        Span::from_micros(self.0.value_at_quantile(share))
    }

    /// Number of measurements of at least `span`.
    pub fn at_least(&self, span: Span) -> u64 {
        self.0.count_between(span.as_micros(), u64::MAX)
    }

    /// The longest span.
    pub fn max(&self) -> Span {
        Span::from_micros(self.0.max())
    }
}

/// A table with a title, column names and rows of cells.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Table {
    /// What the table shows.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Cells, each row as long as `columns`.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|&c| c.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = impl fmt::Display>) {
        let cells = cells.into_iter().map(|cell| cell.to_string()).collect();
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.columns.iter().map(String::len).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        let widths = self.widths();
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            for (at, (cell, width)) in row.iter().zip(&widths).enumerate() {
                // The first column holds names, the others figures.
                if at == 0 {
                    write!(f, "  {cell:<width$}")?;
                } else {
                    write!(f, "  {cell:>width$}")?;
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Writes a span in milliseconds with two decimals.
pub fn millis(span: Span) -> String {
    #[allow(clippy::cast_precision_loss)]
    let ms = span.as_micros() as f64 / 1_000.0;
    format!("{ms:.2} ms")
}
