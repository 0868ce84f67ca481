//! Sequence of calls, which depends only on the arguments and the seed.

use {
    super::arguments::{LoadArguments, NamedWeight},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
};

/// Filler that makes a prompt's prefix longer than the part by which prefixes are compared.
const PREFIX_FILLER: &str = "Write in the house style, in short sentences, and keep to the facts.";

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallBody {
    /// Generation of tokens.
    Generate {
        /// Prompt.
        prompt: String,
        /// Tokens.
        tokens: u64,
        /// Request kind.
        kind: String,
        /// Whether the answer is streamed.
        streamed: bool,
    },
    /// Booking, which must run at most once.
    Book {
        /// Order, unique to the call.
        order: String,
        /// Idempotency key.
        key: Option<String>,
    },
    /// Look-up of a run.
    LookUp {
        /// Run.
        run: u64,
    },
}

/// Call of one caller, with all its attempts.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Service.
    pub service: String,
    /// Team.
    pub team: String,
    /// Position of the entry for the first attempt, modulo their number.
    pub entry: usize,
    /// What the call asks for.
    pub body: CallBody,
}

impl PlannedCall {
    /// Returns whether the call may be repeated after an unknown outcome.
    pub fn is_repeatable(&self) -> bool {
        !matches!(self.body, CallBody::Book { key: None, .. })
    }

    /// Returns the order of a booking.
    pub fn order(&self) -> Option<&str> {
        match &self.body {
            CallBody::Book { order, .. } => Some(order),
            CallBody::Generate { .. } | CallBody::LookUp { .. } => None,
        }
    }
}

/// Draws calls.
#[derive(Debug)]
pub struct CallPlanner {
    arguments: Arc<LoadArguments>,
    generator: ChaCha8Rng,
    planned: u64,
}

impl CallPlanner {
    /// Creates a planner.
    pub fn new(arguments: Arc<LoadArguments>) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(arguments.seed);
        Self {
            arguments,
            generator,
            planned: 0,
        }
    }

    /// Draws the time until the next arrival of an open loop.
    pub fn next_gap(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.generator.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }

    fn chance(&mut self, percent: f64) -> bool {
        self.generator.random::<f64>() * 100.0 < percent
    }

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
