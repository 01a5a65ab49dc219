//! Durations, sizes and data rates with units, and times of the monotonic clock.

use std::{fmt, ops, str, time};

use crate::macros;

/// Error from parsing a quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// The number before the unit cannot be parsed, or is too large.
    #[error("expected a whole number before the unit, found {0:?}")]
    Number(String),
    /// The unit is missing or unknown.
    #[error("unknown unit {found:?}, expected one of {expected}")]
    Unit {
        /// The unit in the text.
        found: String,
        /// The accepted units.
        expected: &'static str,
    },
}

fn split(text: &str) -> Result<(u64, &str), UnitError> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let number = number
        .parse()
        .map_err(|_| UnitError::Number(text.to_owned()))?;
    Ok((number, unit.trim()))
}

fn scale(number: u64, factor: u64, text: &str) -> Result<u64, UnitError> {
    number
        .checked_mul(factor)
        .ok_or_else(|| UnitError::Number(text.to_owned()))
}

macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident, $expected:literal, [$($unit:literal = $factor:expr),+ $(,)?]) => {
        macros::value! {
            $(#[$meta])*
            #[derive(Copy, Default, serde_with::DeserializeFromStr, serde_with::SerializeDisplay, schemars::JsonSchema)]
            #[schemars(with = "String")]
            pub struct $name(u64);
        }

        impl str::FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let (number, unit) = split(text)?;
                let factor = match unit {
                    $($unit => $factor,)+
                    _ => {
                        return Err(UnitError::Unit { found: unit.to_owned(), expected: $expected });
                    }
                };
                scale(number, factor, text).map(Self)
            }
        }

        impl fmt::Display for $name {
            /// Writes the quantity in the largest unit that divides it.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let mut best = ("", 0);
                for (unit, factor) in [$(($unit, $factor)),+] {
                    if self.0 % factor == 0 && factor > best.1 && (self.0 > 0 || best.1 == 0) {
                        best = (unit, factor);
                    }
                }
                write!(f, "{}{}", self.0 / best.1, best.0)
            }
        }
    };
}

quantity! {
    /// A duration, stored in microseconds: `250us`, `5ms`, `10s`, `2min`.
    Span, "us, ms, s, min, h", ["us" = 1, "ms" = 1_000, "s" = 1_000_000, "min" = 60_000_000, "h" = 3_600_000_000]
}
quantity! {
    /// A size in bytes: `512B`, `64KB`, `1MB` (powers of 1,024).
    Size, "B, KB, MB, GB", ["B" = 1, "KB" = 1 << 10, "MB" = 1 << 20, "GB" = 1 << 30]
}
quantity! {
    /// A data rate in bytes per second: `500KB/s`.
    Rate, "B/s, KB/s, MB/s", ["B/s" = 1, "KB/s" = 1 << 10, "MB/s" = 1 << 20]
}

impl Span {
    /// A duration of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// A duration of `us` microseconds.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The duration as a `std::time::Duration`.
    pub const fn as_duration(self) -> time::Duration {
        time::Duration::from_micros(self.0)
    }

    /// The duration without `other`, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// `n` times the duration, saturating.
    #[must_use]
    pub const fn times(self, n: u64) -> Self {
        Self(self.0.saturating_mul(n))
    }
}

impl From<time::Duration> for Span {
    fn from(d: time::Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Size {
    /// A size of `n` bytes.
    pub const fn from_bytes(n: u64) -> Self {
        Self(n)
    }

    /// The size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl Rate {
    /// A rate of `n` bytes per second.
    pub const fn from_bytes_per_second(n: u64) -> Self {
        Self(n)
    }

    /// The rate in bytes per second.
    pub const fn as_bytes_per_second(self) -> u64 {
        self.0
    }
}

/// A time on the monotonic clock of one process, in microseconds since it started.
///
/// Times of different processes must not be compared.
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
pub struct Time(u64);

impl Time {
    /// The time `us` microseconds after the process started.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// The time `ms` milliseconds after the process started.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
