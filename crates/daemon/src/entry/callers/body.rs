//! Reading of request bodies, bounded in size, time and total memory.

use {
    super::answer::Refusal,
    crate::constants::{DISCARD_TIMEOUT, MAX_BODY_BYTES, MAX_DISCARDED_BYTES, SMALL_BODY_MEMORY},
    bytes::{Bytes, BytesMut},
    http::StatusCode,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    sassafrasslip_core::dispatch::caller_memory::SMALL_BODY_BYTES,
    std::{result, sync::Arc},
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, timeout, timeout_at},
    },
};

/// Result of reading a body; the error is the refusal for the caller.
pub type Result<T> = result::Result<T, Refusal>;

/// Body of a request. Its share of the body memory is released when it is dropped.
#[derive(Debug)]
pub struct RequestBody {
    /// Content of the body.
    pub bytes: Bytes,
    _memory: Option<OwnedSemaphorePermit>,
}

impl RequestBody {
    /// Creates a body that does not count against the body memory of the entry.
    pub fn unaccounted(bytes: Bytes) -> Self {
        Self {
            bytes,
            _memory: None,
        }
    }
}

/// Reads a body of at most [`MAX_BODY_BYTES`] until `deadline`.
///
/// `memory` has one permit for each byte that the bodies of all requests may still take.
///
/// # Errors
///
/// Fails with 413 if the body is too large, 408 if it has not arrived by `deadline`, 400 if it
/// cannot be read, and 503 if `memory` has too few permits left.
pub async fn read(
    incoming: Incoming,
    memory: &Arc<Semaphore>,
    deadline: Instant,
) -> Result<RequestBody> {
    if incoming.size_hint().lower() > MAX_BODY_BYTES as u64 {
        tokio::spawn(discard(incoming));
        return Err(oversized());
    }
    let timed_out = || {
        let message = "the caller did not send its request in time";
        Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "slow_caller", message)
    };
    let reading = async {
        let mut incoming = incoming;
        let read = read_frames(&mut incoming, memory).await;
        if read.is_err() {
            tokio::spawn(discard(incoming));
        }
        read
    };
    timeout_at(deadline, reading)
        .await
        .unwrap_or_else(|_| Err(timed_out()))
}

/// Reads and drops the rest of a refused body, up to [`MAX_DISCARDED_BYTES`] and
/// [`DISCARD_TIMEOUT`].
///
/// A connection that is closed with unread bytes is reset, and the reset can reach the caller
/// before the refusal does.
async fn discard(mut incoming: Incoming) {
    let reading = async {
        let mut length = 0;
        while let Some(Ok(frame)) = incoming.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

async fn read_frames(incoming: &mut Incoming, memory: &Arc<Semaphore>) -> Result<RequestBody> {
    let announced = usize::try_from(incoming.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = BytesMut::new();
    let mut permits: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body cannot be read: {error}");
            Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(oversized());
        }
        // Memory is reserved only for bytes that have arrived, so that slow callers cannot hold
        // memory for bytes that they have not sent.
        let is_small = announced.max(bytes.len() + data.len()) <= SMALL_BODY_BYTES;
        let permit = reserve(memory, data.len(), is_small)?;
        match &mut permits {
            Some(permits) => permits.merge(permit),
            None => permits = Some(permit),
        }
        bytes.extend_from_slice(&data);
    }
    Ok(RequestBody {
        bytes: bytes.freeze(),
        _memory: permits,
    })
}

/// Reserves memory for further `length` bytes of a body, which only a small one takes from
/// [`SMALL_BODY_MEMORY`].
fn reserve(memory: &Arc<Semaphore>, length: usize, is_small: bool) -> Result<OwnedSemaphorePermit> {
    let busy = || {
        let message = "the entry has no memory left for request bodies";
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "entry_busy", message)
    };
    if !is_small && memory.available_permits() < length + SMALL_BODY_MEMORY {
        return Err(busy());
    }
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    let permit = Arc::clone(memory).try_acquire_many_owned(length);
    permit.map_err(|_| busy())
}

fn oversized() -> Refusal {
    let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "oversized", message)
}
