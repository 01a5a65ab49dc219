//! The filter chain: what every request passes before it is routed.
//!
//! Each filter is a plain function. It completes the request from what the session
//! and the configuration say, or refuses it; a refused request did not run.

use std::time::Instant;

use model::settings::Settings;
use model::unit::Span;
use pg::classify::{Control, Effect, Refusal};
use pg::marks::Marks;
use pg::report::{self, Report};
use policy::outcome::Kind;
use policy::service_time::Shape;

/// What is known of a request before it is routed.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Effect of all its statements on the data.
    pub(crate) effect: Effect,
    /// Whether it begins a transaction, and if so whether a read-only one.
    pub(crate) begins: Option<bool>,
    /// Whether it may end the transaction.
    pub(crate) ends: bool,
    /// Whether it may leave something behind on its connection.
    pub(crate) taints: bool,
    /// Whether it calls a function by the protocol's own message.
    pub(crate) function_call: bool,
    /// Why it cannot run on a shared connection.
    pub(crate) refusal: Option<Refusal>,
    /// Its marks; after the chain, those of the session where it has none.
    pub(crate) marks: Marks,
    /// Shape of its statements, by which its cost is learned.
    pub(crate) shape: Shape,
    /// When it arrived.
    pub(crate) arrived: Instant,
}

impl Profile {
    /// A request of which nothing is known yet.
    pub(crate) fn new(arrived: Instant) -> Self {
        Self {
            effect: Effect::Read,
            begins: None,
            ends: false,
            taints: false,
            function_call: false,
            refusal: None,
            marks: Marks::default(),
            shape: Shape::default(),
            arrived,
        }
    }

    /// Adds one more statement that will run.
    pub(crate) fn add(&mut self, statement: &pg::classify::Statement) {
        self.effect = self.effect.max(statement.effect);
        self.taints |= statement.taints;
        match statement.control {
            Control::Begin { read_only } => self.begins = Some(read_only),
            Control::End => self.ends = true,
            Control::Refused(why) => self.refusal = Some(why),
            _ => {}
        }
    }

    /// Whether it needs the primary when it runs outside of a transaction.
    pub(crate) fn needs_primary(&self) -> bool {
        self.effect == Effect::Write || self.begins == Some(false)
    }

    /// What a second execution would do.
    pub(crate) fn kind(&self) -> Kind {
        match (self.effect, self.marks.once) {
            (Effect::Read, _) => Kind::Read,
            (Effect::Write, Some(true)) => Kind::Once,
            (Effect::Write, _) => Kind::Write,
        }
    }

    /// Moment after which the answer is useless to the caller.
    pub(crate) fn deadline(&self, settings: &Settings) -> Instant {
        let limit = self.marks.deadline.unwrap_or(settings.deadline);
        self.arrived + limit.as_duration()
    }

    /// Time without progress after which the connection is suspected. A caller that
    /// states a deadline has said how long the statement may take.
    pub(crate) fn patience(&self, settings: &Settings) -> Span {
        self.marks.deadline.unwrap_or(settings.progress)
    }
}

/// What the filters may consult.
pub(crate) struct Scene<'a> {
    /// Marks of the session.
    pub(crate) marks: &'a Marks,
}

/// One filter.
type Filter = fn(&mut Profile, &Scene<'_>) -> Result<(), Report>;

/// Every filter, in order.
const CHAIN: &[Filter] = &[
    session_marks,
    marked_once,
    shared_connections,
    no_function_calls,
];

/// Passes a request through the chain.
pub(crate) fn apply(profile: &mut Profile, scene: &Scene<'_>) -> Result<(), Report> {
    CHAIN.iter().try_for_each(|filter| filter(profile, scene))
}

fn session_marks(profile: &mut Profile, scene: &Scene<'_>) -> Result<(), Report> {
    let own = std::mem::take(&mut profile.marks);
    profile.marks = own.or(scene.marks);
    Ok(())
}

/// A caller that marks a request as not repeatable says that it has an effect, whatever
/// its text looks like: a function called by a view, for one, is not to be seen in it.
fn marked_once(profile: &mut Profile, _: &Scene<'_>) -> Result<(), Report> {
    if profile.marks.once == Some(true) {
        profile.effect = Effect::Write;
    }
    Ok(())
}

fn shared_connections(profile: &mut Profile, _: &Scene<'_>) -> Result<(), Report> {
    match profile.refusal {
        Some(why) => Err(Report::error(report::UNSUPPORTED, why.to_string())),
        None => Ok(()),
    }
}

fn no_function_calls(profile: &mut Profile, _: &Scene<'_>) -> Result<(), Report> {
    if profile.function_call {
        let text = "the protocol's function calls are not supported: use SELECT";
        return Err(Report::error(report::UNSUPPORTED, text));
    }
    Ok(())
}
