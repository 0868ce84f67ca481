//! Deterministic tokens, so that a caller can check a whole answer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;

/// Returns the token at an index of the answer to a prompt.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{:016x}", xxh3_64_with_seed(prompt.as_bytes(), index))
}

/// Returns the hash of a prompt's prefix.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64_with_seed(&bytes[..bytes.len().min(PREFIX_BYTES)], 0)
}
