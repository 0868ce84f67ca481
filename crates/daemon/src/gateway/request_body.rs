//! Bodies of callers' requests, read within a size limit and the memory for all bodies.
//!
//! Load pattern: a caller sends a body that is longer than the limit, because the limit was lowered
//! or is not known to it. Closing a connection with unread bytes resets it, and a caller that still
//! sends sees the reset instead of the refusal.

use {
    super::{
        caller_memory::{MemoryExceeded, MemoryShare},
        reply::LocalReply,
    },
    bytes::Bytes,
    http::StatusCode,
    http_body_util::BodyExt,
    hyper::body::Body,
    sassafrasslip_core::dispatch::caller_memory::SMALL_BODY_BYTES,
    std::{error::Error, fmt, result, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
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

/// Longest time without a byte of a body: the usual limit on idle connections. Callers do not wait as
/// long for a whole request.
pub const STALL_LIMIT: Duration = Duration::from_secs(15);

/// Longest time for the body of a request that matches no route, or that names no timeout.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for the rest of a body that has given way. It is shorter than for others, because its
/// connection may be needed for another caller.
const DISPLACED_DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Retry delay for callers whose body does not fit into the memory. Bodies that make no progress give
/// way after a second.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Body of a request, and the memory that it holds.
#[derive(Debug)]
pub struct RequestBody {
    /// Content of the body.
    pub bytes: Bytes,
    _share: Option<MemoryShare>,
}

/// The body of a request cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The connection has ended, or what arrived is no valid body.
    Broken,
    /// The body is longer than the limit.
    TooLong,
    /// The memory for bodies is used up, or this body has given way to others.
    NoMemory,
    /// No byte has arrived for too long, or the whole body takes longer than its caller waits.
    Stalled,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Broken => "body cannot be read",
            Self::TooLong => "body is too long",
            Self::NoMemory => "memory for bodies is used up",
            Self::Stalled => "body takes too long",
        })
    }
}

impl Error for BodyError {}

impl From<MemoryExceeded> for BodyError {
    fn from(_: MemoryExceeded) -> Self {
        Self::NoMemory
    }
}

impl From<BodyError> for LocalReply {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::rejected(StatusCode::BAD_REQUEST, "body cannot be read"),
            BodyError::TooLong => Self::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"),
            BodyError::NoMemory => {
                Self::not_run("memory for bodies is used up", MEMORY_RETRY_DELAY)
            }
            BodyError::Stalled => {
                Self::rejected(StatusCode::REQUEST_TIMEOUT, "body takes too long")
            }
        }
    }
}

/// Reads a whole body, also if its request is refused afterwards. `limit` returns the size limit in
/// force, in bytes; a body is too long if it exceeds both the limit at its beginning and the one at
/// that time. The body has to end at `until`. The rest of a body that is refused is discarded.
/// `begin_share` starts the share of the memory, which gives way when its token is cancelled.
///
/// # Errors
///
/// Fails if the body is too long, ends early or takes too long, or if there is no memory for it.
pub async fn read<B>(
    mut incoming: B,
    limit: impl Fn() -> usize,
    until: Instant,
    begin_share: impl FnOnce(CancellationToken) -> MemoryShare,
) -> Result<RequestBody>
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    if incoming.is_end_stream() {
        return Ok(RequestBody {
            bytes: Bytes::new(),
            _share: None,
        });
    }
    let first_limit = limit();
    let announced = incoming.size_hint().lower();
    // A raised limit may still reach this gateway, but not one that is so much higher.
    if announced > first_limit.max(MAX_DISCARDED_BYTES) as u64 {
        discard_later(incoming, DISCARD_TIMEOUT);
        return Err(BodyError::TooLong);
    }
    let displaced = CancellationToken::new();
    let share = begin_share(displaced.clone());
    let reading = collect(&mut incoming, &limit, first_limit, &share);
    let collected = tokio::select! {
        biased;
        () = displaced.cancelled() => Err(BodyError::NoMemory),
        collected = timeout_at(until, reading) => collected.unwrap_or(Err(BodyError::Stalled)),
    };
    match collected {
        Ok(bytes) => {
            share.pin();
            Ok(RequestBody {
                bytes,
                _share: Some(share),
            })
        }
        Err(error) => {
            drop(share);
            match error {
                // The refusal is the same if the rest ends early or takes too long.
                BodyError::TooLong => {
                    let _ = timeout(DISCARD_TIMEOUT, discard(&mut incoming)).await;
                }
                BodyError::NoMemory if displaced.is_cancelled() => {
                    discard_later(incoming, DISPLACED_DISCARD_TIMEOUT);
                }
                BodyError::NoMemory => discard_later(incoming, DISCARD_TIMEOUT),
                BodyError::Broken | BodyError::Stalled => {}
            }
            Err(error)
        }
    }
}

/// Copies the pieces of a body into one buffer. A piece of its own would hold the whole buffer of the
/// connection that it was read into, however short it is.
async fn collect<B>(
    incoming: &mut B,
    limit: &impl Fn() -> usize,
    first_limit: usize,
    share: &MemoryShare,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = incoming.size_hint().exact();
    let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
    let mut whole = Vec::new();
    loop {
        let next = timeout(STALL_LIMIT, next_bytes(incoming)).await;
        let Some(bytes) = next.map_err(|_| BodyError::Stalled)?? else {
            return Ok(Bytes::from(whole));
        };
        let length = whole.len() + bytes.len();
        if length > first_limit && length > limit() {
            return Err(BodyError::TooLong);
        }
        if length > whole.capacity() {
            let highest = announced
                .unwrap_or(usize::MAX)
                .min(first_limit.max(limit()));
            let capacity = next_capacity(length, highest);
            share.grow(capacity).await?;
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&bytes);
        share.note_progress();
    }
}

/// Returns the size of the buffer of a body of which `length` bytes have arrived. It doubles up to
/// `highest`, so that the memory follows what has arrived and not what is announced.
fn next_capacity(length: usize, highest: usize) -> usize {
    let doubled = if length <= SMALL_BODY_BYTES {
        length.next_power_of_two()
    } else {
        2 * length
    };
    doubled.min(highest).max(length)
}

/// Discards the rest of a body beside its refusal, so that the connection is not reset before the
/// caller has read that.
fn discard_later<B>(mut incoming: B, limit: Duration)
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    spawn_local(async move {
        let _ = timeout(limit, discard(&mut incoming)).await;
    });
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
