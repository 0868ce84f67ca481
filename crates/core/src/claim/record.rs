//! Record of a non-idempotent call in the table.

use {
    crate::ids::{RequestId, ServiceName, TeamName},
    serde::{Deserialize, Serialize},
    serde_with::{DeserializeFromStr, SerializeDisplay},
    sha2::{Digest, Sha256},
    std::{error::Error, fmt, fmt::Write as _, result, str::FromStr},
};

/// Most attempts that one record excludes. The list bounds the size of a record: 64 nonces take
/// at most 1.4 KB of JSON. An entry makes three attempts at a request by default, so a caller can
/// repeat its key about 20 times after `not-run` before the list is full.
pub const MAX_EXCLUDED: usize = 64;

/// Result of reading a record.
pub type Result<T> = result::Result<T, RecordError>;

/// Value at a claim's key that is no valid record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordError {
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "claim record: {}", self.fault)
    }
}

impl Error for RecordError {}

/// SHA-256 of method, path and body of a call.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, PartialEq, SerializeDisplay)]
pub struct BodyHash(pub [u8; 32]);

impl BodyHash {
    /// Hashes a call: SHA-256 of method, path and body, separated by a zero byte.
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

/// Scope of an idempotency key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimScope {
    /// Service of the call.
    pub service: ServiceName,
    /// Team of the caller.
    pub team: TeamName,
    /// Idempotency key as the caller or the entry chose it.
    pub key: String,
}

impl ClaimScope {
    /// Returns the key prefix of all records of a service.
    pub fn service_prefix(service: &ServiceName) -> String {
        format!("claim/{service}/")
    }

    /// Returns the key of the record in the table.
    pub fn table_key(&self) -> String {
        let prefix = Self::service_prefix(&self.service);
        format!("{prefix}{}/{}", self.team, escape_key(&self.key))
    }

    /// Returns the key of an attempt's answer in the object store.
    pub fn object_key(&self, nonce: u64) -> String {
        let key = escape_key(&self.key);
        format!("answer/{}/{}/{key}/{nonce:016x}", self.service, self.team)
    }
}

/// Escapes a caller's key so that it is one segment of a URL path. The escape character is `~`
/// because servers decode `%` in paths.
fn escape_key(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-') {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(escaped, "~{byte:02X}");
        }
    }
    escaped
}

/// Header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: AnswerBody,
}

/// Bytes of a stored answer; text stays readable in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AnswerBody {
    /// Valid UTF-8.
    Text(String),
    /// Other bytes.
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

/// Answer of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kept")]
pub enum StoredAnswer {
    /// The answer is in the record.
    Inline {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<AnswerHeader>,
        /// Body.
        body: AnswerBody,
    },
    /// The body is in the object store.
    Object {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<AnswerHeader>,
        /// Key of the object.
        key: String,
        /// Length of the body in bytes.
        length: u64,
        /// XXH3-64 of the body.
        checksum: u64,
    },
    /// The call ran, but its answer could not be stored.
    NotStored,
}

/// State of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// An attempt may have run the call.
    Started,
    /// The call ran.
    Done {
        /// Its answer.
        answer: StoredAnswer,
    },
    /// The call was not run, and the excluded attempts cannot run it any more.
    Tombstone,
}

/// Record at a claim's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// State.
    #[serde(flatten)]
    pub state: ClaimState,
    /// Hash of method, path and body.
    pub body_hash: BodyHash,
    /// Nonce of the attempt that wrote the record or was settled by it.
    pub nonce: u64,
    /// Nonces of the attempts that are proved not to have run and must never run. Every later
    /// record of the key carries them over, because an excluded attempt may only be frozen.
    #[serde(default)]
    pub excluded: Vec<u64>,
    /// Incarnation of the process that wrote the record.
    pub incarnation: u64,
    /// Request of the attempt.
    pub request_id: RequestId,
    /// Time of creation by the table's clock, in milliseconds.
    pub created_ms: u64,
    /// Time for which the record is kept, in milliseconds.
    pub retention_ms: u64,
}

impl ClaimRecord {
    /// Returns whether the record may be deleted at a time of the table's clock.
    pub fn is_expired(&self, time_ms: u64) -> bool {
        time_ms >= self.created_ms.saturating_add(self.retention_ms)
    }

    /// Returns the record with another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns whether the attempt with this nonce must never run.
    pub fn excludes(&self, nonce: u64) -> bool {
        self.excluded.contains(&nonce)
    }

    /// Returns the tombstone that excludes an attempt besides those that are excluded already.
    #[must_use]
    pub fn excluding(&self, nonce: u64) -> Self {
        let mut tombstone = self.with_state(ClaimState::Tombstone);
        if !tombstone.excludes(nonce) {
            tombstone.excluded.push(nonce);
        }
        tombstone
    }

    /// Encodes the record as a table value.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be written as JSON.
    pub fn encode(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| RecordError {
            fault: error.to_string(),
        })
    }

    /// Decodes a table value.
    ///
    /// # Errors
    ///
    /// Fails if the value is no claim record.
    pub fn decode(value: &str) -> Result<Self> {
        serde_json::from_str(value).map_err(|error| RecordError {
            fault: error.to_string(),
        })
    }
}
