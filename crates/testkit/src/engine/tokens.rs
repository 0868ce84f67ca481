//! Tokens that depend only on the prompt and their index, so that a caller can check every token of
//! an answer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of the start of a prompt that the prefix cache compares.
const PREFIX_BYTES: usize = 64;

/// Returns the text of the token at an index of the answer to a prompt.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{:016x}", xxh3_64_with_seed(prompt.as_bytes(), index))
}

/// Returns the hash of a prompt's first `PREFIX_BYTES` bytes, or of the whole prompt if it is
/// shorter.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64_with_seed(&bytes[..bytes.len().min(PREFIX_BYTES)], 0)
}
