//! Terms and log positions of a database group.

use std::{fmt, str};

use crate::macros;

macros::number! {
    /// Number of the period in which one primary leads; each promotion takes a higher one.
    Term
}
macros::number! {
    /// Position in a group's log, counted in committed records.
    Position
}
macros::number! {
    /// Revision of the configuration: the modification revision of its key in the store.
    Revision
}

/// Error from parsing a point or a history.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected TERM:POSITION, found {0:?}")]
pub struct PointError(pub String);

/// A log position with the term that wrote it.
///
/// Points are ordered by term first: a point of a later term is never the earlier one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Point {
    /// Term under which the record was written.
    pub term: Term,
    /// Position of the record.
    pub position: Position,
}

impl Point {
    /// Creates a point from plain numbers.
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: Term(term),
            position: Position(position),
        }
    }
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.position)
    }
}

impl str::FromStr for Point {
    type Err = PointError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || PointError(text.to_owned());
        let (term, position) = text.split_once(':').ok_or_else(invalid)?;
        Ok(Self {
            term: term.parse().map_err(|_| invalid())?,
            position: position.parse().map_err(|_| invalid())?,
        })
    }
}

/// Whether a log holds a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// The record is in the log.
    Held,
    /// The log is still too short; it may receive the record later.
    NotYet,
    /// The log diverged before the record: a promotion discarded it.
    Forked,
}

/// Terms that wrote a log, each with the last position before its start.
///
/// Invariant: terms and start positions ascend; the first start is 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct History {
    /// `Point { term, position }` means that `term` starts after `position`.
    starts: Vec<Point>,
}

impl History {
    /// Creates a history from the starts of its terms; `None` if they do not ascend.
    pub fn new(starts: Vec<Point>) -> Option<Self> {
        let ascending = starts
            .windows(2)
            .all(|w| w[0].term < w[1].term && w[0].position <= w[1].position);
        ascending.then_some(Self { starts })
    }

    /// Starts of the terms, oldest first.
    pub fn starts(&self) -> &[Point] {
        &self.starts
    }

    /// The newest term, or term 0 for an empty log.
    pub fn term(&self) -> Term {
        self.starts.last().map_or(Term(0), |p| p.term)
    }

    /// Adds a term that starts after `position`; ignores a term that is not newer.
    pub fn begin(&mut self, term: Term, position: Position) {
        if term > self.term() {
            self.starts.push(Point { term, position });
        }
    }

    /// Whether a log with this history that ends at `end` holds `point`.
    pub fn covers(&self, point: Point, end: Position) -> Coverage {
        if point.position.0 == 0 {
            return Coverage::Held;
        }
        if point.term > self.term() {
            return Coverage::NotYet;
        }
        let index = self.starts.iter().position(|s| s.term == point.term);
        let Some(index) = index else {
            return Coverage::Forked;
        };
        let discarded = self
            .starts
            .get(index + 1)
            .is_some_and(|next| point.position > next.position);
        match (discarded, point.position <= end) {
            (true, _) => Coverage::Forked,
            (false, true) => Coverage::Held,
            (false, false) => Coverage::NotYet,
        }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, start) in self.starts.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{start}")?;
        }
        Ok(())
    }
}

impl str::FromStr for History {
    type Err = PointError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let starts = text
            .split(',')
            .filter(|part| !part.is_empty())
            .map(str::parse)
            .collect::<Result<Vec<_>, _>>()?;
        Self::new(starts).ok_or_else(|| PointError(text.to_owned()))
    }
}
