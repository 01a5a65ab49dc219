//! The proxy process.
