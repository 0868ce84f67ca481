//! Filters and converts the HTTP headers that are forwarded between links and the target.

use {
    bytes::Bytes,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    sassafrasslip_proto::link::Header,
};

/// Hop-by-hop headers, which belong to one connection, and headers that hyper writes itself.
const UNFORWARDED_HEADERS: &[&str] = &[
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

fn is_forwarded(name: &str) -> bool {
    !UNFORWARDED_HEADERS.contains(&name.to_ascii_lowercase().as_str())
}

/// Adds the forwarded headers of a dispatch to a request; malformed ones are left out.
pub fn add_headers(headers: &mut HeaderMap, dispatched: &[Header]) {
    for header in dispatched
        .iter()
        .filter(|header| is_forwarded(&header.name))
    {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Returns the headers of the target's answer that are forwarded to the entry.
pub fn answer_headers(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
