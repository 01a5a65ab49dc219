//! The operators' command line: check, compare and apply the fleet configuration, and
//! see what the proxies have in force.

pub mod apply;
pub mod cli;
pub mod diff;
pub mod error;
pub mod explain;
pub mod file;
pub mod pages;
pub mod run;
pub mod status;
