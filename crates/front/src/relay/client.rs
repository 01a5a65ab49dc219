//! The client proxy's side: requests connections from poolers, and sends other proxies reports
//! and queries.

mod follow;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpStream;
use indexmap::IndexMap;
use model::id::{CustomerId, GroupId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Rejection};
use policy::pooler_retry;
use policy::quota::Answer;
use policy::replica_ack::Write;

use super::{FromPooler, RECEIPT_TIMEOUT, Returned, ToPooler, decode, encode, to_wire};
use crate::clock;
use crate::conn::{Conn, ConnError};
use crate::group::{CheckedOut, Feedback};
use crate::health::Reports;

pub use follow::FollowFailure;

/// Most idle connections that are kept open to one proxy.
const MAX_IDLE: usize = 8;

/// Time for which an unresponsive pooler is skipped. It is shorter than a restart; each
/// attempt delays a statement by up to `RECEIPT_TIMEOUT`.
const SKIP_FOR: Span = Span::from_millis(400);

/// Time that a pooler's final response may take beyond the request's deadline.
const GRACE: Span = Span::from_millis(100);

/// Why a pooler granted no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutFailure {
    /// The request is rejected; another pooler would reject it as well.
    Rejected(Rejection),
    /// Another pooler may serve the request.
    NotGranted(pooler_retry::GrantFailure),
}

/// Connections to other proxies, and the poolers to skip for a while.
#[derive(Clone, Default)]
pub struct Client(Rc<Inner>);

#[derive(Default)]
struct Inner {
    idle: RefCell<IndexMap<ProxyId, Vec<Conn>>>,
    skip_until: RefCell<IndexMap<ProxyId, Time>>,
}

/// Where a checked-out connection is returned.
#[derive(Clone)]
pub struct ReturnPath {
    client: Client,
    pooler: ProxyId,
    group: GroupId,
}

impl Client {
    /// Requests a connection from one pooler.
    pub async fn checkout(
        &self,
        pooler: &ProxyId,
        address: SocketAddr,
        group: &GroupId,
        request: &ConnRequest,
    ) -> Result<CheckedOut, CheckoutFailure> {
        let now = clock::now();
        let until = self.0.skip_until.borrow().get(pooler).copied();
        if until.is_some_and(|until| now < until) {
            return Err(CheckoutFailure::NotGranted(
                pooler_retry::GrantFailure::Unresponsive,
            ));
        }
        let idle = self.take_idle(pooler);
        let reused = idle.is_some();
        let mut result = self
            .try_checkout(idle, pooler, address, group, request)
            .await;
        if reused && matches!(result, Err(TryError::Broken(_))) {
            // The pooler may have restarted since the connection was last used.
            result = self
                .try_checkout(None, pooler, address, group, request)
                .await;
        }
        result.map_err(|e| match e {
            TryError::Rejected(rejection) => CheckoutFailure::Rejected(rejection),
            TryError::NotGranted(failure) => CheckoutFailure::NotGranted(failure),
            TryError::Broken(e) => {
                tracing::warn!(carrier = %pooler, %group, cause = %e, "a pooler did not respond");
                let until = clock::now() + SKIP_FOR;
                let mut skip_until = self.0.skip_until.borrow_mut();
                skip_until.insert(pooler.clone(), until);
                CheckoutFailure::NotGranted(pooler_retry::GrantFailure::Unresponsive)
            }
        })
    }

    /// Sends a proxy what proxy `by` reports about the groups; returns whether it was received.
    pub async fn report(
        &self,
        to: &ProxyId,
        address: SocketAddr,
        by: &ProxyId,
        concerns: &Reports,
    ) -> bool {
        let report = ToPooler::Report {
            by: by.clone(),
            concerns: concerns.clone(),
        };
        let idle = self.take_idle(to);
        match self.try_report(idle, to, address, &report).await {
            Ok(()) => true,
            Err(e) => {
                tracing::info!(%to, cause = %e, "a report was not acknowledged");
                false
            }
        }
    }

    /// Requests permits for a customer's operations on proxy `by`; `None` without an answer.
    pub async fn permits(
        &self,
        granter: &ProxyId,
        address: SocketAddr,
        customer: &CustomerId,
        count: u32,
    ) -> Option<Answer> {
        let message = ToPooler::Permits {
            customer: customer.clone(),
            count,
        };
        match self.exchange(granter, address, &message).await {
            Ok(FromPooler::Permits(answer)) => Some(answer),
            Ok(_) => None,
            Err(e) => {
                tracing::info!(%granter, %customer, cause = %e, "a request for permits was not answered");
                None
            }
        }
    }

    /// Queries whether a granter of a customer's permits knows of an announcement.
    pub async fn knows(
        &self,
        proxy: &ProxyId,
        address: SocketAddr,
        customer: &CustomerId,
        revision: Revision,
    ) -> bool {
        let message = ToPooler::Knows {
            customer: customer.clone(),
            revision,
        };
        match self.exchange(proxy, address, &message).await {
            Ok(response) => matches!(response, FromPooler::Knows(true)),
            Err(e) => {
                tracing::info!(%proxy, cause = %e, "a proxy did not answer whether it knows of this one");
                false
            }
        }
    }

    /// Sends a message whose response is one line that takes no waiting. On a connection that
    /// was used before it is sent again if that broke: the proxy may have restarted since.
    async fn exchange(
        &self,
        to: &ProxyId,
        address: SocketAddr,
        message: &ToPooler,
    ) -> Result<FromPooler, ConnError> {
        let idle = self.take_idle(to);
        let reused = idle.is_some();
        let result = self.try_exchange(idle, to, address, message).await;
        if reused && matches!(result, Err(ConnError::Stream(_))) {
            return self.try_exchange(None, to, address, message).await;
        }
        result
    }

