//! W3C trace context: which request a span of work belongs to.

use std::{fmt, str};

/// Name of the HTTP header and SQL mark that carry a context.
pub const HEADER: &str = "traceparent";

/// Why a text is not a trace context.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected VERSION-TRACE-SPAN-FLAGS in hexadecimal, found {0:?}")]
pub struct ContextError(pub String);

/// A request's trace and the span that caused the work at hand.
///
/// Invariant: neither id is zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Context {
    /// The whole request, the same on every hop.
    pub trace: u128,
    /// The span that is the parent of the next one.
    pub span: u64,
    /// Whether the caller wants the trace recorded.
    pub sampled: bool,
}

impl Context {
    /// A context; zero ids, which mean "none", are replaced by one.
    pub fn new(trace: u128, span: u64, sampled: bool) -> Self {
        Self {
            trace: trace.max(1),
            span: span.max(1),
            sampled,
        }
    }

    /// The same trace under another span.
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
        let bad = || ContextError(text.chars().take(64).collect());
        let parts: Vec<_> = text.split('-').collect();
        let [version, trace, span, flags, rest @ ..] = parts.as_slice() else {
            return Err(bad());
        };
        let lengths = [version.len(), trace.len(), span.len(), flags.len()];
        let newer = *version != "00";
        if lengths != [2, 32, 16, 2] || *version == "ff" || (!newer && !rest.is_empty()) {
            return Err(bad());
        }
        let lower = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if !parts[..4].concat().chars().all(lower) {
            return Err(bad());
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_| bad())?;
        let span = u64::from_str_radix(span, 16).map_err(|_| bad())?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| bad())?;
        if trace == 0 || span == 0 {
            return Err(bad());
        }
        Ok(Self::new(trace, span, flags & 1 == 1))
    }
}
