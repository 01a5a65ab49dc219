//! Small stand-ins for what surrounds the fleet: database groups, the platform's
//! key-value service and VM list, and the links between data centres.
//!
//! Tests and the demo embed a [`Fleet`]; it runs on a thread of its own and is
//! steered through a [`Control`].

pub mod admin;
mod control;
mod fleet;
pub mod group;
pub mod link;
pub mod managed;
pub mod platform;
mod relay;
pub mod spec;

pub use control::{Control, ControlError};
pub use fleet::{Addresses, Fleet, Placed, StartError};
pub use spec::Spec;