    async fn try_exchange(
        &self,
        conn: Option<Conn>,
        to: &ProxyId,
        address: SocketAddr,
        message: &ToPooler,
    ) -> Result<FromPooler, ConnError> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(message)).await?;
        let response = read(&mut conn, Span::from(RECEIPT_TIMEOUT)).await?;
        self.keep(to, conn);
        Ok(response)
    }

    async fn try_report(
        &self,
        conn: Option<Conn>,
        to: &ProxyId,
        address: SocketAddr,
        report: &ToPooler,
    ) -> Result<(), ConnError> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(report)).await?;
        match read(&mut conn, Span::from(RECEIPT_TIMEOUT)).await? {
            FromPooler::Heard => {
                self.keep(to, conn);
                Ok(())
            }
            _ => Err(ConnError::Timeout),
        }
    }

    async fn try_checkout(
        &self,
        conn: Option<Conn>,
        pooler: &ProxyId,
        address: SocketAddr,
        group: &GroupId,
        request: &ConnRequest,
    ) -> Result<CheckedOut, TryError> {
        let message = to_wire(group, request).ok_or(TryError::NotGranted(
            pooler_retry::GrantFailure::Unreachable,
        ))?;
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await.map_err(TryError::Broken)?,
        };
        conn.send(encode(&message))
            .await
            .map_err(TryError::Broken)?;
        let receipt = read(&mut conn, Span::from(RECEIPT_TIMEOUT)).await;
        match receipt.map_err(TryError::Broken)? {
            FromPooler::Heard => {}
            other => return self.no_grant(pooler, conn, &other),
        }
        let left = request.deadline.since(clock::now());
        let left = Span::from_micros(left.as_micros() + GRACE.as_micros());
        match read(&mut conn, left).await.map_err(TryError::Broken)? {
            FromPooler::Granted {
                instance,
                after,
                prove,
                held,
            } => {
                conn.set_held(&held);
                let return_path = ReturnPath {
                    client: self.clone(),
                    pooler: pooler.clone(),
                    group: group.clone(),
                };
                Ok(CheckedOut::relayed(
                    return_path,
                    instance,
                    after,
                    prove,
                    conn,
                ))
            }
            FromPooler::Refused(rejection) => {
                self.keep(pooler, conn);
                Err(TryError::Rejected(rejection))
            }
            other => self.no_grant(pooler, conn, &other),
        }
    }

    fn no_grant(
        &self,
        pooler: &ProxyId,
        conn: Conn,
        response: &FromPooler,
    ) -> Result<CheckedOut, TryError> {
        self.keep(pooler, conn);
        Err(TryError::NotGranted(match response {
            FromPooler::Starting => pooler_retry::GrantFailure::Starting,
            FromPooler::OutOfReach => pooler_retry::GrantFailure::Unreachable,
            _ => pooler_retry::GrantFailure::Stopping,
        }))
    }

    fn take_idle(&self, of: &ProxyId) -> Option<Conn> {
        self.0.idle.borrow_mut().get_mut(of)?.pop()
    }

    fn keep(&self, pooler: &ProxyId, conn: Conn) {
        let mut idle = self.0.idle.borrow_mut();
        let idle = idle.entry(pooler.clone()).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(conn);
        }
    }
}

impl ReturnPath {
    /// Returns a connection after a write, and queries the pooler whether a replica holds the
    /// write.
    pub async fn release_acknowledged(
        &self,
        mut conn: Conn,
        notes: Vec<Feedback>,
        write: Write,
        deadline: Time,
    ) -> bool {
        let left = deadline.since(clock::now());
        let mut lines = encode(&ToPooler::Return(returned(&mut conn, true, notes)));
        lines.extend(encode(&ToPooler::Prove {
            group: self.group.clone(),
            primary: write.primary,
            point: write.point,
            left,
        }));
        let response = async {
            conn.send(lines).await?;
            read(&mut conn, left + GRACE).await
        };
        match response.await {
            Ok(FromPooler::Proved(proved)) => {
                self.client.keep(&self.pooler, conn);
                proved
            }
            Ok(_) => false,
            Err(e) => {
                tracing::warn!(carrier = %self.pooler, group = %self.group, cause = %e, "a pooler did not report whether a replica holds a write");
                false
            }
        }
    }

    /// Returns a connection; `usable` says whether it may be reused.
    pub fn release(&self, mut conn: Conn, usable: bool, notes: Vec<Feedback>) {
        let returned = returned(&mut conn, usable, notes);
        let this = self.clone();
        compio::runtime::spawn(async move {
            match conn.send(encode(&ToPooler::Return(returned))).await {
                Ok(()) if usable => this.client.keep(&this.pooler, conn),
                // The closed connection also tells the pooler that it is not usable.
                Ok(()) => {}
                Err(e) => {
                    tracing::info!(carrier = %this.pooler, cause = %e, "a connection could not be returned");
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
        took: conn.take_duration(),
        shown: conn.take_log_end(),
        notes,
    }
}

/// Why one attempt brought no connection.
enum TryError {
    Rejected(Rejection),
    NotGranted(pooler_retry::GrantFailure),
    Broken(ConnError),
}

async fn connect(address: SocketAddr) -> Result<Conn, ConnError> {
    let connecting = compio::time::timeout(RECEIPT_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(stream) => Conn::through_proxy(stream?),
        Err(_) => Err(ConnError::Timeout),
    }
}

async fn read(conn: &mut Conn, limit: Span) -> Result<FromPooler, ConnError> {
    let line = conn.line(limit.as_duration()).await?;
    decode(line).ok_or(ConnError::Timeout)
}
