//! The proxy process: accepts callers, routes their requests, and owns the
//! connections to the backend servers.
//!
//! One runtime per thread; each task owns its sockets and its state, and tasks
//! talk by messages.

mod abort;
pub mod admit;
pub mod backend;
mod caller;
pub mod cli;
pub mod config;
pub mod control;
pub mod cx;
mod filter;
pub mod fleet;
pub mod group;
pub mod http;
pub mod member;
pub mod metrics;
pub mod pool;
mod registry;
pub mod relay;
pub mod run;
pub mod share;
pub mod trace;
