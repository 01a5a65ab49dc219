//! Load generation and measurement against a fleet, real or embedded.

pub mod bed;
pub mod cli;
pub mod client;
pub mod decisions;
pub mod demo;
pub mod deployment;
pub mod failover;
pub mod latency;
pub mod ledger;
pub mod placement;
pub mod read_share;
pub mod report;
pub mod saturation;
pub mod slopes;
pub mod workload;
