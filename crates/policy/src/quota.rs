//! Rate limits of customers, enforced by all proxies together.
//!
//! A customer's limit counts what arrives at instances from all proxies, connected to each
//! other or not, in any window of time. Its rate is divided into [`PARTS`] fixed parts, each
//! held by one proxy. A proxy needs a permit for each operation; it requests permits from the
//! granters, the holders of the parts, in small batches, and sends an operation only while its
//! permit is valid.
//!
//! - Load: one customer sends several times its limit, through a few proxies or through all.
//! - Harm: its operations would take the slots of all others.
//! - Why parts and not one granter: a granter that restarts or is disconnected takes one part
//!   with it, and of a divided fleet each side keeps some.
//!
//! Decisions: [`budget`] divides the limit, [`authority`] says who holds a part, [`granter`]
//! grants permits of one part, [`holder`] requests and spends them, [`silence`] passes
//! over granters that do not answer, and [`reservation`] keeps a permit for an operation that
//! waits for its connection.

use model::unit::Span;

pub mod authority;
mod bucket;
pub mod budget;
pub mod granter;
pub mod holder;
pub mod reservation;
pub mod silence;

pub use authority::{Announcement, Authority, Parts};
pub use budget::{Budget, Terms};
pub use granter::{Answer, Granter};
pub use holder::{Action, Counts, Holder, Permit, QuotaRejection};
pub use reservation::Reservation;
pub use silence::{SILENT_AFTER, Silence};

/// Time for which a permit is valid. A longer one would leave less for bursts: what is granted
/// in this time before a window may be sent in the window.
pub const PERMIT_TTL: Span = Span::from_millis(500);

/// Parts into which a customer's limit is divided.
pub const PARTS: usize = 6;
