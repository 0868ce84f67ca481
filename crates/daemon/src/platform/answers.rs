//! Storage for the answers of non-idempotent calls: small ones in the claim record, large ones in
//! the object store.

use {
    super::ObjectStore,
    crate::constants::MAX_INLINE_ANSWER_BYTES,
    bytes::Bytes,
    sassafrasslip_core::{
        claim::{AnswerBody, AnswerHeader, StoredAnswer},
        events::LogEvent::PlatformUnavailable,
        log_event,
    },
    sassafrasslip_proto::link::Header,
    xxhash_rust::xxh3::xxh3_64,
};

/// Answer of a call, buffered as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct WholeAnswer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

/// Converts an answer to the form in which its claim record stores it. A body above
/// [`MAX_INLINE_ANSWER_BYTES`] is first written to the object store under `object_key`; if that
/// fails, the result is [`StoredAnswer::NotStored`].
pub async fn store_answer(
    objects: &dyn ObjectStore,
    object_key: String,
    answer: &WholeAnswer,
) -> StoredAnswer {
    let status = answer.status;
    let headers = answer.headers.iter().map(|header| AnswerHeader {
        name: header.name.clone(),
        value: AnswerBody::from(header.value.as_ref()),
    });
    let headers = headers.collect();
    if answer.body.len() <= MAX_INLINE_ANSWER_BYTES {
        let body = AnswerBody::from(answer.body.as_ref());
        return StoredAnswer::Inline {
            status,
            headers,
            body,
        };
    }
    if let Err(error) = objects.put(&object_key, answer.body.clone()).await {
        log_event!(PlatformUnavailable, service = "object store", error = error);
        return StoredAnswer::NotStored;
    }
    StoredAnswer::Object {
        status,
        headers,
        key: object_key,
        length: answer.body.len() as u64,
        checksum: xxh3_64(&answer.body),
    }
}

/// Loads a stored answer. Returns `None` if it was not stored, if it cannot be read, or if its
/// length or checksum is wrong.
pub async fn load_answer(objects: &dyn ObjectStore, stored: &StoredAnswer) -> Option<WholeAnswer> {
    match stored {
        StoredAnswer::Inline {
            status,
            headers,
            body,
        } => Some(WholeAnswer {
            status: *status,
            headers: link_headers(headers),
            body: Bytes::copy_from_slice(body.as_bytes()),
        }),
        StoredAnswer::NotStored => None,
        StoredAnswer::Object {
            status,
            headers,
            key,
            length,
            checksum,
        } => {
            let body = objects.get(key).await.ok().flatten()?;
            let whole = body.len() as u64 == *length && xxh3_64(&body) == *checksum;
            whole.then(|| WholeAnswer {
                status: *status,
                headers: link_headers(headers),
                body,
            })
        }
    }
}

fn link_headers(headers: &[AnswerHeader]) -> Vec<Header> {
    let headers = headers.iter().map(|header| Header {
        name: header.name.clone(),
        value: Bytes::copy_from_slice(header.value.as_bytes()),
    });
    headers.collect()
}
