//! Ring buffer of the explanations of an entry's most recent requests.

use {
    super::RequestExplanation,
    crate::ids::RequestId,
    std::collections::{HashMap, VecDeque},
};

/// Explanations of the most recent requests, in the order of insertion. When the capacity is
/// reached, the oldest one is evicted.
#[derive(Debug)]
pub struct ExplanationRing {
    capacity: usize,
    /// Number of evicted requests. The position of a request minus this number is its index in
    /// `requests`.
    evicted: usize,
    /// Position of each request among all requests ever inserted.
    positions: HashMap<RequestId, usize>,
    requests: VecDeque<RequestExplanation>,
}

impl ExplanationRing {
    /// Creates an empty ring for `capacity` requests, or for one if `capacity` is 0.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            evicted: 0,
            positions: HashMap::new(),
            requests: VecDeque::new(),
        }
    }

    /// Adds a request and evicts the oldest one if the ring is full.
    pub fn insert(&mut self, explanation: RequestExplanation) {
        if self.requests.len() == self.capacity
            && let Some(oldest) = self.requests.pop_front()
        {
            self.positions.remove(&oldest.request_id);
            self.evicted += 1;
        }
        let position = self.evicted + self.requests.len();
        self.positions.insert(explanation.request_id, position);
        self.requests.push_back(explanation);
    }

    /// Returns the explanation of a request, or `None` if it is unknown or has been evicted.
    pub fn get(&self, request_id: RequestId) -> Option<&RequestExplanation> {
        let position = self.positions.get(&request_id)?;
        self.requests.get(position - self.evicted)
    }

    /// Returns the explanation of a request for modification, or `None` if it is unknown or has
    /// been evicted.
    pub fn get_mut(&mut self, request_id: RequestId) -> Option<&mut RequestExplanation> {
        let position = self.positions.get(&request_id)?;
        self.requests.get_mut(position - self.evicted)
    }
}
