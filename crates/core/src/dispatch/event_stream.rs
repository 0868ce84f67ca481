//! Splitting of an answer into whole events.
//!
//! Only whole events go on to the caller, so that another target can go on with the stream after
//! the last event when the first one breaks off in the middle of one.

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted, in bytes; a longer one is a fault of the target.
pub const MOST_EVENT_BYTES: usize = 1024 * 1024;

/// Collects the bytes of a stream and hands out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are whole now, with their blank lines.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // A boundary may begin in the last three bytes that were there before.
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

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// Returns the number of bytes of the event that is not whole yet.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Forgets the event that is not whole, because another target sends it again.
    pub fn restart(&mut self) {
        self.pending.clear();
    }
}

/// Returns the end of the last blank line that ends at `from` or later.
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
