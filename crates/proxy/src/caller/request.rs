//! Reading a request: its steps, and what is known of each.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use pg::classify::{self, Control};
use pg::frame::{self, Frame};
use pg::report::{self, Report};
use pg::{marks, tag};
use policy::service_time::Shape;

use super::prepared::{self, Prepared};
use super::session::Session;
use crate::filter::Profile;

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// A simple query.
    Query,
    /// Extended messages up to `Sync`.
    Sync,
    /// Extended messages up to `Flush`: no ready message is due.
    Flush,
}

impl Mode {
    /// Mode of a request that ends with this message.
    pub(super) fn of(last: &Frame) -> Self {
        match last.tag {
            tag::QUERY => Self::Query,
            tag::FLUSH => Self::Flush,
            _ => Self::Sync,
        }
    }
}

/// One step of an extended request.
pub(super) enum Step {
    /// Prepare a statement.
    Parse {
        /// The caller's name for it.
        name: Bytes,
        prepared: Rc<Prepared>,
    },
    /// Bind a portal.
    Bind {
        portal: Bytes,
        /// The caller's name of the statement.
        name: Bytes,
        /// The statement; `None` when the caller never prepared it.
        prepared: Option<Rc<Prepared>>,
        /// The message after both names.
        rest: Bytes,
    },
    /// Describe a prepared statement.
    Describe {
        name: Bytes,
        prepared: Option<Rc<Prepared>>,
    },
    /// Describe a portal, by the message as it came.
    DescribePortal {
        raw: Bytes,
        prepared: Option<Rc<Prepared>>,
    },
    /// Run a portal, by the message as it came.
    Execute {
        raw: Bytes,
        prepared: Option<Rc<Prepared>>,
    },
    /// Forget a prepared statement.
    Forget,
    /// Close a portal, by the message as it came.
    ClosePortal { raw: Bytes },
}

/// A request that has been read.
pub(super) struct Request {
    pub(super) mode: Mode,
    pub(super) profile: Profile,
    /// The message of a simple query.
    pub(super) query: Bytes,
    /// The single statement of a simple query, when the proxy answers it itself.
    pub(super) local: Option<Control>,
    /// Steps of an extended request.
    pub(super) steps: Vec<Step>,
}

impl Request {
    /// Reads a request. Statements that it prepares are entered into the session.
    pub(super) fn read(
        messages: &[Frame],
        session: &mut Session,
        cache: &mut classify::Cache,
    ) -> Result<Self, Report> {
        let (last, earlier) = messages.split_last().ok_or_else(malformed)?;
        let mut req = Self {
            mode: Mode::of(last),
            profile: Profile::new(Instant::now()),
            query: Bytes::new(),
            local: None,
            steps: Vec::with_capacity(earlier.len()),
        };
        for message in earlier {
            let step = req.step(message, session, cache)?;
            req.steps.extend(step);
        }
        if req.mode == Mode::Query {
            req.simple(last, cache)?;
        }
        Ok(req)
    }

    /// Whether there is nothing for a backend server to do.
    pub(super) fn is_local(&self) -> bool {
        match self.mode {
            Mode::Query => self.local.is_some(),
            Mode::Sync | Mode::Flush => self.steps.iter().all(Step::is_local),
        }
    }

    fn simple(&mut self, query: &Frame, cache: &mut classify::Cache) -> Result<(), Report> {
        let mut body = query.body();
        let sql = frame::text(&mut body).ok_or_else(malformed)?;
        let sql = std::str::from_utf8(&sql).map_err(|_| malformed())?;
        let (bare, marks) = marks::split(sql).map_err(|e| prepared::bad_mark(&e))?;
        let statement = cache.classify(bare);
        self.profile.marks = marks;
        self.profile.shape = shape(bare.as_bytes());
        self.profile.add(&statement);
        if is_local(&statement.control) {
            self.local = Some(statement.control.clone());
        }
        self.query = query.raw.clone();
        Ok(())
    }

