//! Asking a carrier for a connection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpStream;
use indexmap::{IndexMap, IndexSet};
use model::id::{GroupId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Rejection};
use policy::pooler_retry;
use policy::replica_ack::Write;
use store::client::TIME_LIMIT;
use store::mirror::Update;

use super::{FromCarrier, HEARD, Returned, ToCarrier, decode, encode, to_wire};
use crate::clock;
use crate::concern::Concerns;
use crate::conn::{Conn, ConnError};
use crate::feed::PackError;
use crate::group::{CheckedOut, Feedback};

/// Connections to one carrier that stay open while no loan uses them.
const MAX_IDLE: usize = 8;

/// Time for which a carrier that did not answer is passed over. Shorter than a restart
/// takes; each try costs a statement up to the time that a carrier has for hearing it.
const PASS_OVER: Span = Span::from_millis(400);

/// Time that a carrier's final answer may take beyond the request's time.
const GRACE: Span = Span::from_millis(100);

/// Longest wait until a reader has heard a question, and between two parts of its news.
///
/// Load: a configuration of a megabyte, which the reader fetches, packs and sends to all of
/// its data centre over a link of a few Mbit/s. Harm of a shorter limit, or one on the whole
/// answer: all followers give up at once and fetch the megabyte themselves, which fills the
/// link between the regions for longer than their next tries last.
const ARRIVES: Span = Span::from_millis(1_000);

/// Why a neighbour told nothing.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    /// It did not answer.
    #[error(transparent)]
    Conn(#[from] ConnError),
    /// Its news cannot be read.
    #[error(transparent)]
    Pack(#[from] PackError),
}

/// Why a carrier lent nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The statement is refused; another carrier would not do better.
    Refused(Rejection),
    /// Another carrier may be asked.
    Elsewhere(pooler_retry::GrantFailure),
}

/// Connections to carriers.
#[derive(Clone, Default)]
pub struct Client(Rc<Inner>);

#[derive(Default)]
struct Inner {
    idle: RefCell<IndexMap<ProxyId, Vec<Conn>>>,
    passed_over: RefCell<IndexMap<ProxyId, Time>>,
}

/// The way back of a loan.
#[derive(Clone)]
pub struct WayBack {
    client: Client,
    carrier: ProxyId,
    group: GroupId,
}

impl Client {
    /// Asks one carrier.
    pub async fn ask(
        &self,
        carrier: &ProxyId,
        address: SocketAddr,
        group: &GroupId,
        ask: &ConnRequest,
    ) -> Result<CheckedOut, Miss> {
        let now = clock::now();
        let until = self.0.passed_over.borrow().get(carrier).copied();
        if until.is_some_and(|until| now < until) {
            return Err(Miss::Elsewhere(pooler_retry::GrantFailure::Unresponsive));
        }
        let idle = self.take_idle(carrier);
        let reused = idle.is_some();
        let mut result = self.try_on(idle, carrier, address, group, ask).await;
        if reused && matches!(result, Err(Trouble::Broken(_))) {
            // The carrier may have restarted since the connection was used last.
            result = self.try_on(None, carrier, address, group, ask).await;
        }
        result.map_err(|e| match e {
            Trouble::Refused(refused) => Miss::Refused(refused),
            Trouble::Elsewhere(miss) => Miss::Elsewhere(miss),
            Trouble::Broken(e) => {
                tracing::warn!(%carrier, %group, cause = %e, "a carrier did not answer");
                let until = clock::now() + PASS_OVER;
                let mut passed_over = self.0.passed_over.borrow_mut();
                passed_over.insert(carrier.clone(), until);
                Miss::Elsewhere(pooler_retry::GrantFailure::Unresponsive)
            }
        })
    }

    /// Tells a proxy another one's concerns; says whether it heard them.
    pub async fn report(
        &self,
        to: &ProxyId,
        address: SocketAddr,
        by: &ProxyId,
        concerns: &Concerns,
    ) -> bool {
        let report = ToCarrier::Report {
            by: by.clone(),
            concerns: concerns.clone(),
        };
        let idle = self.take_idle(to);
        match self.try_report(idle, to, address, &report).await {
            Ok(()) => true,
            Err(e) => {
                tracing::info!(%to, cause = %e, "a report was not heard");
                false
            }
        }
    }

