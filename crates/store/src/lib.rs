//! Client of the platform's key-value service (etcd v3's HTTP/JSON gateway) and
//! of its VM list.
//!
//! A client belongs to one runtime. Every call has a time limit and is counted in
//! [`calls::Calls`], since the platform bills and limits calls.

pub mod calls;
pub mod client;
pub mod config;
pub mod error;
pub mod kv;
pub mod lease;
pub mod mirror;
pub mod vms;
pub mod watch;

mod wire;

pub use client::Client;
pub use error::Error;
