//! The proxy process on the operators' platform.
//!
//! Sessions carry statements out on connections that a task for each group lends; the
//! directory follows the platform's store; one proxy at a time coordinates changes of
//! primary. Decisions come from the `policy` crate.

pub mod checkout;
pub mod cli;
pub mod clock;
pub mod config;
pub mod conn;
pub mod coordinator;
pub mod cx;
pub mod directory;
pub mod distance;
pub mod feed;
pub mod group;
pub mod health;
pub mod logs;
pub mod metrics;
pub mod pages;
pub mod pending_changes;
pub mod registration;
pub mod relay;
pub mod run;
pub mod session;
pub mod stop;
pub mod stream;
