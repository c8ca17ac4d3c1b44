//! Whole answers over HTTP within a bound, for the calls to platform, origin and engine.
//!
//! `minreq` reads whatever the other side sends and takes a body that ends early for a whole one.
//! A broken server could fill this host's memory, or have half a record taken for a record; one
//! would notice the first by the host's end and the second by nothing. Here a body over the bound
//! and one shorter than announced are errors, and a redirect is an answer like any other: a call
//! goes to the configured address only.

use std::io;
use std::io::Read;

/// Result of a call.
pub(crate) type Result<T> = std::result::Result<T, FetchError>;

/// The reason that minreq gives when the connection was closed before any answer.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Why there is no whole answer.
#[derive(Debug)]
pub(crate) enum FetchError {
    /// The connection was refused: no byte left this host.
    Refused,
    /// The connection failed, or ended before the answer was whole.
    Broken,
    /// The answer is longer than the bound.
    TooLong,
}

/// A whole answer.
pub(crate) struct Fetched {
    /// HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl Fetched {
    /// Whether the answer announced its length. `minreq` takes the end of a connection between two
    /// chunks for the end of the body, so that any other answer may have been cut short.
    pub(crate) fn is_sized(&self) -> bool {
        self.header("content-length").is_some()
    }

    /// The value of the first header of this name, in any case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Sends `request` and reads at most `limit` bytes of body.
pub(crate) fn fetch(request: minreq::Request, limit: usize) -> Result<Fetched> {
    let mut response = request.with_follow_redirects(false).send_lazy().map_err(read_error)?;
    // For a connection that was closed before any answer, minreq makes up a 503 with this reason. A
    // real 503 says that nothing was written, but here a write may have taken effect.
    if response.reason_phrase == NO_STATUS_LINE {
        return Err(FetchError::Broken);
    }
    let status = response.status_code;
    let headers = std::mem::take(&mut response.headers);
    let announced = header(&headers, "content-length").and_then(|text| text.parse().ok());
    if announced.is_some_and(|len: usize| len > limit) {
        return Err(FetchError::TooLong);
    }
    let mut body = Vec::new();
    let bound = limit as u64 + 1;
    response.take(bound).read_to_end(&mut body).map_err(|_| FetchError::Broken)?;
    if body.len() > limit {
        return Err(FetchError::TooLong);
    }
    if announced.is_some_and(|len| body.len() < len) {
        return Err(FetchError::Broken);
    }
    Ok(Fetched { status, body, headers })
}

fn read_error(error: minreq::Error) -> FetchError {
    match error {
        minreq::Error::IoError(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            FetchError::Refused
        }
        _ => FetchError::Broken,
    }
}
