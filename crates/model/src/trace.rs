//! W3C trace context: the request that a tracing span belongs to.

use std::{fmt, str};

/// Name of the HTTP header and of the SQL mark that contain a context.
pub const HEADER: &str = "traceparent";

/// Error from parsing a trace context.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected VERSION-TRACE-SPAN-FLAGS in hexadecimal, found {0:?}")]
pub struct ContextError(pub String);

/// Trace of a request and the span that caused the current work.
///
/// Invariant: neither id is zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Context {
    /// Trace id of the whole request, the same on every hop.
    pub trace: u128,
    /// Id of the parent span of the next span.
    pub span: u64,
    /// Whether the caller requests that the trace is recorded.
    pub sampled: bool,
}

impl Context {
    /// Creates a context; ids of 0, which mean "none", are replaced by 1.
    pub fn new(trace: u128, span: u64, sampled: bool) -> Self {
        Self {
            trace: trace.max(1),
            span: span.max(1),
            sampled,
        }
    }

    /// Context of the same trace with another span.
    #[must_use]
    pub fn child(self, span: u64) -> Self {
        Self::new(self.trace, span, self.sampled)
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

impl str::FromStr for Context {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ContextError(text.chars().take(64).collect());
        let parts: Vec<_> = text.split('-').collect();
        let [version, trace, span, flags, rest @ ..] = parts.as_slice() else {
            return Err(invalid());
        };
        let lengths = [version.len(), trace.len(), span.len(), flags.len()];
        let later_version = *version != "00";
        if lengths != [2, 32, 16, 2] || *version == "ff" || (!later_version && !rest.is_empty()) {
            return Err(invalid());
        }
        let lower_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if !parts[..4].concat().chars().all(lower_hex) {
            return Err(invalid());
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_| invalid())?;
        let span = u64::from_str_radix(span, 16).map_err(|_| invalid())?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| invalid())?;
        if trace == 0 || span == 0 {
            return Err(invalid());
        }
        Ok(Self::new(trace, span, flags & 1 == 1))
    }
}
