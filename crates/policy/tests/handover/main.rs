//! The change of primary as a protocol: every interleaving of a small world, breadth first,
//! with the decision of `policy::takeover` and the coordinator's steps around it.
//!
//! `POMELO_MODEL_DEPTH` searches deeper than each test does by itself.
//!
//! There is no time: what takes long may still come first. Only waits are kept that the
//! platform bounds: an accepted order is carried out before the wait for it ends, and
//! an instance is announced before a primary has been told to stop for long. The note of an
//! order lapses only once none can arrive any more. A look sees all instances and the notes in
//! one moment, and a replica receives all of the log or nothing. Proxies see at once what a
//! replica that counts has received, and count every instance as early as they may.

mod cfg;
mod coordinator;
mod doing;
mod findings;
mod guards;
mod happen;
mod look;
mod order;
mod search;
mod show;
mod world;