    /// Follows a neighbour that reads the store: what it was told after a revision.
    pub async fn follow(
        &self,
        reader: &ProxyId,
        address: SocketAddr,
        after: Revision,
        wait: Span,
    ) -> Option<Update> {
        let request = ToCarrier::Follow { after, wait };
        let idle = self.take_idle(reader);
        let reused = idle.is_some();
        let mut told = self.try_follow(idle, reader, address, &request, wait).await;
        if reused && told.is_err() {
            // The reader may have restarted since the connection was used last.
            told = self.try_follow(None, reader, address, &request, wait).await;
        }
        told.unwrap_or_else(|e| {
            tracing::info!(%reader, cause = %e, "a neighbour told nothing of the store");
            None
        })
    }

    /// Asks a neighbour that reads the store which groups have a change of primary under way;
    /// it may put the question off for `within`.
    pub async fn changes(
        &self,
        reader: &ProxyId,
        address: SocketAddr,
        within: Span,
    ) -> Option<IndexSet<GroupId>> {
        let idle = self.take_idle(reader);
        let reused = idle.is_some();
        let mut told = self.try_changes(idle, reader, address, within).await;
        if reused && told.is_err() {
            // The reader may have restarted since the connection was used last.
            told = self.try_changes(None, reader, address, within).await;
        }
        told.unwrap_or_else(|e| {
            tracing::info!(%reader, cause = %e, "a neighbour did not tell whether a change of primary is under way");
            None
        })
    }

    async fn try_changes(
        &self,
        conn: Option<Conn>,
        reader: &ProxyId,
        address: SocketAddr,
        within: Span,
    ) -> Result<Option<IndexSet<GroupId>>, ConnError> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(&ToCarrier::Changes { within })).await?;
        let told = match read(&mut conn, Span::from(HEARD)).await? {
            FromCarrier::Heard => read(&mut conn, within + Span::from(TIME_LIMIT) + GRACE).await?,
            other => other,
        };
        self.keep(reader, conn);
        match told {
            FromCarrier::Changing(noted) => Ok(Some(noted)),
            _ => Ok(None),
        }
    }

    async fn try_follow(
        &self,
        conn: Option<Conn>,
        reader: &ProxyId,
        address: SocketAddr,
        request: &ToCarrier,
        wait: Span,
    ) -> Result<Option<Update>, FollowError> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(request)).await?;
        let told = match read(&mut conn, ARRIVES).await? {
            FromCarrier::Heard => read_long(&mut conn, wait + ARRIVES, ARRIVES).await?,
            other => other,
        };
        self.keep(reader, conn);
        match told {
            FromCarrier::News(packed) => Ok(Some(packed.unpack()?)),
            _ => Ok(None),
        }
    }

    async fn try_report(
        &self,
        conn: Option<Conn>,
        to: &ProxyId,
        address: SocketAddr,
        report: &ToCarrier,
    ) -> Result<(), ConnError> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(report)).await?;
        match read(&mut conn, Span::from(HEARD)).await? {
            FromCarrier::Heard => {
                self.keep(to, conn);
                Ok(())
            }
            _ => Err(ConnError::Silent),
        }
    }

    async fn try_on(
        &self,
        conn: Option<Conn>,
        carrier: &ProxyId,
        address: SocketAddr,
        group: &GroupId,
        ask: &ConnRequest,
    ) -> Result<CheckedOut, Trouble> {
        let request = to_wire(group, ask)
            .ok_or(Trouble::Elsewhere(pooler_retry::GrantFailure::Unreachable))?;
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await.map_err(Trouble::Broken)?,
        };
        conn.send(encode(&request)).await.map_err(Trouble::Broken)?;
        let heard = read(&mut conn, Span::from(HEARD)).await;
        match heard.map_err(Trouble::Broken)? {
            FromCarrier::Heard => {}
            other => return self.elsewhere(carrier, conn, &other),
        }
        let left = ask.deadline.since(clock::now());
        let left = Span::from_micros(left.as_micros() + GRACE.as_micros());
        match read(&mut conn, left).await.map_err(Trouble::Broken)? {
            FromCarrier::Granted {
                instance,
                after,
                prove,
                held,
            } => {
                conn.set_held(&held);
                let way_back = WayBack {
                    client: self.clone(),
                    carrier: carrier.clone(),
                    group: group.clone(),
                };
                Ok(CheckedOut::relayed(way_back, instance, after, prove, conn))
            }
            FromCarrier::Refused(refused) => {
                self.keep(carrier, conn);
                Err(Trouble::Refused(refused))
            }
            other => self.elsewhere(carrier, conn, &other),
        }
    }

    fn elsewhere(
        &self,
        carrier: &ProxyId,
        conn: Conn,
        answer: &FromCarrier,
    ) -> Result<CheckedOut, Trouble> {
        self.keep(carrier, conn);
        Err(Trouble::Elsewhere(match answer {
            FromCarrier::Starting => pooler_retry::GrantFailure::Starting,
            FromCarrier::OutOfReach => pooler_retry::GrantFailure::Unreachable,
            _ => pooler_retry::GrantFailure::Stopping,
        }))
    }

    fn take_idle(&self, of: &ProxyId) -> Option<Conn> {
        self.0.idle.borrow_mut().get_mut(of)?.pop()
    }

    fn keep(&self, carrier: &ProxyId, conn: Conn) {
        let mut idle = self.0.idle.borrow_mut();
        let idle = idle.entry(carrier.clone()).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(conn);
        }
    }
}

