//! Stand-ins for the platform and for database groups.

fn main() {}
