//! Common types of the fleet: identifiers, units, log positions, session tokens, and the
//! fleet configuration with its checks.
//!
//! This crate performs no input or output and reads no clock.

mod macros;

pub mod config;
pub mod customer;
pub mod document;
pub mod entry;
pub mod hash;
pub mod id;
pub mod location;
pub mod position;
pub mod route;
pub mod settings;
pub mod source;
pub mod statement;
pub mod token;
pub mod trace;
pub mod unit;
pub mod vm;
