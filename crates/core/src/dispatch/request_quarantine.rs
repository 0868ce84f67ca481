//! Quarantine of requests that crash the targets that begin to answer them.
//!
//! Load pattern: one request crashes target after target, because its gateway retries it and its
//! callers send it again under other ids. The parts of its prompt that other requests share are
//! sound. What stays the same when it is sent again identifies it.

use {
    super::{
        part_quarantine::{CrashId, PartChange, PartQuarantine, PartRestriction, WaitingRule},
        prompt_part::PromptPart,
    },
    std::result,
    tokio::time::Instant,
};

/// Result of starting a request.
pub type Result<T> = result::Result<T, RequestRestriction>;

/// What identifies a request and its prompt across gateways and attempts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Vec<PromptPart>,
    /// Stands for the request as a whole, also when its caller sends it again under another id.
    pub whole: PromptPart,
}

/// How closely a request is linked to the crash of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// The target had begun to answer the request.
    Begun,
    /// The request had been waiting at the target since this time. The target may not have begun it.
    WaitingSince(Instant),
}

/// Reason to refuse a request because it may crash its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestRestriction {
    /// A part of the prompt has crashed targets.
    Part(PartRestriction),
    /// The request itself has crashed targets.
    Whole(PartRestriction),
}

impl RequestRestriction {
    /// Returns the part or the request that has crashed targets, and the time after which the
    /// caller may retry.
    pub fn restriction(&self) -> PartRestriction {
        match self {
            Self::Part(restriction) | Self::Whole(restriction) => *restriction,
        }
    }
}

/// Change of the known causes of crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestChange {
    /// Change of a prompt part.
    Part(PartChange),
    /// Change of a request.
    Whole(PartChange),
}

/// Crashes of targets, and the prompt parts and requests that cause them.
#[derive(Debug)]
pub struct RequestQuarantine {
    /// Shared parts of prompts.
    pub parts: PartQuarantine,
    /// Requests, each of which is treated as one part.
    pub wholes: PartQuarantine,
}

impl Default for RequestQuarantine {
    fn default() -> Self {
        Self {
            parts: PartQuarantine::new(WaitingRule::Try),
            wholes: PartQuarantine::new(WaitingRule::Send),
        }
    }
}

impl RequestQuarantine {
    /// Records that a target has crashed before it sent an event of the answer to a request of this
    /// gateway; returns the changes.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        traits: &RequestTraits,
        evidence: CrashEvidence,
        now: Instant,
    ) -> Vec<RequestChange> {
        let parts = record_evidence(&mut self.parts, crash, &traits.shared_parts, evidence, now);
        let wholes = record_evidence(&mut self.wholes, crash, &[traits.whole], evidence, now);
        join_changes(parts, wholes)
    }

    /// Records that a target has begun to answer a request of this gateway; returns the changes.
    pub fn record_answer(&mut self, traits: &RequestTraits, now: Instant) -> Vec<RequestChange> {
        let parts = self.parts.record_answer(&traits.shared_parts, now);
        let wholes = self.wholes.record_answer(&[traits.whole], now);
        join_changes(parts, wholes)
    }

    /// Returns why a request has to be refused; `None` if it may be sent. `runs_trials` says whether
    /// this gateway sends the trial requests of the fleet.
    pub fn restriction(
        &self,
        traits: &RequestTraits,
        runs_trials: bool,
        now: Instant,
    ) -> Option<RequestRestriction> {
        let part = self
            .parts
            .restriction(&traits.shared_parts, runs_trials, now);
        let whole = self.wholes.restriction(&[traits.whole], runs_trials, now);
        match (part, whole) {
            (Some(part), Some(whole)) if whole.retry_after > part.retry_after => {
                Some(RequestRestriction::Whole(whole))
            }
            (Some(part), _) => Some(RequestRestriction::Part(part)),
            (None, whole) => whole.map(RequestRestriction::Whole),
        }
    }

    /// Starts a request, as a trial if it is time for one.
    ///
    /// # Errors
    ///
    /// Fails if the request has to be refused.
    pub fn start(&mut self, traits: &RequestTraits, runs_trials: bool, now: Instant) -> Result<()> {
        if let Some(restriction) = self.restriction(traits, runs_trials, now) {
            return Err(restriction);
        }
        let started = self.parts.start(&traits.shared_parts, runs_trials, now);
        started.map_err(RequestRestriction::Part)?;
        let started = self.wholes.start(&[traits.whole], runs_trials, now);
        started.map_err(RequestRestriction::Whole)
    }

    /// Removes what no longer counts.
    pub fn drop_outdated(&mut self, now: Instant) {
        self.parts.drop_outdated(now);
        self.wholes.drop_outdated(now);
    }

    /// Returns the number of suspects of all known crashes.
    pub fn suspects(&self) -> usize {
        self.parts.suspects() + self.wholes.suspects()
    }
}

fn record_evidence(
    quarantine: &mut PartQuarantine,
    crash: CrashId,
    parts: &[PromptPart],
    evidence: CrashEvidence,
    now: Instant,
) -> Vec<PartChange> {
    let is_suspect = |part: &PromptPart| match evidence {
        CrashEvidence::Begun => true,
        // What was sent after another target had crashed with it is hardly near both crashes by
        // chance.
        CrashEvidence::WaitingSince(since) => quarantine.was_suspect(*part, since),
    };
    let (suspects, waiting): (Vec<_>, Vec<_>) = parts.iter().copied().partition(is_suspect);
    let mut changes = Vec::new();
    if !suspects.is_empty() {
        changes.extend(quarantine.record_crash(crash, &suspects, now));
    }
    if !waiting.is_empty() {
        changes.extend(quarantine.record_waiting(crash, &waiting, now));
    }
    changes
}

fn join_changes(parts: Vec<PartChange>, wholes: Vec<PartChange>) -> Vec<RequestChange> {
    let parts = parts.into_iter().map(RequestChange::Part);
    let wholes = wholes.into_iter().map(RequestChange::Whole);
    parts.chain(wholes).collect()
}