    fn step(
        &mut self,
        message: &Frame,
        session: &mut Session,
        cache: &mut classify::Cache,
    ) -> Result<Option<Step>, Report> {
        let mut body = message.body();
        let raw = message.raw.clone();
        Ok(Some(match message.tag {
            tag::PARSE => self.parse(message, session, cache)?,
            tag::BIND => self.bind(body, session)?,
            tag::DESCRIBE | tag::CLOSE => {
                let (kind, name) = target(&mut body)?;
                match (message.tag, kind) {
                    (tag::DESCRIBE, b'S') => Step::Describe {
                        prepared: session.prepared.get(&name).cloned(),
                        name,
                    },
                    (tag::DESCRIBE, _) => Step::DescribePortal {
                        raw,
                        prepared: session.portals.get(&name).cloned(),
                    },
                    (_, b'S') => {
                        session.prepared.shift_remove(&name);
                        Step::Forget
                    }
                    _ => Step::ClosePortal { raw },
                }
            }
            tag::EXECUTE => {
                let portal = frame::text(&mut body).ok_or_else(malformed)?;
                let prepared = session.portals.get(&portal).cloned();
                self.execute(prepared.as_deref());
                Step::Execute { raw, prepared }
            }
            tag::FUNCTION_CALL => {
                self.profile.function_call = true;
                return Ok(None);
            }
            _ => return Ok(None),
        }))
    }

    fn parse(
        &mut self,
        message: &Frame,
        session: &mut Session,
        cache: &mut classify::Cache,
    ) -> Result<Step, Report> {
        let (name, prepared) = Prepared::read(message, cache)?;
        let name = Bytes::copy_from_slice(&name);
        if let Control::Refused(why) = prepared.statement.control {
            self.profile.refusal = Some(why);
        }
        if !name.is_empty() && session.prepared.contains_key(&name) {
            let text = format!("prepared statement {name:?} already exists");
            return Err(Report::error(report::DUPLICATE_STATEMENT, text));
        }
        session.prepared.insert(name.clone(), prepared.clone());
        Ok(Step::Parse { name, prepared })
    }

    fn bind(&mut self, mut body: Bytes, session: &mut Session) -> Result<Step, Report> {
        let portal = frame::text(&mut body).ok_or_else(malformed)?;
        let name = frame::text(&mut body).ok_or_else(malformed)?;
        let prepared = session.prepared.get(&name).cloned();
        match &prepared {
            Some(prepared) => {
                let kept = Bytes::copy_from_slice(&portal);
                session.portals.insert(kept, prepared.clone());
            }
            None => {
                session.portals.shift_remove(&portal);
            }
        }
        Ok(Step::Bind {
            portal,
            name,
            prepared,
            rest: body,
        })
    }

    /// Notes that a portal will run; one that is not known may do anything.
    fn execute(&mut self, prepared: Option<&Prepared>) {
        let Some(prepared) = prepared else {
            self.profile.effect = classify::Effect::Write;
            self.profile.ends = true;
            return;
        };
        self.profile.add(&prepared.statement);
        self.profile.shape = shape(&prepared.id);
        let earlier = std::mem::take(&mut self.profile.marks);
        self.profile.marks = earlier.or(&prepared.marks);
    }
}

impl Step {
    fn prepared(&self) -> Option<&Rc<Prepared>> {
        match self {
            Self::Parse { prepared, .. } => Some(prepared),
            Self::Bind { prepared, .. }
            | Self::Describe { prepared, .. }
            | Self::DescribePortal { prepared, .. }
            | Self::Execute { prepared, .. } => prepared.as_ref(),
            Self::Forget | Self::ClosePortal { .. } => None,
        }
    }

    /// The statement of this step, when the proxy answers it itself.
    pub(super) fn local(&self) -> Option<&Control> {
        let control = &self.prepared()?.statement.control;
        is_local(control).then_some(control)
    }

    fn is_local(&self) -> bool {
        matches!(self, Self::Forget) || self.local().is_some()
    }
}

fn is_local(control: &Control) -> bool {
    matches!(
        control,
        Control::Set { .. } | Control::Show { .. } | Control::Discard
    )
}

fn target(body: &mut Bytes) -> Result<(u8, Bytes), Report> {
    if body.is_empty() {
        return Err(malformed());
    }
    let kind = body.split_to(1)[0];
    let name = frame::text(body).ok_or_else(malformed)?;
    Ok((kind, name))
}

fn shape(text: &[u8]) -> Shape {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    Shape(hasher.finish())
}

fn malformed() -> Report {
    Report::error(report::PROTOCOL, "malformed message")
}