impl WayBack {
    /// Gives a loan back after a write, and asks the carrier whether a replica holds it.
    pub async fn prove(
        &self,
        mut conn: Conn,
        notes: Vec<Feedback>,
        write: Write,
        give_up: Time,
    ) -> bool {
        let left = give_up.since(clock::now());
        let mut lines = encode(&ToCarrier::Return(returned(&mut conn, true, notes)));
        lines.extend(encode(&ToCarrier::Prove {
            group: self.group.clone(),
            primary: write.primary,
            point: write.point,
            left,
        }));
        let asked = async {
            conn.send(lines).await?;
            read(&mut conn, left + GRACE).await
        };
        match asked.await {
            Ok(FromCarrier::Proved(proved)) => {
                self.client.keep(&self.carrier, conn);
                proved
            }
            Ok(_) => false,
            Err(e) => {
                tracing::warn!(carrier = %self.carrier, group = %self.group, cause = %e, "a carrier did not tell whether a write is held");
                false
            }
        }
    }

    /// Gives a loan back; `usable` says whether the connection may be lent again.
    pub fn give_back(&self, mut conn: Conn, usable: bool, notes: Vec<Feedback>) {
        let returned = returned(&mut conn, usable, notes);
        let this = self.clone();
        compio::runtime::spawn(async move {
            match conn.send(encode(&ToCarrier::Return(returned))).await {
                Ok(()) if usable => this.client.keep(&this.carrier, conn),
                // Closing it tells the carrier the same.
                Ok(()) => {}
                Err(e) => {
                    tracing::info!(carrier = %this.carrier, cause = %e, "a loan was not given back");
                }
            }
        })
        .detach();
    }
}

fn returned(conn: &mut Conn, usable: bool, notes: Vec<Feedback>) -> Returned {
    Returned {
        usable,
        held: conn.held(),
        proof: conn.take_proof().map(|p| p.point),
        took: conn.take_time(),
        shown: conn.take_shown(),
        notes,
    }
}

/// Why one try brought no loan.
enum Trouble {
    Refused(Rejection),
    Elsewhere(pooler_retry::GrantFailure),
    Broken(ConnError),
}

async fn connect(address: SocketAddr) -> Result<Conn, ConnError> {
    let connecting = compio::time::timeout(HEARD, TcpStream::connect(address));
    match connecting.await {
        Ok(stream) => Conn::bare(stream?),
        Err(_) => Err(ConnError::Silent),
    }
}

async fn read_long(conn: &mut Conn, begin: Span, go_on: Span) -> Result<FromCarrier, ConnError> {
    let line = conn.long_line(begin, go_on).await?;
    decode(line).ok_or(ConnError::Silent)
}

async fn read(conn: &mut Conn, limit: Span) -> Result<FromCarrier, ConnError> {
    let line = conn.line(limit.as_duration()).await?;
    decode(line).ok_or(ConnError::Silent)
}
