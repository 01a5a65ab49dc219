//! The proxy process.

fn main() {}
