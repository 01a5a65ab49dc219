//! Model check of a change of primary: explores every interleaving of a small world, breadth
//! first, with the decision of `policy::takeover` and the coordinator's steps around it.
//!
//! `POMELO_MODEL_DEPTH` searches deeper than each test does by default.
//!
//! There is no time: a slow event may still come first. Only the bounds that the platform
//! guarantees are kept: an accepted order takes effect before the wait for it ends, and an
//! instance is announced before the demote command of a primary is long past. The intent of an
//! order lapses only once the order can no longer arrive. A survey sees all instances and the
//! intents at one moment, and a replica receives the whole log or nothing. Proxies see at once
//! what an eligible replica has received, and make every instance eligible as early as they
//! may.

mod cfg;
mod coordinator;
mod counterexamples;
mod display;
mod guards;
mod order;
mod search;
mod survey;
mod task;
mod transition;
mod world;
