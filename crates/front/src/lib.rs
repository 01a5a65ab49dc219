//! The proxy process on the operators' platform.
//!
//! A session runs its caller's statements on connections that it checks out from the task of
//! their group. The directory mirrors the platform's store. One proxy at a time is the
//! coordinator and changes primaries. The `policy` crate makes the decisions.

pub mod changes;
pub mod cli;
pub mod clock;
pub mod concern;
pub mod config;
pub mod conn;
pub mod coordinator;
pub mod cx;
pub mod directory;
pub mod feed;
pub mod group;
pub mod lend;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod pages;
pub mod place;
pub mod relay;
pub mod run;
pub mod session;
pub mod stop;
pub mod stream;
