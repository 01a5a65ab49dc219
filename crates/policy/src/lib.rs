//! Decisions of the fleet, free of sockets and clocks.

pub mod lead;
pub mod route;
pub mod status;
