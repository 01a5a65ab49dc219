//! Load generation and measurement.

fn main() {}
