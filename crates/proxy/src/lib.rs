//! The proxy process.

pub mod group;
