//! When a proxy stands for the coordinator's duty that nobody holds.
//!
//! Load: the coordinator of hundreds of proxies goes. Harm when each stands after a random
//! pause: the news that the duty is taken need some hundred milliseconds, by then half of
//! the fleet has asked for it, and each pays for a lease, a claim that fails and the end of
//! the lease. So proxies stand one after the other, in an order that all know.

use model::id::ProxyId;
use model::unit::Span;
use rand::Rng;

use crate::rank;

/// What proxies are ranked for here, beside the groups.
const RANKED_FOR: &str = "coordinator";

/// Time that each proxy leaves to the one before it.
const STEP: Span = Span::from_millis(30);

/// Longest wait for those before it: where the first ones cannot reach the store, they are
/// not waited for one by one.
const LONGEST: Span = Span::from_millis(600);

/// How long `me` waits before it stands; `live` are the proxies that it knows, itself or not.
pub fn candidacy_delay<'a>(
    me: &'a ProxyId,
    live: impl Iterator<Item = &'a ProxyId>,
    rng: &mut impl Rng,
) -> Span {
    let mut ranked: Vec<_> = live.filter(|id| *id != me).chain([me]).collect();
    rank::sort(RANKED_FOR, &mut ranked);
    let before = ranked.iter().take_while(|id| **id != me).count();
    let wait = STEP.times(before as u64).min(LONGEST);
    let jitter = rng.random_range(0..=STEP.as_micros());
    wait + Span::from_micros(jitter)
}
