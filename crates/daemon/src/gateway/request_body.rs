//! Bodies of callers' requests, read within a size limit.
//!
//! Load pattern: a caller sends a body that is longer than the limit, because the limit was lowered
//! or is not known to it. Closing a connection with unread bytes resets it, and a caller that still
//! sends sees the reset instead of the refusal.

use {
    super::reply::LocalReply,
    bytes::Bytes,
    http::StatusCode,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{error::Error, fmt, result, time::Duration},
    tokio::time::timeout,
};

/// Result of reading a body.
pub type Result<T> = result::Result<T, BodyError>;

/// Largest size of the rest of a body that is read and discarded, in bytes. Longer ones are cut off, so
/// that a refused caller does not keep the gateway busy.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Size limit of a gateway that has no configuration yet, in bytes. It refuses all requests, but only
/// after it has read them.
pub const UNCONFIGURED_LIMIT: usize = 4 << 20;

/// Longest time for the rest of a body that is discarded. Callers know a new limit two seconds after
/// its confirmation and send no longer bodies then.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// The body of a request cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The connection has ended, or what arrived is no valid body.
    Broken,
    /// The body is longer than the limit.
    TooLong,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Broken => "body cannot be read",
            Self::TooLong => "body is too long",
        })
    }
}

impl Error for BodyError {}

impl From<BodyError> for LocalReply {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::rejected(StatusCode::BAD_REQUEST, "body cannot be read"),
            BodyError::TooLong => Self::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"),
        }
    }
}

/// Reads a whole body, also if its request is refused afterwards. `limit` returns the size limit in
/// force, in bytes; a body is too long if it exceeds both the limit at its beginning and the one at
/// that time. The rest of a body that is too long is discarded.
///
/// # Errors
///
/// Fails if the body is too long or ends early.
pub async fn read<B>(mut incoming: B, limit: impl Fn() -> usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let first_limit = limit();
    let mut pieces = Vec::new();
    let mut length = 0;
    while let Some(bytes) = next_bytes(&mut incoming).await? {
        length += bytes.len();
        if length > first_limit && length > limit() {
            // The refusal is the same if the rest ends early or takes too long.
            let _ = timeout(DISCARD_TIMEOUT, discard(&mut incoming)).await;
            return Err(BodyError::TooLong);
        }
        if !bytes.is_empty() {
            pieces.push(bytes);
        }
    }
    Ok(match pieces.as_slice() {
        // Most bodies arrive in one piece, which needs no copy.
        [whole] => whole.clone(),
        pieces => Bytes::from(pieces.concat()),
    })
}

async fn discard<B>(incoming: &mut B) -> Result<()>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match next_bytes(incoming).await? {
            Some(bytes) => discarded += bytes.len(),
            None => break,
        }
    }
    Ok(())
}

/// Returns the next piece of a body, which is empty for trailers; `None` at its end.
async fn next_bytes<B>(incoming: &mut B) -> Result<Option<Bytes>>
where
    B: Body<Data = Bytes> + Unpin,
{
    match incoming.frame().await {
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(_)) => Err(BodyError::Broken),
        None => Ok(None),
    }
}
