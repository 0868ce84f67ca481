//! Continuous batching of one server, with a small prefix cache.

use {
    super::tokens::{prefix_hash, token_text},
    std::collections::VecDeque,
    tokio::sync::mpsc::UnboundedSender,
};

/// Prompt bytes that one step processes before the first token.
const PREFILL_BYTES_PER_STEP: usize = 256;

/// Generated token, or the end of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenEvent {
    /// Index of a token in the answer, and its text.
    Token(u64, String),
    /// Proper end of the answer, with its number of tokens counted from index 0.
    End(u64),
}

/// Generation request that waits or runs on a server.
#[derive(Debug)]
pub struct BatchRequest {
    /// Value of the `X-Request-Id` header, by which a request is cancelled.
    pub id: String,
    /// Prompt, which determines the text of all tokens.
    pub prompt: String,
    /// Request kind, which determines the popularity of the experts.
    pub kind: String,
    /// Urgency from 0 to 7; 0 is the most urgent and runs first.
    pub priority: u8,
    /// Index of the next token to generate; above 0 from the start if the answer is resumed.
    pub next: u64,
    /// Number of tokens of the whole answer, counted from index 0 also when it is resumed.
    pub end: u64,
    /// Sender of the tokens to the caller; the request is cancelled when its receiver is closed.
    pub sender: UnboundedSender<TokenEvent>,
}

#[derive(Debug)]
struct RunningRequest {
    request: BatchRequest,
    prefill_steps: usize,
}

/// Waiting and running requests of one server, and its prefix cache.
#[derive(Debug)]
pub struct RequestBatch {
    waiting: Vec<BatchRequest>,
    running: Vec<RunningRequest>,
    cache: VecDeque<u64>,
    cache_size: usize,
    max_running: usize,
}

impl RequestBatch {
    /// Creates an empty batch that runs at most `max_running` requests at once and caches the
    /// hashes of `cache_size` prompt prefixes.
    pub fn new(max_running: usize, cache_size: usize) -> Self {
        Self {
            waiting: Vec::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            cache_size,
            max_running,
        }
    }

    /// Queues a request behind those that are equally or more urgent.
    pub fn push(&mut self, request: BatchRequest) {
        let position = self
            .waiting
            .partition_point(|other| other.priority <= request.priority);
        self.waiting.insert(position, request);
    }

    /// Cancels all requests with an id; returns whether there were any.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|request| request.id != id);
        self.running.retain(|running| running.request.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Drops all requests, which breaks their streams, and empties the prefix cache.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.cache.clear();
    }

    /// Returns the numbers of waiting and running requests.
    pub fn lengths(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Returns the hashes of the cached prefixes.
    pub fn cached_prefixes(&self) -> Vec<u64> {
        self.cache.iter().copied().collect()
    }

    /// Drops requests whose callers left, starts waiting ones while there is room, and returns the
    /// kind of each running request.
    pub fn begin_step(&mut self) -> Vec<String> {
        self.waiting.retain(|request| !request.sender.is_closed());
        self.running
            .retain(|running| !running.request.sender.is_closed());
        let free = self.max_running.saturating_sub(self.running.len());
        let started: Vec<_> = self.waiting.drain(..free.min(self.waiting.len())).collect();
        for request in started {
            let prefill_steps = self.prefill_steps(&request);
            self.running.push(RunningRequest {
                request,
                prefill_steps,
            });
        }
        let kinds = self.running.iter();
        kinds.map(|running| running.request.kind.clone()).collect()
    }

    /// Sends the token that each running request generated in the step, and drops the requests that
    /// are complete.
    pub fn end_step(&mut self) {
        for running in &mut self.running {
            running.advance();
        }
        self.running
            .retain(|running| running.request.next < running.request.end);
    }

    fn prefill_steps(&mut self, request: &BatchRequest) -> usize {
        let hash = prefix_hash(&request.prompt);
        let hit = self.cache.contains(&hash);
        self.cache.retain(|cached| *cached != hash);
        self.cache.push_back(hash);
        if self.cache.len() > self.cache_size {
            self.cache.pop_front();
        }
        if hit {
            return 0;
        }
        request.prompt.len().div_ceil(PREFILL_BYTES_PER_STEP)
    }
}

impl RunningRequest {
    fn advance(&mut self) {
        if self.prefill_steps > 0 {
            self.prefill_steps -= 1;
            return;
        }
        let request = &mut self.request;
        let token = token_text(&request.prompt, request.next);
        // If the receiver is closed, the next step drops the request.
        let _ = request.sender.send(TokenEvent::Token(request.next, token));
        request.next += 1;
        if request.next >= request.end {
            let _ = request.sender.send(TokenEvent::End(request.end));
        }
    }
}
