//! Queue model of one target: a fixed number of requests run at once, and the rest wait in FIFO
//! order.

use std::collections::VecDeque;

/// Requests that a target runs at once.
pub const MAX_RUNNING: usize = 16;
/// Duration of a request without a cached prefix, in microseconds.
pub const SERVICE_US: u64 = 200_000;
/// Factor of the duration of a request whose prefix is cached.
const HIT_DURATION_FACTOR: f64 = 0.7;
/// Number of prefixes that a target caches; it evicts the least recently used.
const CACHED_PREFIXES: usize = 24;

/// Request of the queue model.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    /// Index of the entry that sent the request.
    pub entry: usize,
    /// Number of the prompt prefix, which stands for its hash.
    pub prefix: u64,
    /// Virtual time of the arrival at the entry, in microseconds.
    pub arrived: u64,
}

/// Request that starts to run.
#[derive(Clone, Copy, Debug)]
pub struct StartedRequest {
    /// The request that starts.
    pub request: ModelRequest,
    /// Whether the target had cached its prefix.
    pub prefix_hit: bool,
    /// Time until the request ends, in microseconds.
    pub duration: u64,
}

/// Target of the queue model.
#[derive(Debug)]
pub struct ModelTarget {
    /// Factor of the duration of each request that starts; 1 is the normal speed.
    pub slowdown: f64,
    /// Whether the target has failed. A failed target does not recover.
    pub failed: bool,
    waiting: VecDeque<ModelRequest>,
    running: usize,
    cache: VecDeque<u64>,
}

impl Default for ModelTarget {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            failed: false,
            waiting: VecDeque::new(),
            running: 0,
            cache: VecDeque::new(),
        }
    }
}

impl ModelTarget {
    /// Returns the number of requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.waiting.len() + self.running
    }

    /// Returns the cached prefixes, least recently used first.
    pub fn cached(&self) -> impl Iterator<Item = u64> {
        self.cache.iter().copied()
    }

    /// Adds a request to the queue, and returns the request that starts at once, if any.
    pub fn enqueue(&mut self, request: ModelRequest) -> Option<StartedRequest> {
        self.waiting.push_back(request);
        self.start_next()
    }

    /// Completes a running request, and returns the next one that starts, if any.
    pub fn complete(&mut self) -> Option<StartedRequest> {
        self.running -= 1;
        self.start_next()
    }

    /// Fails the target and returns the requests that had not started. Those that ran are lost.
    pub fn fail(&mut self) -> Vec<ModelRequest> {
        self.failed = true;
        self.running = 0;
        self.waiting.drain(..).collect()
    }

    fn start_next(&mut self) -> Option<StartedRequest> {
        if self.running >= MAX_RUNNING {
            return None;
        }
        let request = self.waiting.pop_front()?;
        self.running += 1;
        let prefix_hit = self.cache.contains(&request.prefix);
        self.cache.retain(|cached| *cached != request.prefix);
        self.cache.push_back(request.prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        let factor = if prefix_hit { HIT_DURATION_FACTOR } else { 1.0 };
        let duration = (SERVICE_US as f64 * factor * self.slowdown) as u64;
        Some(StartedRequest {
            request,
            prefix_hit,
            duration,
        })
    }
}
