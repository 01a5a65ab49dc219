//! The operators' command line.

fn main() {}
