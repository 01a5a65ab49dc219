//! Lending connections to other proxies.

use std::rc::Rc;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{self, Either};
use model::unit::{Span, Time};
use policy::pool::Reason;
use policy::proof::Proof;
use policy::replica_ack::Write;

use super::{FromCarrier, MARK, Returned, ToCarrier, decode, encode, from_wire};
use crate::clock;
use crate::conn::Conn;
use crate::cx::Cx;
use crate::group::{CheckedOut, Feedback};
use crate::stop::Phase;
use crate::stream::{self, Reader, StreamError, Writer};
use platform::line;

/// Takes connections of other proxies.
pub async fn serve(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                compio::runtime::spawn(async move {
                    if let Err(e) = lend(&cx, stream).await {
                        tracing::debug!(cause = %e, "another proxy went");
                    }
                })
                .detach();
            }
            Err(e) => {
                tracing::error!(cause = %e, "another proxy was not accepted");
                clock::sleep_until(clock::now() + Span::from_millis(20)).await;
            }
        }
    }
}

async fn lend(cx: &Rc<Cx>, stream: TcpStream) -> Result<(), StreamError> {
    let (mut reader, mut writer) = stream::split(stream)?;
    loop {
        let request = decode::<ToCarrier>(reader.line().await?);
        let request = request.ok_or(StreamError::Closed)?;
        if !matches!(request, ToCarrier::Ask { .. }) {
            answer(cx, request, &mut writer).await?;
            continue;
        }
        let Some((group, ask)) = from_wire(request) else {
            return Err(StreamError::Closed);
        };
        if cx.stop.phase() != Phase::Serving {
            writer.send(encode(&FromCarrier::Elsewhere)).await?;
            continue;
        }
        let Some(handle) = cx.group(&group) else {
            writer.send(encode(&FromCarrier::Starting)).await?;
            continue;
        };
        writer.send(encode(&FromCarrier::Heard)).await?;
        // Counted like a session: the shutdown waits for what it carries.
        let _entered = cx.count_session();
        match handle.request(ask).await {
            Ok(lent) => carry(lent, &mut reader, &mut writer).await?,
            Err(refused) if refused.reason == Reason::Unreachable => {
                writer.send(encode(&FromCarrier::OutOfReach)).await?;
            }
            Err(refused) => writer.send(encode(&FromCarrier::Refused(refused))).await?,
        }
    }
}

/// Answers a request for something else than a connection.
async fn answer(cx: &Rc<Cx>, request: ToCarrier, writer: &mut Writer) -> Result<(), StreamError> {
    let answer = match request {
        ToCarrier::Report { by, concerns } => {
            cx.reports.told(by, concerns, clock::now());
            FromCarrier::Heard
        }
        ToCarrier::Follow { after, wait } => {
            writer.send(encode(&FromCarrier::Heard)).await?;
            let news = cx.feed.after(after, wait).await;
            news.map_or(FromCarrier::Elsewhere, FromCarrier::News)
        }
        ToCarrier::Changes { within } => {
            writer.send(encode(&FromCarrier::Heard)).await?;
            match cx.changes.ask_store(within).recv_async().await {
                Ok(noted) => FromCarrier::Changing(noted.as_ref().clone()),
                Err(flume::RecvError::Disconnected) => FromCarrier::Elsewhere,
            }
        }
        ToCarrier::Prove {
            group,
            primary,
            point,
            left,
        } => {
            let _entered = cx.count_session();
            let write = Write { primary, point };
            FromCarrier::Proved(match cx.group(&group) {
                Some(handle) => handle.await_ack(write, clock::now() + left).await,
                None => false,
            })
        }
        ToCarrier::Ask { .. } | ToCarrier::Return(_) => return Err(StreamError::Closed),
    };
    writer
        .send(encode(&answer))
        .await
        .map_err(StreamError::from)
}

async fn carry(
    mut lent: CheckedOut,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), StreamError> {
    let granted = FromCarrier::Granted {
        instance: lent.instance.clone(),
        after: lent.after,
        prove: lent.verify_primary,
        held: lent.conn().map(|c| c.held()).unwrap_or_default(),
    };
    let since = clock::now();
    writer.send(encode(&granted)).await?;
    let Some(conn) = lent.conn() else {
        return Err(StreamError::Closed);
    };
    match pipe(conn, reader, writer).await {
        Ok(returned) => {
            settle(lent, since, returned);
            Ok(())
        }
        Err(End::Instance(e)) => {
            tracing::info!(instance = %lent.instance, cause = %e, "a lent connection broke");
            lent.record_feedback(Feedback::Silent);
            Err(e)
        }
        // The borrower is gone; its transaction goes with the connection.
        Err(End::Borrower(e)) => Err(e),
    }
}

fn settle(mut lent: CheckedOut, since: Time, returned: Returned) {
    for note in returned.notes {
        lent.record_feedback(note);
    }
    if !returned.usable {
        return;
    }
    if let Some(conn) = lent.conn() {
        conn.set_held(&returned.held);
        let proof = returned.proof.map(|point| Proof { since, point });
        conn.set_outcome(proof, returned.took, returned.shown);
    }
    lent.release();
}

/// Why a loan ended without being given back.
enum End {
    Instance(StreamError),
    Borrower(StreamError),
}

/// Passes lines on in both directions until the loan is given back.
///
/// The directions run beside each other and neither read is ever cut off in between: a
/// read that is dropped loses what it holds. The one that is dropped in the end holds
/// nothing, since a borrower gives back only after the last answer.
async fn pipe(conn: &mut Conn, reader: &mut Reader, writer: &mut Writer) -> Result<Returned, End> {
    let (from_instance, to_instance) = conn.halves();
    let up = async {
        loop {
            let mut lines = Vec::new();
            loop {
                let text = reader.line().await.map_err(End::Borrower)?;
                if text.first() == Some(&MARK) {
                    return match decode(text) {
                        Some(ToCarrier::Return(returned)) => Ok(returned),
                        _ => Err(End::Borrower(StreamError::Closed)),
                    };
                }
                lines.extend_from_slice(text);
                lines.extend_from_slice(line::END);
                if !reader.has_line() {
                    break;
                }
            }
            let sent = to_instance.send(lines).await;
            sent.map_err(|e| End::Instance(e.into()))?;
        }
    };
    let down = async {
        loop {
            let chunk = from_instance.chunk().await.map_err(End::Instance)?;
            let sent = writer.send(chunk).await;
            sent.map_err(|e| End::Borrower(e.into()))?;
        }
    };
    futures_util::pin_mut!(up, down);
    match future::select(up, down).await {
        Either::Left((end, _)) | Either::Right((end, _)) => end,
    }
}
