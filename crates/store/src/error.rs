//! Errors of calls to the platform.

/// Why a call got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No endpoint is configured.
    #[error("no store endpoint is configured")]
    NoEndpoint,
    /// No connection could be established: the call had no effect.
    #[error("the platform is unreachable: {0}")]
    Unreachable(#[source] cyper::Error),
    /// The connection failed after the request may have been sent.
    #[error("the connection to the platform failed: {0}")]
    Connection(#[source] cyper::Error),
    /// No response within the time limit.
    #[error("the platform did not respond within {0:?}")]
    Timeout(std::time::Duration),
    /// A response exceeds the size limit.
    #[error("the platform's response has more than {0} bytes")]
    TooLarge(usize),
    /// An HTTP status other than 200.
    #[error("the platform responded with HTTP status {0}")]
    Status(u16),
    /// A response that cannot be decoded.
    #[error("the platform's response cannot be decoded: {0}")]
    Decode(#[source] serde_json::Error),
    /// The service ended the watch, e.g. because the start revision was compacted.
    #[error("the platform ended the watch")]
    WatchEnded,
    /// An endpoint is not a URL.
    #[error("{0:?} is not an HTTP address")]
    Address(String),
}

impl Error {
    /// Whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(
            self,
            Self::NoEndpoint | Self::Unreachable(_) | Self::Address(_)
        )
    }

    pub(crate) fn from_http(e: cyper::Error) -> Self {
        match &e {
            cyper::Error::HyperClient(cause) if cause.is_connect() => Self::Unreachable(e),
            _ => Self::Connection(e),
        }
    }
}
