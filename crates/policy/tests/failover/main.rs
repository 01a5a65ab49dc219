//! Tests of the real controllers: changes of primary, confirmations and reads. The database
//! group, the store, the network and the callers are small fakes.

mod fake;
mod model;
mod scenarios;
