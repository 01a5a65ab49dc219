//! Gathering a caller's messages into whole requests.

use bytes::BytesMut;
use pg::frame::{self, Frame};
use pg::report::{self, Report};
use pg::tag;

/// What a caller sent.
pub(super) enum Input {
    /// The messages of one request; the last one is `Query`, `Sync` or `Flush`.
    Request(Vec<Frame>),
    /// The caller ends the connection.
    Terminate,
}

/// Messages of a request that is not complete yet.
#[derive(Default)]
pub(super) struct Batch {
    messages: Vec<Frame>,
    bytes: usize,
}

impl Batch {
    /// Takes the next whole request off `buf`; `None` until it has arrived.
    ///
    /// Load: a caller that sends messages without end; harm: each is kept until the
    /// request is complete. Beyond `limit` bytes the connection ends.
    pub(super) fn take(&mut self, buf: &mut BytesMut, limit: u64) -> Result<Option<Input>, Report> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        while let Some(frame) = frame::take(buf, limit).map_err(|e| too_large(&e))? {
            match frame.tag {
                tag::TERMINATE => return Ok(Some(Input::Terminate)),
                // Left over from a refused copy, as PostgreSQL treats them too.
                tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => continue,
                tag::QUERY | tag::SYNC | tag::FLUSH => return Ok(Some(self.end(frame))),
                tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {}
                tag::FUNCTION_CALL => {}
                _ => return Err(Report::fatal(report::PROTOCOL, "unexpected message")),
            }
            self.bytes += frame.raw.len();
            if self.bytes > limit {
                let text = format!("a request of more than {limit} bytes");
                return Err(Report::fatal(report::TOO_LARGE, text));
            }
            self.messages.push(frame);
        }
        Ok(None)
    }

    fn end(&mut self, last: Frame) -> Input {
        let mut messages = std::mem::take(&mut self.messages);
        self.bytes = 0;
        messages.push(last);
        Input::Request(messages)
    }
}

fn too_large(e: &frame::FrameError) -> Report {
    let code = match e {
        frame::FrameError::Length(_) => report::PROTOCOL,
        frame::FrameError::TooLong { .. } => report::TOO_LARGE,
    };
    Report::fatal(code, e.to_string())
}
