//! PostgreSQL wire protocol, both sides: framing, start-up, authentication,
//! error reports, statement classification and request marks.
//!
//! Messages are forwarded as the bytes in which they came; only those that a
//! proxy must understand are decoded, by the `messages` of `pgwire`.

pub mod classify;
pub mod frame;
pub mod functions;
pub mod marks;
pub mod report;
mod scan;
pub mod scram;
pub mod startup;
pub mod tag;
pub mod wire;
