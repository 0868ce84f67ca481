//! Parts of prompts that requests share.

use {
    std::fmt,
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// Highest number of shared parts of a request that are considered. Prompts are nested a few levels
/// deep; a caller that names more gets the rest ignored.
pub const MAX_SHARED_PARTS: usize = 16;

/// Hash of the name of a prompt part that other requests may have too.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Creates the part with the given name. Names that differ only in case are equal.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.to_ascii_lowercase().as_bytes()))
    }

    /// Creates the part that stands for a whole request, by what stays the same when its caller sends
    /// it again.
    pub fn of_request(
        method: &str,
        host: &str,
        path: &str,
        prompt: impl IntoIterator<Item = Self>,
        body: &[u8],
    ) -> Self {
        let mut hasher = Xxh3::new();
        for part in prompt {
            hasher.update(&part.0.to_le_bytes());
        }
        for field in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }

    /// Creates the part from the hash that a peer has sent.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash of the name.
    pub fn hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Returns the parts as text for a log line, separated by commas.
pub fn list_parts(parts: &[PromptPart]) -> String {
    let names: Vec<_> = parts.iter().map(ToString::to_string).collect();
    names.join(",")
}
