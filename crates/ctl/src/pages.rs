//! Reading the operators' pages of proxies.

use std::time::Duration;

use crate::error::Failure;

/// Longest wait for one page.
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Why a page could not be read.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// No address of a proxy is known.
    #[error("state --proxy URL or set POMELO_PROXY")]
    NoAddress,
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] cyper::Error),
    /// No answer in time.
    #[error("no answer within {TIME_LIMIT:?}")]
    Timeout,
    /// Another status than 200.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The page has another form.
    #[error("unexpected page: {0}")]
    Form(#[from] serde_json::Error),
}

/// Reads a page from the first proxy that answers.
pub async fn read<T: serde::de::DeserializeOwned>(
    proxies: &[String],
    path: &str,
) -> Result<T, Failure> {
    let mut last = Failure::Page {
        url: path.to_owned(),
        cause: PageError::NoAddress,
    };
    for proxy in proxies {
        let url = format!("{}{path}", proxy.trim_end_matches('/'));
        match compio::time::timeout(TIME_LIMIT, fetch(&url)).await {
            Ok(Ok(page)) => return Ok(page),
            Ok(Err(cause)) => last = Failure::Page { url, cause },
            Err(_) => {
                let cause = PageError::Timeout;
                last = Failure::Page { url, cause };
            }
        }
    }
    Err(last)
}

async fn fetch<T: serde::de::DeserializeOwned>(url: &str) -> Result<T, PageError> {
    let client = cyper::Client::builder().no_proxy().build()?;
    let response = client.get(url)?.send().await?;
    match response.status().as_u16() {
        200 => Ok(serde_json::from_slice(&response.bytes().await?)?),
        status => Err(PageError::Status(status)),
    }
}
