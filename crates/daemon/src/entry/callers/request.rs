//! Requests of callers: parsing of path and headers.

use {
    super::{answer::Refusal, body::RequestBody},
    crate::constants::{MAX_DEADLINE, MAX_HEAD_BYTES},
    bytes::Bytes,
    http::{HeaderMap, HeaderName, Method, StatusCode, header::ACCEPT, request::Parts},
    sassafrasslip_core::{
        claim::BodyHash,
        ids::{KindName, RequestId, ServiceName, TeamName},
        routing::prefix_hash,
    },
    sassafrasslip_proto::link::Header,
    serde::Deserialize,
    std::{borrow::Cow, result, str::FromStr, time::Duration},
    tokio::time::Instant,
};

/// Result of parsing a request.
pub type Result<T> = result::Result<T, Refusal>;

const SERVICES_PREFIX: &str = "/services/";
const NDJSON: &str = "application/x-ndjson";

/// Urgency of a request that names none, by RFC 9218.
const DEFAULT_PRIORITY: u8 = 3;

/// Longest idempotency key, in bytes; it becomes part of a table key.
const MAX_KEY_BYTES: usize = 128;

/// Headers that belong to one connection and are not passed on.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is passed on between a caller and a target.
pub fn is_forwarded(name: &HeaderName) -> bool {
    !CONNECTION_HEADERS.contains(&name.as_str())
}

/// Parsed head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Service.
    pub service: ServiceName,
    /// Team.
    pub team: TeamName,
    /// Kind of the request.
    pub kind: Option<KindName>,
    /// Urgency, 0 to 7.
    pub priority: u8,
    /// Time that the caller allows.
    pub deadline: Option<Duration>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the caller takes a streamed answer.
    pub streamed: bool,
    /// Method.
    pub method: Method,
    /// Path and query for the target.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
}

/// Request with its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Identifier.
    pub id: RequestId,
    /// Time at which the head had arrived.
    pub arrived: Instant,
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: RequestBody,
    /// Hash of the prompt's prefix, if the body has a prompt.
    pub prefix: Option<u64>,
}

#[derive(Deserialize)]
struct PromptBody<'a> {
    #[serde(borrow)]
    prompt: Cow<'a, str>,
}

impl CallerRequest {
    /// Joins a head and a body.
    pub fn new(id: RequestId, arrived: Instant, head: RequestHead, body: RequestBody) -> Self {
        let prompt = serde_json::from_slice::<PromptBody<'_>>(&body.bytes);
        let prefix = prompt.ok().map(|body| prefix_hash(body.prompt.as_bytes()));
        Self {
            id,
            arrived,
            head,
            body,
            prefix,
        }
    }

    /// Returns the hash by which a reused key is recognized.
    pub fn body_hash(&self) -> BodyHash {
        BodyHash::of_call(self.head.method.as_str(), &self.head.path, &self.body.bytes)
    }
}

impl RequestHead {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Fails with 400 if a part is missing or malformed, and with 413 if the head is too large.
    pub fn parse(parts: &Parts) -> Result<Self> {
        check_size(parts)?;
        let headers = &parts.headers;
        let (service, path) = service_and_path(parts)?;
        let team = parse_header(headers, "sassafrasslip-team")?
            .ok_or_else(|| malformed("the header Sassafrasslip-Team is missing"))?;
        Ok(Self {
            service,
            team,
            kind: parse_header(headers, "sassafrasslip-kind")?,
            priority: priority(headers),
            deadline: deadline(headers)?,
            key: idempotency_key(headers)?,
            streamed: accepts_stream(headers),
            method: parts.method.clone(),
            path,
            headers: forwarded_headers(headers),
        })
    }
}

fn malformed(message: impl Into<Cow<'static, str>>) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
}

fn check_size(parts: &Parts) -> Result<()> {
    let line = parts
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    if line + headers.sum::<usize>() <= MAX_HEAD_BYTES {
        return Ok(());
    }
    let message = format!("the head is larger than {MAX_HEAD_BYTES} bytes");
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    Err(Refusal::not_run(status, "oversized", message))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(format!("the header {name} is repeated")));
    }
    let value = value.to_str();
    let value = value.map_err(|_| malformed(format!("the header {name} is not ASCII")))?;
    Ok(Some(value.trim()))
}

fn parse_header<T: FromStr<Err: ToString>>(headers: &HeaderMap, name: &str) -> Result<Option<T>> {
    let value = text(headers, name)?.map(str::parse);
    let value = value.transpose();
    value.map_err(|error: T::Err| malformed(format!("header {name}: {}", error.to_string())))
}

fn service_and_path(parts: &Parts) -> Result<(ServiceName, String)> {
    let named: Option<ServiceName> = parse_header(&parts.headers, "sassafrasslip-service")?;
    let whole = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some(rest) = whole.strip_prefix(SERVICES_PREFIX) else {
        let missing = "the path does not start with /services/ and the header \
            Sassafrasslip-Service is missing";
        let service = named.ok_or_else(|| malformed(missing))?;
        return Ok((service, whole.to_owned()));
    };
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let service: ServiceName = rest[..end]
        .parse()
        .map_err(|error| malformed(format!("path: {error}")))?;
    if named.is_some_and(|named| named != service) {
        return Err(malformed(
            "the path and Sassafrasslip-Service name different services",
        ));
    }
    let path = match &rest[end..] {
        "" => "/".to_owned(),
        query if query.starts_with('?') => format!("/{query}"),
        path => path.to_owned(),
    };
    Ok((service, path))
}

fn priority(headers: &HeaderMap) -> u8 {
    // RFC 9218 asks recipients to ignore what they cannot read.
    let value = headers
        .get("priority")
        .and_then(|value| value.to_str().ok());
    let mut members = value.unwrap_or_default().split(',');
    let urgency = members.find_map(|member| member.trim().strip_prefix("u=")?.parse().ok());
    urgency
        .filter(|urgency| *urgency <= 7)
        .unwrap_or(DEFAULT_PRIORITY)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let millis: Option<u64> = parse_header(headers, "sassafrasslip-deadline")?;
    let deadline = millis.map(Duration::from_millis);
    match deadline {
        Some(Duration::ZERO) => Err(malformed("the deadline is 0 ms")),
        Some(deadline) if deadline > MAX_DEADLINE => {
            let most = MAX_DEADLINE.as_millis();
            Err(malformed(format!("the deadline is above {most} ms")))
        }
        deadline => Ok(deadline),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(key) = text(headers, "idempotency-key")? else {
        return Ok(None);
    };
    // The header is a structured string, but many callers leave out its quotes.
    let key = key
        .strip_prefix('"')
        .and_then(|key| key.strip_suffix('"'))
        .unwrap_or(key);
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    if (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(is_allowed) {
        return Ok(Some(key.to_owned()));
    }
    Err(malformed(format!(
        "the idempotency key is not 1 to {MAX_KEY_BYTES} letters, digits, `.`, `_`, `:` or `-`"
    )))
}

fn accepts_stream(headers: &HeaderMap) -> bool {
    let values = headers
        .get_all(ACCEPT)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let mut types = values.flat_map(|value| value.split(','));
    types.any(|one| {
        one.split(';')
            .next()
            .is_some_and(|one| one.trim() == NDJSON)
    })
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    let converted = forwarded.map(|(name, value)| Header {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    converted.collect()
}
