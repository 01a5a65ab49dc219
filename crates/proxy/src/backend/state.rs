//! What is known of a backend connection's state.

use pg::frame::Frame;
use pg::tag;

/// State of the transaction on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed.
    Failed,
}

impl Status {
    /// Reads the status byte of a ready message.
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::Open),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }

    /// The status byte of a ready message.
    pub fn byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Open => b'T',
            Self::Failed => b'E',
        }
    }
}

/// Counts what a connection still owes.
///
/// Invariant: `due` is the number of ready messages that the server has yet to
/// send. A connection that owes one is never handed to another session, or that
/// session would read the answer to somebody else's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tracker {
    due: u32,
    /// Whether messages were sent that no ready message has covered yet.
    open: bool,
    status: Status,
    tainted: bool,
}

impl Default for Tracker {
    fn default() -> Self {
        Self {
            due: 0,
            open: false,
            status: Status::Idle,
            tainted: false,
        }
    }
}

impl Tracker {
    /// Messages leave that will be answered with `readies` ready messages.
    pub fn sent(&mut self, readies: u32) {
        self.due += readies;
        self.open = false;
    }

    /// Messages leave that are not followed by a ready message.
    pub fn open(&mut self) {
        self.open = true;
    }

    /// A message arrived.
    pub fn received(&mut self, frame: &Frame) {
        if frame.tag != tag::READY {
            return;
        }
        let status = frame.raw.last().copied().and_then(Status::from_byte);
        match (self.due.checked_sub(1), status) {
            (Some(due), Some(status)) => {
                self.due = due;
                self.status = status;
            }
            // A ready message that nobody asked for: what follows cannot be told
            // from the next session's answer.
            _ => self.tainted = true,
        }
    }

    /// Marks the connection as not fit for another session.
    pub fn taint(&mut self) {
        self.tainted = true;
    }

    /// State of the transaction as last reported.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether another session may use the connection.
    pub fn is_clean(&self) -> bool {
        self.due == 0 && !self.open && !self.tainted && self.status == Status::Idle
    }
}
