//! Callers' requests: parsing of the path and the headers.

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

/// Result of parsing a request; the error is the refusal for the caller.
pub type Result<T> = result::Result<T, Refusal>;

const SERVICES_PREFIX: &str = "/services/";
const NDJSON: &str = "application/x-ndjson";

/// Urgency of a request without a valid `Priority` header, from RFC 9218.
const DEFAULT_PRIORITY: u8 = 3;

/// Longest idempotency key, in bytes. It is limited because it becomes part of a table key.
const MAX_KEY_BYTES: usize = 128;

/// Headers that apply to a single connection and are not forwarded, in lower case.
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

/// Returns whether a header is forwarded between a caller and a target.
pub fn is_forwarded(name: &HeaderName) -> bool {
    !CONNECTION_HEADERS.contains(&name.as_str())
}

/// Parsed request line and headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Service that the path or the header `Sassafrasslip-Service` names.
    pub service: ServiceName,
    /// Team that the request is accounted to.
    pub team: TeamName,
    /// Kind of the request, if the caller states one.
    pub kind: Option<KindName>,
    /// Urgency as in RFC 9218, from 0 (most urgent) to 7.
    pub priority: u8,
    /// Time in which the caller wants the answer, counted from the arrival of the request; at most
    /// [`MAX_DEADLINE`].
    pub deadline: Option<Duration>,
    /// Idempotency key without its quotes, if the caller sent one.
    pub key: Option<String>,
    /// Whether the caller accepts a streamed answer (`application/x-ndjson`).
    pub streamed: bool,
    /// HTTP method for the target.
    pub method: Method,
    /// Path and query for the target, without the prefix that names the service.
    pub path: String,
    /// Headers that are forwarded to the target.
    pub headers: Vec<Header>,
}

/// Complete request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Identifier that the entry gave to the request.
    pub id: RequestId,
    /// Time at which the head of the request had arrived.
    pub arrived: Instant,
    /// Parsed request line and headers.
    pub head: RequestHead,
    /// Body as the caller sent it.
    pub body: RequestBody,
    /// Hash of the prompt's prefix, by which requests are routed to targets that may have the
    /// prefix cached; `None` if the body is not a JSON object with a prompt.
    pub prefix: Option<u64>,
}

#[derive(Deserialize)]
struct PromptBody<'a> {
    #[serde(borrow)]
    prompt: Cow<'a, str>,
}

impl CallerRequest {
    /// Creates a request from its head and body, and computes the hash of its prompt prefix.
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

    /// Returns the hash of method, path and body. An idempotency key that comes again with another
    /// hash has been reused for a different request.
    pub fn body_hash(&self) -> BodyHash {
        BodyHash::of_call(self.head.method.as_str(), &self.head.path, &self.body.bytes)
    }
}

impl RequestHead {
    /// Parses and validates the head of a request.
    ///
    /// # Errors
    ///
    /// Fails with 400 if the service or the team is missing or a header is malformed, and with 413
    /// if the head is larger than [`MAX_HEAD_BYTES`].
    pub fn parse(parts: &Parts) -> Result<Self> {
        check_size(parts)?;
        let headers = &parts.headers;
        let (service, path) = parse_service_and_path(parts)?;
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
    let path_length = parts
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    if path_length + headers.sum::<usize>() <= MAX_HEAD_BYTES {
        return Ok(());
    }
    let message = format!("the head is larger than {MAX_HEAD_BYTES} bytes");
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    Err(Refusal::not_run(status, "oversized", message))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
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
    let value = header_text(headers, name)?.map(str::parse);
    let value = value.transpose();
    value.map_err(|error: T::Err| malformed(format!("header {name}: {}", error.to_string())))
}

fn parse_service_and_path(parts: &Parts) -> Result<(ServiceName, String)> {
    let header_service: Option<ServiceName> =
        parse_header(&parts.headers, "sassafrasslip-service")?;
    let whole = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some(rest) = whole.strip_prefix(SERVICES_PREFIX) else {
        let missing = "the path does not start with /services/ and the header \
            Sassafrasslip-Service is missing";
        let service = header_service.ok_or_else(|| malformed(missing))?;
        return Ok((service, whole.to_owned()));
    };
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let service: ServiceName = rest[..end]
        .parse()
        .map_err(|error| malformed(format!("path: {error}")))?;
    if header_service.is_some_and(|header_service| header_service != service) {
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
    // RFC 9218 requires recipients to ignore values that they cannot parse.
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
            let max_millis = MAX_DEADLINE.as_millis();
            Err(malformed(format!("the deadline is above {max_millis} ms")))
        }
        deadline => Ok(deadline),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(key) = header_text(headers, "idempotency-key")? else {
        return Ok(None);
    };
    // The header is defined as a structured-field string, but many callers omit its quotes.
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
    types.any(|media_type| {
        media_type
            .split(';')
            .next()
            .is_some_and(|essence| essence.trim() == NDJSON)
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
