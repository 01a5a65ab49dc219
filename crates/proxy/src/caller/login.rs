//! From the first byte of a connection to a session.

use std::rc::Rc;

use bytes::{Buf as _, Bytes};
use compio::net::TcpStream;
use indexmap::IndexMap;
use model::config::Caller as Spec;
use model::id::CallerId;
use model::token::{self, TokenError};
use pg::classify::PREFIX;
use pg::marks::{MarkError, Marks};
use pg::report::{self, Report};
use pg::scram::{self, ScramError, Verifier};
use pg::startup::{self, Startup};
use pg::wire::{Stream, Wire, WireError};
use pg::{frame, tag};

use super::batch::Batch;
use super::link::Link;
use super::session::{Session, TOKEN};
use super::transaction::Transaction;
use super::{Caller, reply};
use crate::backend::Status;
use crate::cx::{self, Cx};
use crate::fleet::Snapshot;
use crate::trace;

/// Largest message of a password exchange.
const PASSWORD_LIMIT: usize = 4 << 10;

/// Negotiation requests that one connection may begin with: TLS and GSS, once each.
const MAX_NEGOTIATIONS: usize = 2;

/// Parameters that drivers expect to be told, as PostgreSQL's defaults.
const PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Why a connection did not become a session.
#[derive(Debug, thiserror::Error)]
pub(super) enum LoginError {
    /// The socket failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// TLS could not be set up.
    #[error("TLS failed")]
    Tls(#[source] std::io::Error),
    /// The first packet is not acceptable.
    #[error(transparent)]
    Startup(#[from] startup::StartupError),
    /// The connection only carried a cancel request.
    #[error("a cancel request")]
    Cancel,
    /// Too many negotiation requests.
    #[error("too many negotiation requests")]
    Negotiation,
    /// The caller did not prove who it is.
    #[error("password exchange with {0:?} failed: {1}")]
    Password(String, #[source] ScramError),
    /// The caller may not reach the group.
    #[error("caller {0:?} may not reach group {1:?}")]
    NotAllowed(String, String),
    /// The group does not exist.
    #[error("group {0:?} does not exist")]
    UnknownGroup(String),
    /// A `pomelo.` setting in the start-up options is not acceptable.
    #[error(transparent)]
    Mark(#[from] MarkError),
    /// The session token is not acceptable.
    #[error(transparent)]
    Token(#[from] TokenError),
}

impl LoginError {
    /// What the caller is told, if anything.
    fn report(&self) -> Option<Report> {
        let code = match self {
            Self::Wire(_) | Self::Tls(_) | Self::Cancel => return None,
            Self::Startup(_) | Self::Negotiation => report::PROTOCOL,
            Self::Password(..) => {
                let text = "password authentication failed";
                return Some(Report::fatal(report::BAD_PASSWORD, text));
            }
            Self::NotAllowed(..) => report::NOT_ALLOWED,
            Self::UnknownGroup(_) => report::UNKNOWN_GROUP,
            Self::Mark(_) | Self::Token(_) => report::BAD_VALUE,
        };
        Some(Report::fatal(code, self.to_string()))
    }
}

/// Takes a connection through its login.
pub(super) async fn login(cx: Rc<Cx>, tcp: TcpStream) -> Result<Caller, LoginError> {
    let mut wire = Wire::new(Stream::Plain(tcp));
    let opened = match open(&cx, &mut wire).await {
        Ok(opened) => opened,
        Err(e) => return Err(refuse(wire, e).await),
    };
    match authenticate(&cx, &mut wire, &opened).await {
        Ok(session) => enter(cx, wire, session).await,
        Err(e) => Err(refuse(wire, e).await),
    }
}

async fn refuse(mut wire: Wire, e: LoginError) -> LoginError {
    if let Some(report) = e.report() {
        let _ = wire.write(report.encode()).await;
    }
    e
}

/// Negotiates TLS and reads the request for a session.
async fn open(cx: &Cx, wire: &mut Wire) -> Result<startup::Session, LoginError> {
    for _ in 0..=MAX_NEGOTIATIONS {
        match packet(wire).await? {
            Startup::Session(session) => return Ok(session),
            Startup::Cancel(key) => {
                cx.registry.cancel(key);
                return Err(LoginError::Cancel);
            }
            Startup::Ssl if cx.tls.is_some() => start_tls(cx, wire).await?,
            Startup::Ssl | Startup::Gss => wire.write(Bytes::from_static(b"N")).await?,
        }
    }
    Err(LoginError::Negotiation)
}

async fn packet(wire: &mut Wire) -> Result<Startup, LoginError> {
    loop {
        if let Some(packet) = startup::take(wire.buf())? {
            return Ok(packet);
        }
        wire.fill().await?;
    }
}

async fn start_tls(cx: &Cx, wire: &mut Wire) -> Result<(), LoginError> {
    // Bytes that came before the handshake were not encrypted: whoever put them
    // there must not have them taken for the caller's own.
    if !wire.is_drained() {
        return Err(LoginError::Negotiation);
    }
    wire.write(Bytes::from_static(b"S")).await?;
    let tcp = wire.socket().clone();
    let acceptor = cx.tls.as_ref().ok_or(LoginError::Negotiation)?;
    let tls = acceptor
        .accept(tcp.clone())
        .await
        .map_err(LoginError::Tls)?;
    *wire = Wire::new(Stream::Tls(Box::new(tls), tcp));
    Ok(())
}

/// Checks the caller's password and rights.
async fn authenticate(
    cx: &Cx,
    wire: &mut Wire,
    opened: &startup::Session,
) -> Result<Session, LoginError> {
    let param = |name: &str| opened.params.get(name).cloned();
    let user = param("user").unwrap_or_default();
    let database = param("database").unwrap_or_else(|| user.clone());
    let snapshot = cx.fleet.current();
    let known = user.parse::<CallerId>().ok();
    let spec = known.as_ref().and_then(|id| snapshot.fleet.callers.get(id));
    match spec {
        Some(Spec { verifier: None, .. }) => {}
        Some(Spec {
            verifier: Some(v), ..
        }) => {
            let verifier = v.parse().unwrap_or_else(|_| decoy(cx, &user));
            exchange(wire, &user, verifier).await?;
        }
        None => exchange(wire, &user, decoy(cx, &user)).await?,
    }
    let not_allowed = || LoginError::NotAllowed(user.clone(), database.clone());
    let (caller, spec) = known.clone().zip(spec).ok_or_else(not_allowed)?;
    let group = spec.groups.iter().find(|g| g.as_str() == database);
    let group = group.ok_or_else(not_allowed)?;
    if !snapshot.fleet.groups.contains_key(group) {
        return Err(LoginError::UnknownGroup(database));
    }
    let mut session = Session {
        caller,
        group: group.clone(),
        spec: Rc::new(spec.clone()),
        settings: Rc::new(snapshot.fleet.settings(group)),
        revision: snapshot.revision,
        token: token::Session::default(),
        known: false,
        marks: Marks::default(),
        vars: vars(opened),
        prepared: IndexMap::new(),
        portals: IndexMap::new(),
        skipping: false,
    };
    apply_options(cx, opened, &mut session)?;
    Ok(session)
}

fn decoy(cx: &Cx, user: &str) -> Verifier {
    Verifier::decoy(cx.cfg.secret.0.as_bytes(), user)
}

/// Parameters of the start-up packet that are settings of the session.
fn vars(opened: &startup::Session) -> IndexMap<String, String> {
    let wanted = [
        "application_name",
        "datestyle",
        "timezone",
        "extra_float_digits",
    ];
    let params = opened.params.iter();
    params
        .map(|(name, value)| (name.to_ascii_lowercase(), value.clone()))
        .filter(|(name, _)| wanted.contains(&name.as_str()))
        .collect()
}

fn apply_options(
    cx: &Cx,
    opened: &startup::Session,
    session: &mut Session,
) -> Result<(), LoginError> {
    for (name, value) in opened.options() {
        if name == TOKEN {
            session.present(&value, &cx.key)?;
        } else if let Some(own) = name.strip_prefix(PREFIX) {
            session.marks.set(own, &value)?;
        }
    }
    Ok(())
}

/// The server's side of the password exchange.
async fn exchange(wire: &mut Wire, user: &str, verifier: Verifier) -> Result<(), LoginError> {
    let failed = |e| LoginError::Password(user.to_owned(), e);
    let malformed = || failed(ScramError::Malformed);
    let mechanisms = [scram::MECHANISM.as_bytes(), &[0, 0]].concat();
    wire.write(authentication(10, &mechanisms)).await?;
    let mut body = password(wire).await?;
    let mechanism = frame::text(&mut body).ok_or_else(malformed)?;
    if mechanism != scram::MECHANISM.as_bytes() || body.len() < 4 {
        return Err(malformed());
    }
    body.advance(4);
    let (server, answer) = scram::Server::first(verifier, &body).map_err(failed)?;
    wire.write(authentication(11, answer.as_bytes())).await?;
    let proof = password(wire).await?;
    let last = server.finish(&proof).map_err(failed)?;
    Ok(wire.write(authentication(12, last.as_bytes())).await?)
}

async fn password(wire: &mut Wire) -> Result<Bytes, LoginError> {
    let frame = wire.frame(PASSWORD_LIMIT).await?;
    match frame.tag {
        tag::PASSWORD => Ok(frame.body()),
        _ => Err(LoginError::Negotiation),
    }
}

fn authentication(code: u32, data: &[u8]) -> Bytes {
    reply::message(tag::AUTHENTICATION, &[&code.to_be_bytes(), data].concat())
}

/// Opens the session and tells the caller so.
async fn enter(cx: Rc<Cx>, mut wire: Wire, session: Session) -> Result<Caller, LoginError> {
    let group = match cx.group(&session.group) {
        Some(group) => group,
        None => {
            let e = LoginError::UnknownGroup(session.group.to_string());
            return Err(refuse(wire, e).await);
        }
    };
    let entry = cx.registry.enter(cx::new_key());
    let key = entry.key;
    let mut out = authentication(0, &[]).to_vec();
    for (name, value) in PARAMETERS {
        out.extend_from_slice(&reply::parameter(name, value));
    }
    out.extend_from_slice(&reply::parameter(TOKEN, &session.encode(&cx.key)));
    let key = [key.pid.to_be_bytes(), key.secret.to_be_bytes()].concat();
    out.extend_from_slice(&reply::message(tag::KEY_DATA, &key));
    out.extend_from_slice(&reply::ready(Status::Idle));
    wire.write(out.into()).await?;
    tracing::debug!(caller = %session.caller, group = %session.group, "caller logged in");
    let link = Link::new(wire, entry, cx.cfg.limits.clone());
    Ok(Caller {
        cx,
        group,
        link,
        session,
        transaction: Transaction::None,
        batch: Batch::default(),
        span: trace::Span::default(),
    })
}

impl Session {
    /// Takes over a newer configuration; `None` when the caller has lost its access.
    pub(super) fn refresh(&mut self, snapshot: &Snapshot) -> Option<()> {
        if snapshot.revision == self.revision {
            return Some(());
        }
        let spec = snapshot.fleet.callers.get(&self.caller)?;
        let allowed = spec.groups.contains(&self.group);
        if !allowed || !snapshot.fleet.groups.contains_key(&self.group) {
            return None;
        }
        self.spec = Rc::new(spec.clone());
        self.settings = Rc::new(snapshot.fleet.settings(&self.group));
        self.revision = snapshot.revision;
        Some(())
    }
}
