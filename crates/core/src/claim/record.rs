//! Claim record: the table's record of a non-idempotent call, and its keys and stored answer.

use {
    crate::ids::{RequestId, ServiceName, TeamName},
    serde::{Deserialize, Serialize},
    serde_with::{DeserializeFromStr, SerializeDisplay},
    sha2::{Digest, Sha256},
    std::{error::Error, fmt, fmt::Write as _, result, str::FromStr},
};

/// Maximum number of attempts that one record excludes. This bounds the size of a record: 64 nonces
/// take at most 1.4 KB of JSON. By default, an entry makes three attempts for each request, so a
/// caller can retry with the same key about 20 times after `not-run` before the list is full.
pub const MAX_EXCLUDED: usize = 64;

/// Result of encoding or decoding a record or a body hash.
pub type Result<T> = result::Result<T, RecordError>;

/// Claim record or body hash that cannot be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordError {
    /// Description of the error.
    pub fault: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "claim record: {}", self.fault)
    }
}

impl Error for RecordError {}

/// SHA-256 of the method, path and body of a call; written as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, PartialEq, SerializeDisplay)]
pub struct BodyHash(pub [u8; 32]);

impl BodyHash {
    /// Hashes the method, path and body of a call, separated by zero bytes.
    pub fn of_call(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes()] {
            hasher.update(part);
            hasher.update([0]);
        }
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}

impl fmt::Display for BodyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for BodyHash {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self> {
        let fail = || RecordError {
            fault: "body hash is not 64 hexadecimal digits".to_owned(),
        };
        if text.len() != 64 || !text.is_ascii() {
            return Err(fail());
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| fail())?;
        }
        Ok(Self(hash))
    }
}

/// Idempotency key with the scope in which it is unique: a service and a team.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimScope {
    /// Service of the call.
    pub service: ServiceName,
    /// Team of the caller.
    pub team: TeamName,
    /// Idempotency key, chosen by the caller or else by the entry.
    pub key: String,
}

impl ClaimScope {
    /// Returns the prefix of the table keys of all records of a service.
    pub fn service_prefix(service: &ServiceName) -> String {
        format!("claim/{service}/")
    }

    /// Returns the table key of the record.
    pub fn table_key(&self) -> String {
        let prefix = Self::service_prefix(&self.service);
        format!("{prefix}{}/{}", self.team, escape_key(&self.key))
    }

    /// Returns the object store key of the answer of the attempt with this nonce.
    pub fn object_key(&self, nonce: u64) -> String {
        let key = escape_key(&self.key);
        format!("answer/{}/{}/{key}/{nonce:016x}", self.service, self.team)
    }
}

/// Escapes an idempotency key for use as a single segment of a URL path. Other bytes than letters,
/// digits, `.`, `_` and `-` become `~` and two hexadecimal digits; `%` cannot be used because
/// servers decode it in paths.
fn escape_key(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-') {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string never fails.
            let _ = write!(escaped, "~{byte:02X}");
        }
    }
    escaped
}

/// Header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: AnswerBody,
}

/// Body or header value of a stored answer. Text is stored as text, so that it is readable in the
/// table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AnswerBody {
    /// Bytes that are valid UTF-8.
    Text(String),
    /// Bytes that are not valid UTF-8.
    Bytes(Vec<u8>),
}

impl From<&[u8]> for AnswerBody {
    fn from(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(bytes.to_vec()),
        }
    }
}

impl AnswerBody {
    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Bytes(bytes) => bytes,
            Self::Text(text) => text.as_bytes(),
        }
    }
}

/// Stored answer of a call that has run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kept")]
pub enum StoredAnswer {
    /// The whole answer is in the record.
    Inline {
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: Vec<AnswerHeader>,
        /// Body of the answer.
        body: AnswerBody,
    },
    /// Status and headers are in the record, and the body is in the object store.
    Object {
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: Vec<AnswerHeader>,
        /// Object store key of the body.
        key: String,
        /// Length of the body in bytes.
        length: u64,
        /// XXH3-64 hash of the body.
        checksum: u64,
    },
    /// The call has run, but its answer could not be stored.
    NotStored,
}

/// State of a claim record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The key is claimed by an attempt, which may have run the call.
    Started,
    /// The call has run.
    Done {
        /// Answer of the call.
        answer: StoredAnswer,
    },
    /// The call has not run, and the excluded attempts can no longer run it.
    Tombstone,
}

/// Record at the table key of a [`ClaimScope`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// State of the claim.
    #[serde(flatten)]
    pub state: ClaimState,
    /// Hash of the call, which detects that a key is reused for a different call.
    pub body_hash: BodyHash,
    /// Nonce of the attempt that wrote the record, or for whose settlement it was written.
    pub nonce: u64,
    /// Nonces of the attempts that have certainly not run the call and must never run it. Every
    /// later record of the key carries them over, because the process of an excluded attempt may
    /// only be paused and resume at any time.
    #[serde(default)]
    pub excluded: Vec<u64>,
    /// Incarnation of the process that wrote the record.
    pub incarnation: u64,
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Time of creation by the table's clock, in milliseconds.
    pub created_ms: u64,
    /// Time after creation for which the record is kept, in milliseconds.
    pub retention_ms: u64,
}

impl ClaimRecord {
    /// Returns whether the record may be deleted at `time_ms` of the table's clock.
    pub fn is_expired(&self, time_ms: u64) -> bool {
        time_ms >= self.created_ms.saturating_add(self.retention_ms)
    }

    /// Returns a copy of the record in another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns whether the record excludes the attempt with this nonce, which must never run.
    pub fn excludes(&self, nonce: u64) -> bool {
        self.excluded.contains(&nonce)
    }

    /// Returns a tombstone that excludes the attempt with this nonce in addition to the attempts
    /// that the record already excludes.
    #[must_use]
    pub fn excluding(&self, nonce: u64) -> Self {
        let mut tombstone = self.with_state(ClaimState::Tombstone);
        if !tombstone.excludes(nonce) {
            tombstone.excluded.push(nonce);
        }
        tombstone
    }

    /// Encodes the record as the JSON text of a table value.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be serialized.
    pub fn encode(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| RecordError {
            fault: error.to_string(),
        })
    }

    /// Decodes a table value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a valid claim record.
    pub fn decode(value: &str) -> Result<Self> {
        serde_json::from_str(value).map_err(|error| RecordError {
            fault: error.to_string(),
        })
    }
}
