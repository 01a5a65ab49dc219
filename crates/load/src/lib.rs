//! Load generation and measurement against a fleet, real or embedded.

pub mod bed;
pub mod cli;
pub mod client;
pub mod demo;
pub mod ledger;
pub mod report;
pub mod saturation;
pub mod workload;
