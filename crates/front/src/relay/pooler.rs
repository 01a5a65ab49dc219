//! The pooler's side: grants connections to other proxies and responds to their queries.

use std::rc::Rc;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{self, Either};
use model::unit::{Span, Time};
use policy::pool::Reason;
use policy::proof::Proof;
use policy::replica_ack::Write;

use super::{FromPooler, MARK, Returned, ToPooler, decode, encode, from_wire};
use crate::clock;
use crate::conn::Conn;
use crate::cx::Cx;
use crate::group::{CheckedOut, Feedback};
use crate::stop::Phase;
use crate::stream::{self, Reader, StreamError, Writer};
use platform::line;

/// Accepts and serves connections from other proxies.
pub async fn serve(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                compio::runtime::spawn(async move {
                    if let Err(e) = serve_peer(&cx, stream).await {
                        tracing::debug!(cause = %e, "the connection to another proxy ended");
                    }
                })
                .detach();
            }
            Err(e) => {
                tracing::error!(cause = %e, "a connection from another proxy was not accepted");
                clock::sleep_until(clock::now() + Span::from_millis(20)).await;
            }
        }
    }
}

async fn serve_peer(cx: &Rc<Cx>, stream: TcpStream) -> Result<(), StreamError> {
    let (mut reader, mut writer) = stream::split(stream)?;
    loop {
        let request = decode::<ToPooler>(reader.line().await?);
        let request = request.ok_or(StreamError::Closed)?;
        if !matches!(request, ToPooler::Ask { .. }) {
            respond(cx, request, &mut writer).await?;
            continue;
        }
        let Some((group, request)) = from_wire(request) else {
            return Err(StreamError::Closed);
        };
        if cx.stop.phase() >= Phase::Closing {
            writer.send(encode(&FromPooler::Elsewhere)).await?;
            continue;
        }
        let Some(handle) = cx.group(&group) else {
            writer.send(encode(&FromPooler::Starting)).await?;
            continue;
        };
        writer.send(encode(&FromPooler::Heard)).await?;
        // Counted like a session, so that the shutdown waits for the checkout.
        let _entered = cx.count_session();
        match handle.request(request).await {
            Ok(checkout) => serve_checkout(checkout, &mut reader, &mut writer).await?,
            Err(rejection) if rejection.reason == Reason::Unreachable => {
                writer.send(encode(&FromPooler::OutOfReach)).await?;
            }
            Err(rejection) => writer.send(encode(&FromPooler::Refused(rejection))).await?,
        }
    }
}

/// Responds to a request other than one for a connection.
async fn respond(cx: &Rc<Cx>, request: ToPooler, writer: &mut Writer) -> Result<(), StreamError> {
    let response = match request {
        ToPooler::Report { by, concerns } => {
            cx.reports.receive(by, concerns, clock::now());
            FromPooler::Heard
        }
        ToPooler::Permits { customer, count } => {
            FromPooler::Permits(cx.quotas.grant(&customer, count))
        }
        ToPooler::Knows { customer, revision } => {
            FromPooler::Knows(cx.quotas.knows(&customer, revision).await)
        }
        ToPooler::Follow { after, wait } => {
            writer.send(encode(&FromPooler::Heard)).await?;
            let update = cx.feed.after(after, wait).await;
            update.map_or(FromPooler::Elsewhere, FromPooler::News)
        }
        ToPooler::Changes { .. } if !cx.feed.reaches_store() => FromPooler::Elsewhere,
        ToPooler::Changes { within } => {
            writer.send(encode(&FromPooler::Heard)).await?;
            match cx.changes.query_store(within).recv_async().await {
                Ok(groups) => FromPooler::Changing(groups.as_ref().clone()),
                Err(flume::RecvError::Disconnected) => FromPooler::Elsewhere,
            }
        }
        ToPooler::Prove {
            group,
            primary,
            point,
            left,
        } => {
            let _entered = cx.count_session();
            let write = Write { primary, point };
            FromPooler::Proved(match cx.group(&group) {
                Some(handle) => handle.await_ack(write, clock::now() + left).await,
                None => false,
            })
        }
        ToPooler::Ask { .. } | ToPooler::Return(_) => return Err(StreamError::Closed),
    };
    writer
        .send(encode(&response))
        .await
        .map_err(StreamError::from)
}

async fn serve_checkout(
    mut checkout: CheckedOut,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), StreamError> {
    let granted = FromPooler::Granted {
        instance: checkout.instance.clone(),
        after: checkout.after,
        prove: checkout.verify_primary,
        held: checkout.conn().map(|c| c.held()).unwrap_or_default(),
    };
    let granted_at = clock::now();
    writer.send(encode(&granted)).await?;
    let Some(conn) = checkout.conn() else {
        return Err(StreamError::Closed);
    };
    match pipe(conn, reader, writer).await {
        Ok(returned) => {
            release(checkout, granted_at, returned);
            Ok(())
        }
        Err(PipeError::Instance(e)) => {
            tracing::info!(instance = %checkout.instance, cause = %e, "a checked-out connection broke");
            checkout.record_feedback(Feedback::Silent);
            Err(e)
        }
        // The client proxy is gone; closing the connection rolls its transaction back.
        Err(PipeError::Client(e)) => Err(e),
    }
}

fn release(mut checkout: CheckedOut, granted_at: Time, returned: Returned) {
    for note in returned.notes {
        checkout.record_feedback(note);
    }
    if !returned.usable {
        return;
    }
    if let Some(conn) = checkout.conn() {
        conn.set_held(&returned.held);
        let proof = returned.proof.map(|point| Proof {
            since: granted_at,
            point,
        });
        conn.set_outcome(proof, returned.took, returned.shown);
    }
    checkout.release();
}

/// Which side ended a checkout before the connection was returned.
enum PipeError {
    Instance(StreamError),
    Client(StreamError),
}

/// Forwards lines in both directions until the connection is returned.
///
/// The directions run concurrently. The read from the instance stays in progress at the end, and
/// belongs to whoever uses the connection next.
async fn pipe(
    conn: &mut Conn,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<Returned, PipeError> {
    let (from_instance, to_instance) = conn.halves();
    let upstream = async {
        loop {
            let mut lines = Vec::new();
            loop {
                let text = reader.line().await.map_err(PipeError::Client)?;
                if text.first() == Some(&MARK) {
                    return match decode(text) {
                        Some(ToPooler::Return(returned)) => Ok(returned),
                        _ => Err(PipeError::Client(StreamError::Closed)),
                    };
                }
                lines.extend_from_slice(text);
                lines.extend_from_slice(line::END);
                if !reader.has_line() {
                    break;
                }
            }
            let sent = to_instance.send(lines).await;
            sent.map_err(|e| PipeError::Instance(e.into()))?;
        }
    };
    let downstream = async {
        loop {
            let chunk = from_instance.chunk().await.map_err(PipeError::Instance)?;
            let sent = writer.send(chunk).await;
            sent.map_err(|e| PipeError::Client(e.into()))?;
        }
    };
    futures_util::pin_mut!(upstream, downstream);
    match future::select(upstream, downstream).await {
        Either::Left((end, _)) | Either::Right((end, _)) => end,
    }
}
