//! When a proxy runs as a candidate for the coordinator role while nobody holds it.
//!
//! The coordinator of hundreds of proxies stops. If each ran after a random delay, half of the
//! fleet would have requested the role before it learns, after some hundred milliseconds, that
//! the role is taken; each would pay for a lease, a claim that fails, and the end of the lease.
//! So proxies run one after the other, in an order that all of them know.

use model::id::ProxyId;
use model::unit::Span;
use rand::Rng;

use crate::rank;

/// Key of this ranking of the proxies; other rankings use the group.
const RANKED_FOR: &str = "coordinator";

/// Time that each proxy leaves to the one before it.
const STEP: Span = Span::from_millis(30);

/// Longest delay for the proxies before this one: if the first ones cannot reach the store, the
/// others do not wait for each of them in turn.
const MAX_DELAY: Span = Span::from_millis(600);

/// Delay before `me` runs as a candidate; `live` are the proxies that it knows, with or without
/// itself.
pub fn candidacy_delay<'a>(
    me: &'a ProxyId,
    live: impl Iterator<Item = &'a ProxyId>,
    rng: &mut impl Rng,
) -> Span {
    let mut ranked: Vec<_> = live.filter(|id| *id != me).chain([me]).collect();
    rank::sort(RANKED_FOR, &mut ranked);
    let before = ranked.iter().take_while(|id| **id != me).count();
    let delay = STEP.times(before as u64).min(MAX_DELAY);
    let jitter = rng.random_range(0..=STEP.as_micros());
    delay + Span::from_micros(jitter)
}
