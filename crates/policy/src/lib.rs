//! Decisions of the fleet, free of sockets and clocks.

pub mod admit;
pub mod lead;
pub mod queue;
pub mod route;
pub mod service;
pub mod share;
pub mod slots;
pub mod status;
