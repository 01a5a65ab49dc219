//! Database groups: instances that speak the PostgreSQL protocol over an
//! in-memory database and replicate their statement log asynchronously.

mod database;
mod encode;
mod exchange;
mod execute;
mod knobs;
mod listener;
mod profile;
pub mod record;
mod replicate;
mod server;
mod session;
mod slot;
mod sql;
mod start;
mod state;
mod wire;

pub(crate) use knobs::Knobs;
pub(crate) use listener::{Listener, bind};
pub use record::{Record, Statement};
pub use replicate::Role;
pub use server::Status;
pub(crate) use server::{Peers, Server};
