//! The proxy process on the operators' platform.
//!
//! A session runs its caller's statements on connections that it checks out from the task of
//! their group. The directory mirrors the platform's store. One proxy at a time is the
//! coordinator and changes primaries. The `policy` crate makes the decisions.

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
pub mod quota;
pub mod registration;
pub mod relay;
pub mod run;
pub mod running;
pub mod session;
pub mod stop;
pub mod stream;
