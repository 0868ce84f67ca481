//! Sequence and sums of the chunks of an answer.

use {
    sassafrasslip_proto::link::{AnswerChunk, AnswerEnd},
    std::cmp::Ordering,
    xxhash_rust::xxh3::Xxh3,
};

/// Place of a chunk in its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkPlace {
    /// The chunk was received before.
    Duplicate,
    /// At least one chunk is missing before it.
    Gap,
    /// The chunk is the next one.
    Next,
}

/// Running sums over the chunks received.
#[derive(Default)]
pub struct AnswerSums {
    chunks: u64,
    length: u64,
    hash: Xxh3,
}

impl AnswerSums {
    /// Places a chunk, and adds it to the sums if it is the next one.
    pub fn accept(&mut self, chunk: &AnswerChunk) -> ChunkPlace {
        match chunk.sequence.cmp(&self.chunks) {
            Ordering::Equal => {}
            Ordering::Greater => return ChunkPlace::Gap,
            Ordering::Less => return ChunkPlace::Duplicate,
        }
        self.chunks += 1;
        self.length += chunk.payload.len() as u64;
        self.hash.update(&chunk.payload);
        ChunkPlace::Next
    }

    /// Returns whether the answer is whole.
    pub fn matches(&self, end: &AnswerEnd) -> bool {
        self.chunks == end.chunks
            && self.length == end.payload_length
            && self.hash.digest() == end.checksum
    }
}
