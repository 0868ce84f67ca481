//! Checks sequence, length and checksum of the chunks of an answer.

use {
    sassafrasslip_proto::link::{AnswerChunk, AnswerEnd},
    std::cmp::Ordering,
    xxhash_rust::xxh3::Xxh3,
};

/// Order of a chunk relative to those received so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkOrder {
    /// A chunk with this sequence number was received already.
    Duplicate,
    /// At least one chunk is missing before it.
    Gap,
    /// The chunk is the next one.
    Next,
}

/// Running count, length and XXH3 checksum of the received chunks of one answer.
#[derive(Default)]
pub struct AnswerSums {
    chunks: u64,
    length: u64,
    hash: Xxh3,
}

impl AnswerSums {
    /// Checks the sequence number of a chunk, and adds the chunk to the sums if it is the next one.
    pub fn accept(&mut self, chunk: &AnswerChunk) -> ChunkOrder {
        match chunk.sequence.cmp(&self.chunks) {
            Ordering::Equal => {}
            Ordering::Greater => return ChunkOrder::Gap,
            Ordering::Less => return ChunkOrder::Duplicate,
        }
        self.chunks += 1;
        self.length += chunk.payload.len() as u64;
        self.hash.update(&chunk.payload);
        ChunkOrder::Next
    }

    /// Returns whether the received chunks have the count, length and checksum that the agent sent
    /// at the end of the answer.
    pub fn matches(&self, end: &AnswerEnd) -> bool {
        self.chunks == end.chunks
            && self.length == end.payload_length
            && self.hash.digest() == end.checksum
    }
}
