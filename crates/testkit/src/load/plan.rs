//! Plans the sequence of calls, which depends only on the arguments and the seed.

use {
    super::arguments::{LoadArguments, NamedWeight},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
};

/// Filler that makes the prefix of a prompt longer than the part that engines compare, so that
/// prompts with the same prefix hit the prefix cache.
const PREFIX_FILLER: &str = "Write in the house style, in short sentences, and keep to the facts.";

/// What a call asks a service for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallBody {
    /// Generation of tokens by a model service.
    Generate {
        /// Prompt, which determines the expected tokens.
        prompt: String,
        /// Number of tokens to generate.
        tokens: u64,
        /// Request kind, which determines which experts are popular.
        kind: String,
        /// Whether the answer is streamed.
        streamed: bool,
    },
    /// Booking at a plain service, which must run at most once.
    Book {
        /// Identifier of the order, unique to the call.
        order: String,
        /// Idempotency key; a booking without one is not safe to repeat.
        key: Option<String>,
    },
    /// Look-up of a run at a plain service.
    LookUp {
        /// Identifier of the run.
        run: u64,
    },
}

/// Call of one caller; all its attempts send the same request.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Name of the service.
    pub service: String,
    /// Name of the team that calls.
    pub team: String,
    /// Index of the entry for the first attempt; later attempts count on from it, modulo the number
    /// of entries.
    pub entry: usize,
    /// What the call asks the service for.
    pub body: CallBody,
}

impl PlannedCall {
    /// Returns whether the call may be repeated when it is unknown whether it ran: all calls except
    /// bookings without an idempotency key.
    pub fn is_repeatable(&self) -> bool {
        !matches!(self.body, CallBody::Book { key: None, .. })
    }

    /// Returns the identifier of the order of a booking; `None` for other calls.
    pub fn order(&self) -> Option<&str> {
        match &self.body {
            CallBody::Book { order, .. } => Some(order),
            CallBody::Generate { .. } | CallBody::LookUp { .. } => None,
        }
    }
}

/// Draws the calls of a run at random; as an iterator, it ends after the number of calls in the
/// arguments.
#[derive(Debug)]
pub struct CallPlanner {
    arguments: Arc<LoadArguments>,
    generator: ChaCha8Rng,
    planned: u64,
}

impl CallPlanner {
    /// Creates a planner that starts at the first call.
    pub fn new(arguments: Arc<LoadArguments>) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(arguments.seed);
        Self {
            arguments,
            generator,
            planned: 0,
        }
    }

    /// Draws the time until the next arrival of an open loop with `rate` arrivals per second. The
    /// times are exponentially distributed, so that the arrivals form a Poisson process.
    pub fn next_gap(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.generator.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }

    /// Draws `true` with a probability in percent.
    fn chance(&mut self, percent: f64) -> bool {
        self.generator.random::<f64>() * 100.0 < percent
    }

    /// Draws a position in a mix by the weights; `None` if the mix is empty or all weights are 0.
    fn pick(&mut self, mix: &[NamedWeight]) -> Option<usize> {
        let total: f64 = mix.iter().map(|entry| entry.weight).sum();
        let mut left = self.generator.random::<f64>() * total;
        for (position, entry) in mix.iter().enumerate() {
            if left < entry.weight {
                return Some(position);
            }
            left -= entry.weight;
        }
        None
    }

    fn pick_name(&mut self, mix: &[NamedWeight]) -> String {
        let position = self.pick(mix);
        position.map_or_else(String::new, |position| mix[position].name.clone())
    }

    fn plan_generation(&mut self) -> CallBody {
        let arguments = Arc::clone(&self.arguments);
        let kind = self.pick_name(&arguments.kind);
        let prefix = self
            .generator
            .random_range(0..arguments.prompt_prefixes.max(1));
        let longest = arguments.max_tokens.max(arguments.min_tokens).max(1);
        let tokens = self
            .generator
            .random_range(arguments.min_tokens.max(1)..=longest);
        let prompt = format!("{kind} {prefix}: {PREFIX_FILLER} Request {}.", self.planned);
        CallBody::Generate {
            prompt,
            tokens,
            kind,
            streamed: self.chance(arguments.streamed),
        }
    }

    fn plan_plain(&mut self) -> CallBody {
        if !self.chance(self.arguments.bookings) {
            let run = self.generator.random_range(1..=self.planned);
            return CallBody::LookUp { run };
        }
        let order = format!("{}-{}", self.arguments.run, self.planned);
        let keyed = self.chance(self.arguments.keyed);
        let key = keyed.then(|| format!("key-{order}"));
        CallBody::Book { order, key }
    }
}

impl Iterator for CallPlanner {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        if self.planned >= self.arguments.count {
            return None;
        }
        self.planned += 1;
        let arguments = Arc::clone(&self.arguments);
        let (model, plain) = (&arguments.model_service, &arguments.plain_service);
        let services: Vec<_> = model.iter().chain(plain).cloned().collect();
        let service = self.pick(&services)?;
        let body = if service < model.len() {
            self.plan_generation()
        } else {
            self.plan_plain()
        };
        Some(PlannedCall {
            service: services[service].name.clone(),
            team: self.pick_name(&arguments.team),
            entry: self.generator.random_range(0..arguments.entry.len().max(1)),
            body,
        })
    }
}
