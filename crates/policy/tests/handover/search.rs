//! Breadth-first search, so that the first counterexample found is a shortest one.

use std::hash::{BuildHasherDefault, Hasher};

use crate::cfg::{Budget, Cfg, Guard};
use crate::world::{Event, Violation, World};

/// Environment variable: search depth, if greater than that of each test.
const DEPTH: &str = "POMELO_MODEL_DEPTH";

/// Worlds in the order in which they were reached.
type Worlds = indexmap::IndexSet<World, BuildHasherDefault<FastHasher>>;

/// A fast hasher; no adversary chooses the worlds, so collisions need no protection.
#[derive(Default)]
pub(crate) struct FastHasher(u64);

impl Hasher for FastHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u8(*byte);
        }
    }

    fn write_u8(&mut self, n: u8) {
        self.write_u64(u64::from(n));
    }

    fn write_u64(&mut self, n: u64) {
        self.0 = (self.0.rotate_left(5) ^ n).wrapping_mul(0x517c_c1b7_2722_0a95);
    }

    fn write_isize(&mut self, n: isize) {
        self.write_u64(n.cast_unsigned() as u64);
    }

    fn finish(&self) -> u64 {
        self.0 ^ (self.0 >> 32)
    }
}

/// The result of a search.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) states: usize,
    /// Depth after which nothing new was reached, or the limit.
    pub(crate) depth: usize,
    /// Whether every reachable state was visited.
    pub(crate) complete: bool,
    pub(crate) found: Option<(Violation, Vec<String>)>,
}

fn depth(cfg: &Cfg) -> usize {
    let more = std::env::var(DEPTH).ok().and_then(|n| n.parse().ok());
    cfg.depth.max(more.unwrap_or_default())
}

/// Visits all states that are reachable within the depth.
pub(crate) fn search(cfg: &Cfg) -> Outcome {
    let depth = depth(cfg);
    let mut seen = Worlds::from_iter([World::new(cfg)]);
    let mut parents: Vec<Option<(usize, Event)>> = vec![None];
    let (mut begin, mut end) = (0, 1);
    for at_depth in 0..depth {
        for at in begin..end {
            let world = seen[at].clone();
            for event in world.events(cfg) {
                let mut next = world.clone();
                let result = next.apply(cfg, event);
                let (to, new) = seen.insert_full(next);
                if new {
                    parents.push(Some((at, event)));
                }
                if let Err(violation) = result {
                    let mut steps = trace(&seen, &parents, at);
                    steps.push(line(steps.len(), event, &seen[to]));
                    return Outcome {
                        states: seen.len(),
                        depth: at_depth + 1,
                        complete: false,
                        found: Some((violation, steps)),
                    };
                }
            }
        }
        (begin, end) = (end, seen.len());
        if begin == end {
            return Outcome {
                states: end,
                depth: at_depth,
                complete: true,
                found: None,
            };
        }
    }
    Outcome {
        states: end,
        depth,
        complete: false,
        found: None,
    }
}

fn line(at: usize, event: Event, world: &World) -> String {
    format!("{:>2}. {:<62} {world}", at + 1, event.to_string())
}

fn trace(seen: &Worlds, parents: &[Option<(usize, Event)>], at: usize) -> Vec<String> {
    let mut events = Vec::new();
    let mut at = at;
    while let Some((before, event)) = parents[at] {
        events.push((event, at));
        at = before;
    }
    let steps = events.iter().rev().enumerate();
    steps
        .map(|(n, (event, at))| line(n, *event, &seen[*at]))
        .collect()
}

impl Outcome {
    /// The result as text.
    fn report(&self, name: &str) -> String {
        let Self { states, depth, .. } = self;
        let all = if self.complete { ", complete" } else { "" };
        let mut lines = vec![format!("{name}: {states} states{all}, depth {depth}")];
        if let Some((violation, steps)) = &self.found {
            lines.extend(steps.iter().cloned());
            lines.push(format!("    {violation:?}"));
        }
        lines.join("\n")
    }
}

/// Asserts that no event violates an invariant.
pub(crate) fn holds(name: &str, cfg: &Cfg) {
    let outcome = search(cfg);
    let report = outcome.report(name);
    assert!(outcome.found.is_none(), "{report}");
    println!("{report}");
}

/// Asserts that the search finds a violation.
fn finds(name: &str, cfg: &Cfg) {
    let outcome = search(cfg);
    let report = outcome.report(name);
    assert!(outcome.found.is_some(), "{report}");
    println!("{report}");
}

/// Asserts that no violation is found with all of these guards, and that one is found
/// without any one of them.
pub(crate) fn requires(name: &str, guards: &[Guard], cfg: &Cfg) {
    for guard in guards {
        let off = Some(*guard);
        let without = Cfg { off, ..cfg.clone() };
        finds(&format!("{name}, without {guard:?}"), &without);
    }
    holds(name, cfg);
}

/// Asserts that from every idle state, one more change and one check for paused replicas
/// can make the group serve again.
pub(crate) fn recovers(name: &str, cfg: &Cfg) {
    let budget = Budget {
        changes: 1,
        orders: 1,
        repairs: 1,
        ..Budget::default()
    };
    let (seen, ..) = visit(cfg, &World::new(cfg), |_| false);
    let idle: Worlds = seen
        .iter()
        .filter(|w| w.is_idle() && !w.is_healthy())
        .map(|w| w.with_budget(budget))
        .collect();
    println!("{name}: {} states, {} to recover", seen.len(), idle.len());
    for world in idle {
        let (tried, healthy) = visit(cfg, &world, World::is_healthy);
        assert!(
            healthy,
            "{name}: {} states, none of them healthy: {world}",
            tried.len()
        );
    }
}

/// All reachable states, until one satisfies `found`.
fn visit(cfg: &Cfg, from: &World, found: impl Fn(&World) -> bool) -> (Worlds, bool) {
    let mut seen = Worlds::from_iter([from.clone()]);
    let (mut begin, mut end) = (0, 1);
    for _ in 0..depth(cfg) {
        for at in begin..end {
            let world = seen[at].clone();
            for event in world.events(cfg) {
                let mut next = world.clone();
                // Violations on the way are checked by other searches.
                if next.apply(cfg, event).is_err() {
                    continue;
                }
                if found(&next) {
                    return (seen, true);
                }
                seen.insert(next);
            }
        }
        (begin, end) = (end, seen.len());
    }
    (seen, false)
}
