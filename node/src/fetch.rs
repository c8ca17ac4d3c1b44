//! Complete HTTP responses of limited size, for calls to platform, origin and engine.
//!
//! `minreq` reads a body without a limit and accepts a truncated one as complete. A faulty server
//! could exhaust this host's memory, or have half a record accepted without any sign of it. Here a
//! body over the limit or shorter than its `content-length` is an error. Redirects are not followed,
//! so that a call goes to the configured address only.

use std::io;
use std::io::Read;

/// Result of an HTTP call.
pub(crate) type Result<T> = std::result::Result<T, FetchError>;

/// Reason phrase that minreq sets when the connection was closed before any response.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Why a call returned no complete response.
#[derive(Debug)]
pub(crate) enum FetchError {
    /// The connection was refused: no byte was sent.
    Refused,
    /// The connection failed, or ended before the response was complete.
    Interrupted,
    /// The body is longer than the limit.
    TooLong,
}

/// A complete HTTP response.
pub(crate) struct CompleteResponse {
    /// HTTP status code.
    pub(crate) status: u16,
    /// The body, at most as long as the limit of the call.
    pub(crate) body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl CompleteResponse {
    /// Whether the response has a `content-length`. Any other response may be truncated, as `minreq`
    /// treats the end of a connection between two chunks as the end of the body.
    pub(crate) fn has_content_length(&self) -> bool {
        self.header("content-length").is_some()
    }

    /// The value of the first header of this name, ignoring ASCII case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Sends `request` and reads at most `limit` bytes of body.
pub(crate) fn fetch(request: minreq::Request, limit: usize) -> Result<CompleteResponse> {
    let mut response = request.with_follow_redirects(false).send_lazy().map_err(read_error)?;
    // If the connection was closed before any response, minreq returns a 503 with this reason. A
    // real 503 means that nothing was written, but here a write may have taken effect.
    if response.reason_phrase == NO_STATUS_LINE {
        return Err(FetchError::Interrupted);
    }
    let status = response.status_code;
    let headers = std::mem::take(&mut response.headers);
    let content_length = header(&headers, "content-length").and_then(|text| text.parse().ok());
    if content_length.is_some_and(|len: usize| len > limit) {
        return Err(FetchError::TooLong);
    }
    let mut body = Vec::new();
    let read_limit = limit as u64 + 1;
    response.take(read_limit).read_to_end(&mut body).map_err(|_| FetchError::Interrupted)?;
    if body.len() > limit {
        return Err(FetchError::TooLong);
    }
    if content_length.is_some_and(|len| body.len() < len) {
        return Err(FetchError::Interrupted);
    }
    Ok(CompleteResponse { status, body, headers })
}

fn read_error(error: minreq::Error) -> FetchError {
    match error {
        minreq::Error::IoError(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            FetchError::Refused
        }
        _ => FetchError::Interrupted,
    }
}
