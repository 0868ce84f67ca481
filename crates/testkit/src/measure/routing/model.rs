//! Queue model of one target: some requests run at once, and more wait in order.

use std::collections::VecDeque;

/// Requests that a target runs at once.
pub const SLOTS: usize = 16;
/// Duration of a request without a cached prefix, in microseconds.
pub const SERVICE_US: u64 = 200_000;
/// Share of the duration that is left when the prefix is cached.
const HIT_SHARE: f64 = 0.7;
/// Prefixes that a target keeps.
const CACHED_PREFIXES: usize = 24;

/// Request of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    /// Entry that sent it.
    pub entry: usize,
    /// Prefix.
    pub prefix: u64,
    /// Arrival at the entry, in microseconds.
    pub arrived: u64,
}

/// Request that starts to run.
#[derive(Clone, Copy, Debug)]
pub struct StartedRequest {
    /// Request.
    pub request: ModelRequest,
    /// Whether its prefix was cached.
    pub hit: bool,
    /// Duration in microseconds.
    pub duration: u64,
}

/// Target of the model.
#[derive(Debug)]
pub struct ModelTarget {
    /// Factor of all durations.
    pub slowness: f64,
    /// Whether the target is lost.
    pub lost: bool,
    waiting: VecDeque<ModelRequest>,
    running: usize,
    cache: VecDeque<u64>,
}

impl Default for ModelTarget {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            lost: false,
            waiting: VecDeque::new(),
            running: 0,
            cache: VecDeque::new(),
        }
    }
}

impl ModelTarget {
    /// Returns the requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.waiting.len() + self.running
    }

    /// Returns the cached prefixes.
    pub fn cached(&self) -> impl Iterator<Item = u64> {
        self.cache.iter().copied()
    }

    /// Adds a request; returns it if it starts at once.
    pub fn push(&mut self, request: ModelRequest) -> Option<StartedRequest> {
        self.waiting.push_back(request);
        self.start()
    }

    /// Ends a running request; returns the next one that starts.
    pub fn end(&mut self) -> Option<StartedRequest> {
        self.running -= 1;
        self.start()
    }

    /// Loses the target and returns the requests that had not started.
    pub fn lose(&mut self) -> Vec<ModelRequest> {
        self.lost = true;
        self.running = 0;
        self.waiting.drain(..).collect()
    }

    fn start(&mut self) -> Option<StartedRequest> {
        if self.running >= SLOTS {
            return None;
        }
        let request = self.waiting.pop_front()?;
        self.running += 1;
        let hit = self.cache.contains(&request.prefix);
        self.cache.retain(|cached| *cached != request.prefix);
        self.cache.push_back(request.prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        let share = if hit { HIT_SHARE } else { 1.0 };
        let duration = (SERVICE_US as f64 * share * self.slowness) as u64;
        Some(StartedRequest {
            request,
            hit,
            duration,
        })
    }
}
