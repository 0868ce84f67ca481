//! Headers on their way between links and the target.

use {
    bytes::Bytes,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    sassafrasslip_proto::link::Header,
};

/// Headers of one connection, and those that hyper writes itself.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn passes(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name.to_ascii_lowercase().as_str())
}

/// Adds the headers of a dispatch to a request; malformed ones are left out.
pub fn add_headers(headers: &mut HeaderMap, dispatched: &[Header]) {
    for header in dispatched.iter().filter(|header| passes(&header.name)) {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Returns the headers of an answer that are passed on.
pub fn answer_headers(headers: &HeaderMap) -> Vec<Header> {
    let passed = headers.iter().filter(|(name, _)| passes(name.as_str()));
    passed
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
