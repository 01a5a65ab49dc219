//! Changes of primary, confirmations and reads of the real controllers, with small fakes
//! of the database group, the store, the network and the callers around them.

mod fake;
mod model;
mod scenarios;
