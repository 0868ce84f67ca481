//! Splitting of an answer stream into complete events.
//!
//! Only complete events are forwarded to the caller, so that another target can resume the stream
//! after the last event if the first target fails in the middle of one.

use bytes::{Bytes, BytesMut};

/// Largest size of an event in bytes; a target that sends a larger one is faulty.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are now complete, with the blank lines that end them.
    /// Returns no bytes if no event is complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The blank line that ends an event may begin in the last three bytes from before.
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, from) else {
            return Bytes::new();
        };
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(events.slice_ref(id));
        }
        events
    }

    /// Returns the last event id among the complete events; `None` if none had an id.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// Returns the number of buffered bytes of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns a splitter for the answer of a target that resumes the stream after the last complete
    /// event.
    pub fn resumed(&self) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id: self.last_id.clone(),
        }
    }

    /// Discards the incomplete event, because another target sends it again.
    pub fn restart(&mut self) {
        self.pending.clear();
    }
}

/// Returns the position after the last blank line whose end is at `from` or later.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let ends = (from..bytes.len()).rev();
    let mut ends = ends.filter(|end| bytes[*end] == b'\n');
    let end = ends.find(|end| {
        let line = &bytes[..*end];
        line.ends_with(b"\n") || line.ends_with(b"\n\r")
    })?;
    Some(end + 1)
}

fn last_event_id(events: &[u8]) -> Option<&[u8]> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(id.trim_ascii())
}
