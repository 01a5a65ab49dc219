//! Queries to store readers: updates of the store, and changes of primary in progress.

use std::net::SocketAddr;

use indexmap::IndexSet;
use model::id::{GroupId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use store::client::TIME_LIMIT;
use store::mirror::Update;

use super::{Client, GRACE, connect, decode, read};
use crate::clock;
use crate::conn::{Conn, ConnError};
use crate::feed::PackError;
use crate::relay::{FromPooler, RECEIPT_TIMEOUT, ToPooler, encode};
use crate::stream::StreamError;

/// Longest wait until a store reader confirms a query, and between two parts of its update.
///
/// A store reader may have to fetch, pack and send a configuration of a megabyte to its whole
/// data centre over a link of a few Mbit/s. With a shorter timeout, or one for the whole
/// response, all followers would time out at once and fetch the megabyte themselves, which
/// fills the link between the regions for longer than their next attempts last.
const PART_TIMEOUT: Span = Span::from_millis(1_000);

/// Why a store reader sent no response that can be used.
#[derive(Debug, thiserror::Error)]
pub enum FollowFailure {
    /// It is no longer known.
    #[error("it is no longer known")]
    Unknown,
    /// It does not read the store itself at present.
    #[error("it does not read the store itself")]
    NotReading,
    /// Its update ends at an earlier revision than this proxy knows.
    #[error("its update is out of date")]
    Behind,
    /// It confirmed the query and then sent nothing in time.
    #[error("it sent no update in time")]
    Silent,
    /// It did not respond.
    #[error(transparent)]
    Conn(#[from] ConnError),
    /// Its update cannot be unpacked.
    #[error(transparent)]
    Pack(#[from] PackError),
}

impl Client {
    /// Queries a store reader for the updates after a revision.
    pub async fn follow(
        &self,
        reader: &ProxyId,
        address: SocketAddr,
        after: Revision,
        wait: Span,
    ) -> Result<Update, FollowFailure> {
        let request = ToPooler::Follow { after, wait };
        let deadline = clock::now() + wait + PART_TIMEOUT;
        let idle = self.take_idle(reader);
        let reused = idle.is_some();
        let mut result = self
            .try_follow(idle, reader, address, &request, deadline)
            .await;
        if reused && has_failed(&result) {
            // The reader may have restarted since the connection was last used.
            result = self
                .try_follow(None, reader, address, &request, deadline)
                .await;
        }
        result
    }

    /// Queries a store reader for the groups with a change of primary in progress; it may delay
    /// its query to the store by up to `within`.
    pub async fn changes(
        &self,
        reader: &ProxyId,
        address: SocketAddr,
        within: Span,
    ) -> Result<IndexSet<GroupId>, FollowFailure> {
        let idle = self.take_idle(reader);
        let reused = idle.is_some();
        let mut result = self.try_changes(idle, reader, address, within).await;
        if reused && has_failed(&result) {
            // The reader may have restarted since the connection was last used.
            result = self.try_changes(None, reader, address, within).await;
        }
        result
    }

    async fn try_changes(
        &self,
        conn: Option<Conn>,
        reader: &ProxyId,
        address: SocketAddr,
        within: Span,
    ) -> Result<IndexSet<GroupId>, FollowFailure> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(&ToPooler::Changes { within })).await?;
        let response = match read(&mut conn, Span::from(RECEIPT_TIMEOUT)).await? {
            FromPooler::Heard => read(&mut conn, within + Span::from(TIME_LIMIT) + GRACE).await?,
            other => other,
        };
        self.keep(reader, conn);
        match response {
            FromPooler::Changing(groups) => Ok(groups),
            _ => Err(FollowFailure::NotReading),
        }
    }

    async fn try_follow(
        &self,
        conn: Option<Conn>,
        reader: &ProxyId,
        address: SocketAddr,
        request: &ToPooler,
        deadline: Time,
    ) -> Result<Update, FollowFailure> {
        let mut conn = match conn {
            Some(conn) => conn,
            None => connect(address).await?,
        };
        conn.send(encode(request)).await?;
        let response = match read(&mut conn, PART_TIMEOUT).await? {
            FromPooler::Heard => read_update(&mut conn, deadline).await?,
            other => other,
        };
        self.keep(reader, conn);
        match response {
            FromPooler::News(packed) => Ok(packed.unpack()?),
            _ => Err(FollowFailure::NotReading),
        }
    }
}

/// Whether the connection or the response was unusable.
///
/// A proxy that is silent after its confirmation would be on a new connection, too.
const fn has_failed<T>(result: &Result<T, FollowFailure>) -> bool {
    use FollowFailure::{NotReading, Silent};
    !matches!(result, Ok(_) | Err(NotReading | Silent))
}

/// Reads the response with an update, whose first part arrives before the deadline.
async fn read_update(conn: &mut Conn, deadline: Time) -> Result<FromPooler, FollowFailure> {
    let first_timeout = deadline.since(clock::now());
    match conn.long_line(first_timeout, PART_TIMEOUT).await {
        Ok(line) => decode(line).ok_or(FollowFailure::Conn(ConnError::Timeout)),
        Err(ConnError::Stream(StreamError::Timeout)) => Err(FollowFailure::Silent),
        Err(e) => Err(e.into()),
    }
}
