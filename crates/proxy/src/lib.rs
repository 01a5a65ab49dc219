//! The proxy process.

pub mod admit;
pub mod group;
