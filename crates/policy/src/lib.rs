//! Decisions of the fleet, free of sockets and clocks.

pub mod admit;
pub mod adopt;
pub mod confirm;
pub mod decision;
pub mod fresh;
pub mod group;
pub mod lead;
pub mod load;
pub mod member;
pub mod message;
pub mod node;
pub mod outcome;
pub mod place;
pub mod poll;
pub mod promote;
pub mod queue;
pub mod rank;
pub mod read;
pub mod retry;
pub mod route;
pub mod service;
pub mod share;
pub mod slots;
pub mod spec;
pub mod status;
pub mod suspect;
