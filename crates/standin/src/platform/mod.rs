//! The platform: its key-value service and its VM list.

mod http;
mod json;
pub(crate) mod kv;
mod service;

pub(crate) use http::serve;
pub(crate) use service::Service;
pub use service::{Counts, Fault, Vm, VmState};
