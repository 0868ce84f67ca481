//! Ring buffer of the most recent requests.

use {
    super::RequestExplanation,
    crate::ids::RequestId,
    std::collections::{HashMap, VecDeque},
};

/// Last requests of an entry, in the order in which they arrived.
#[derive(Debug)]
pub struct ExplanationRing {
    capacity: usize,
    /// Requests forgotten so far; the position of a request minus this is its index.
    forgotten: usize,
    positions: HashMap<RequestId, usize>,
    requests: VecDeque<RequestExplanation>,
}

impl ExplanationRing {
    /// Creates an empty ring.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            forgotten: 0,
            positions: HashMap::new(),
            requests: VecDeque::new(),
        }
    }

    /// Adds a request and forgets the oldest one if the ring is full.
    pub fn insert(&mut self, explanation: RequestExplanation) {
        if self.requests.len() == self.capacity
            && let Some(oldest) = self.requests.pop_front()
        {
            self.positions.remove(&oldest.request_id);
            self.forgotten += 1;
        }
        let position = self.forgotten + self.requests.len();
        self.positions.insert(explanation.request_id, position);
        self.requests.push_back(explanation);
    }

    /// Returns a request that is still remembered.
    pub fn get(&self, request_id: RequestId) -> Option<&RequestExplanation> {
        let position = self.positions.get(&request_id)?;
        self.requests.get(position - self.forgotten)
    }

    /// Returns a request that is still remembered, to add to it.
    pub fn get_mut(&mut self, request_id: RequestId) -> Option<&mut RequestExplanation> {
        let position = self.positions.get(&request_id)?;
        self.requests.get_mut(position - self.forgotten)
    }
}
