//! What a caller's session holds between requests.

use std::rc::Rc;

use bytes::Bytes;
use indexmap::IndexMap;
use model::config::Caller;
use model::id::{CallerId, Class, GroupId};
use model::position::{Point, Revision};
use model::settings::Settings;
use model::token::{self, TokenError};
use pg::marks::Marks;

use super::prepared::Prepared;

/// Name of the parameter that carries the session's token.
pub(super) const TOKEN: &str = "pomelo.session";

/// A caller's session.
pub(super) struct Session {
    pub(super) caller: CallerId,
    pub(super) group: GroupId,
    /// Declaration of the caller, as of `revision`.
    pub(super) spec: Rc<Caller>,
    /// Settings of the group, as of `revision`.
    pub(super) settings: Rc<Settings>,
    pub(super) revision: Revision,
    /// What the session has written and seen.
    pub(super) token: token::Session,
    /// Whether `token` covers all that the session may have written. A session that
    /// came without its token may have written elsewhere; until its first answer has
    /// shown how far the group is, its reads must see every acknowledged write.
    pub(super) known: bool,
    /// Marks that hold for every request.
    pub(super) marks: Marks,
    /// Settings to be in force on the connection that serves the session.
    pub(super) vars: IndexMap<String, String>,
    /// Prepared statements by the caller's names; the unnamed one has an empty name.
    pub(super) prepared: IndexMap<Bytes, Rc<Prepared>>,
    /// Statements of the open portals, by the caller's names.
    pub(super) portals: IndexMap<Bytes, Rc<Prepared>>,
    /// Whether messages are skipped up to the next `Sync`, after an error.
    pub(super) skipping: bool,
}

impl Session {
    /// The point that reads must cover; `None` when it is not known.
    pub(super) fn point(&self) -> Option<Point> {
        let point = self.token.point(&self.group);
        self.known.then(|| point.unwrap_or_default())
    }

    /// Records a point that the session has written or seen; returns whether the
    /// caller's token is out of date now.
    pub(super) fn advance(&mut self, point: Point) -> bool {
        let before = (self.known, self.token.point(&self.group));
        self.known = true;
        self.token.advance(&self.group, point);
        before != (true, self.token.point(&self.group))
    }

    /// Takes over a token that the caller presents.
    pub(super) fn present(&mut self, text: &str, key: &token::Key) -> Result<(), TokenError> {
        let token = token::Session::decode(text, &self.caller, key)?;
        self.token.merge(&token);
        self.known = true;
        Ok(())
    }

    /// The session's token as text.
    pub(super) fn encode(&self, key: &token::Key) -> String {
        self.token.encode(&self.caller, key)
    }

    /// Class of a request that carries no class mark.
    pub(super) fn class(&self, marks: &Marks) -> Class {
        let class = marks.class.clone().or_else(|| self.spec.class.clone());
        class.unwrap_or_else(|| "default".parse().expect("a plain identifier"))
    }
}
