//! Requests between proxies: HTTP with MessagePack bodies, authenticated in both
//! directions by the fleet's secret.
//!
//! Messages stay readable while proxies of two versions run side by side: they are
//! written as maps with named fields, unknown fields are ignored, and a field added
//! later carries `#[serde(default)]`.

pub mod auth;
pub mod client;
pub mod codec;
pub mod server;
pub mod status;

pub use client::Client;
