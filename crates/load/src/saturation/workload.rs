//! Who asks for what and when, in each scenario.

use model::unit::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Slots of each server.
pub const SLOTS: u32 = 3;

/// Connections of each server.
pub const CONNECTIONS: u32 = 20;

/// Delay one way between a proxy and a server.
pub const LINK: Span = Span::from_micros(500);

/// How long callers wait for an answer.
pub const DEADLINE: Span = Span::from_millis(1_000);

/// Mean service time of a short statement.
pub const SHORT: Span = Span::from_millis(5);

/// Service time of a long one.
pub const LONG: Span = Span::from_millis(100);

/// How much slower the slow server is.
pub const SLOW: u64 = 20;

/// A request class of the workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Urgent, rare.
    Payment,
    /// Urgent, more often.
    Lookup,
    /// The rest.
    Listing,
}

impl Kind {
    /// Every kind, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Payment, Self::Lookup, Self::Listing];

    /// Name of the class.
    pub fn name(self) -> &'static str {
        match self {
            Self::Payment => "payment",
            Self::Lookup => "lookup",
            Self::Listing => "listing",
        }
    }

    /// Weight of the class.
    pub fn weight(self) -> u32 {
        match self {
            Self::Payment => 8,
            Self::Lookup => 4,
            Self::Listing => 1,
        }
    }
}

/// One request of the workload.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Time,
    /// Which caller sends it.
    pub caller: usize,
    /// Its class.
    pub kind: Kind,
    /// Whether it is a long statement.
    pub long: bool,
    /// Time that a server spends on it.
    pub service: Span,
}

impl Arrival {
    /// When its caller stops waiting.
    pub fn deadline(&self) -> Time {
        self.at + DEADLINE
    }
}

/// A situation that the policy is made for.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Short name.
    pub name: &'static str,
    /// Load of each caller in order, as a part of the servers' capacity.
    pub demand: Vec<f64>,
    /// Part of the requests that are long.
    pub long: f64,
    /// Servers that share the requests.
    pub servers: usize,
    /// Server that is slow, if one is.
    pub slow: Option<usize>,
    /// Bursts in which every caller sends ten times as much.
    pub bursts: bool,
}

/// Part of the requests that are listings. Payments are 5 % and lookups 15 %, so that
/// the urgent classes ask for 40 % of the capacity when everything asks for twice.
const LISTINGS: f64 = 0.8;

/// Factor of a burst.
const BURST: f64 = 10.0;

/// A burst begins this often.
const BURST_EVERY: Span = Span::from_millis(2_000);

/// How long a burst lasts.
const BURST_FOR: Span = Span::from_millis(100);

/// Callers of the scenarios that have equal ones.
const CALLERS: usize = 10;

impl Scenario {
    fn even(name: &'static str, load: f64) -> Self {
        Self {
            name,
            demand: vec![load / CALLERS as f64; CALLERS],
            long: 0.0,
            servers: 1,
            slow: None,
            bursts: false,
        }
    }

    /// A tenth of the capacity: the latency that nothing delays.
    pub fn unloaded() -> Self {
        Self::even("unloaded", 0.1)
    }

    /// Ten times the usual load for 100 ms, every two seconds.
    pub fn bursts() -> Self {
        Self {
            bursts: true,
            ..Self::even("bursts", 0.4)
        }
    }

    /// Twenty callers whose demands follow Zipf's law, half as much again as fits.
    pub fn skewed() -> Self {
        let shares: Vec<f64> = (1..=20).map(|n| f64::from(n).powf(-1.1)).collect();
        let sum: f64 = shares.iter().sum();
        Self {
            demand: shares.iter().map(|s| 1.5 * s / sum).collect(),
            ..Self::even("skewed", 1.5)
        }
    }

    /// Three servers at half load, one of them twenty times slower.
    pub fn slow_server() -> Self {
        Self {
            servers: 3,
            slow: Some(2),
            ..Self::even("slow-server", 0.5)
        }
    }

    /// One request in twenty takes twenty times as long.
    pub fn mixed() -> Self {
        Self {
            long: 0.05,
            ..Self::even("mixed", 0.9)
        }
    }

    /// Twice what the server can do, from equal callers.
    pub fn saturated() -> Self {
        Self::even("saturated", 2.0)
    }

    /// Nine callers with half of the capacity among them, and a tenth that asks for
    /// ten times its part.
    pub fn noisy() -> Self {
        let mut scenario = Self::even("noisy", 0.55);
        scenario.demand[CALLERS - 1] = 1.0;
        scenario
    }

    /// The same without the noisy caller's excess.
    pub fn quiet() -> Self {
        Self::even("quiet", 0.55)
    }

    /// Mean service time over short and long requests, in microseconds.
    fn mean_service(&self) -> f64 {
        let (short, long) = (SHORT.as_micros() as f64, LONG.as_micros() as f64);
        short * (1.0 - self.long) + long * self.long
    }

    /// Requests per second that the servers can do when none is slow.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(SLOTS) * self.servers as f64;
        slots * 1e6 / self.mean_service()
    }

    fn rate(&self, caller: usize, at: Time) -> f64 {
        let rate = self.demand[caller] * self.capacity() / 1e6;
        let phase = at.as_micros() % BURST_EVERY.as_micros();
        if self.bursts && phase < BURST_FOR.as_micros() {
            rate * BURST
        } else {
            rate
        }
    }

    /// The arrivals of `length`, in order; equal seeds give equal arrivals.
    pub fn arrivals(&self, length: Span, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for caller in 0..self.demand.len() {
            let mut at = Time::default();
            loop {
                // Steps of a Poisson process; short enough against a burst's length.
                let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
                let gap = -uniform.ln() / self.rate(caller, at);
                at = at + Span::from_micros(gap as u64);
                if at.as_micros() >= length.as_micros() {
                    break;
                }
                arrivals.push(self.arrival(at, caller, &mut rng));
            }
        }
        arrivals.sort_by_key(|a| a.at);
        arrivals
    }

    fn arrival(&self, at: Time, caller: usize, rng: &mut SmallRng) -> Arrival {
        let kind = match rng.random_range(0..20) {
            0 => Kind::Payment,
            1..=3 => Kind::Lookup,
            _ => Kind::Listing,
        };
        // Long statements are listings: reports, not payments.
        let long = kind == Kind::Listing && rng.random_bool(self.long / LISTINGS);
        let mean = if long { LONG } else { SHORT }.as_micros();
        let service = rng.random_range(mean * 6 / 10..=mean * 14 / 10);
        Arrival {
            at,
            caller,
            kind,
            long,
            service: Span::from_micros(service),
        }
    }
}
