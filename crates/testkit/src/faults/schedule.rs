//! Schedule of the faults of one round, drawn by the seed.

use {
    rand::{RngExt, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{collections::HashMap, fmt, time::Duration},
};

/// Most faults at once.
const MAX_ACTIVE_FAULTS: usize = 6;
/// Longest pause between the starts of two faults, in milliseconds.
const MAX_GAP_MS: u64 = 1_200;
/// Duration of a span; every third one has planned stops and changes only, so that an interrupted
/// call has no other explanation.
const SPAN_MS: u64 = 14_000;
/// Time for which an instance is left alone after a restart began, in milliseconds.
const RESTART_MS: u64 = 8_000;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// SIGKILL of an entry, and a replacement.
    KillEntry,
    /// SIGKILL of an agent, and a replacement.
    KillAgent,
    /// SIGSTOP and SIGCONT of an entry.
    FreezeEntry,
    /// SIGSTOP and SIGCONT of an agent.
    FreezeAgent,
    /// SIGTERM of an entry, and a restart.
    RestartEntry,
    /// SIGTERM of an agent, and a restart.
    RestartAgent,
    /// Table that refuses all requests.
    TableDown,
    /// Table that answers late.
    TableSlow,
    /// Table that loses answers.
    TableLosesAnswers,
    /// Relay before a zone's platform that refuses connections.
    PlatformRefused,
    /// Relay before a zone's platform that holds all bytes.
    PlatformHeld,
    /// Relay before a zone's platform that delays all bytes.
    PlatformDelayed,
    /// Relay before an agent that refuses connections.
    LinkRefused,
    /// Relay before an agent that holds all bytes.
    LinkHeld,
    /// Relay before an agent that delays all bytes.
    LinkDelayed,
    /// Relay before an agent that cuts answers.
    LinkCut,
    /// Server of a model group that is down.
    EngineDown,
    /// Rank that does not step.
    RankStalled,
    /// Target listed as leaving.
    ListedLeaving,
    /// Target that an operator drains.
    Drained,
    /// Instance list that lags.
    ListLags,
    /// Two operators that change one default.
    OperatorsRace,
    /// Operator that repeats a change whose answer was lost.
    ChangeRepeated,
}

/// Kinds of the mixed spans; a kind that stands twice is drawn twice as often.
const MIXED_KINDS: &[FaultKind] = &[
    FaultKind::KillEntry,
    FaultKind::KillAgent,
    FaultKind::KillAgent,
    FaultKind::FreezeEntry,
    FaultKind::FreezeAgent,
    FaultKind::FreezeAgent,
    FaultKind::RestartEntry,
    FaultKind::RestartAgent,
    FaultKind::TableDown,
    FaultKind::TableSlow,
    FaultKind::TableLosesAnswers,
    FaultKind::TableLosesAnswers,
    FaultKind::PlatformRefused,
    FaultKind::PlatformHeld,
    FaultKind::PlatformDelayed,
    FaultKind::LinkRefused,
    FaultKind::LinkHeld,
    FaultKind::LinkDelayed,
    FaultKind::LinkCut,
    FaultKind::LinkCut,
    FaultKind::EngineDown,
    FaultKind::RankStalled,
    FaultKind::ListedLeaving,
    FaultKind::Drained,
    FaultKind::ListLags,
    FaultKind::OperatorsRace,
    FaultKind::ChangeRepeated,
];

const PLANNED_KINDS: &[FaultKind] = &[
    FaultKind::RestartEntry,
    FaultKind::RestartAgent,
    FaultKind::RestartAgent,
    FaultKind::ListedLeaving,
    FaultKind::Drained,
    FaultKind::ListLags,
    FaultKind::OperatorsRace,
    FaultKind::ChangeRepeated,
];

/// Names that faults hit.
#[derive(Clone, Debug, Default)]
pub struct FaultSubjects {
    /// Entries.
    pub entries: Vec<String>,
    /// Agents with their availability zones.
    pub agents: Vec<(String, String)>,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Model groups.
    pub groups: Vec<String>,
}

/// Fault of a schedule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Start, counted from the start of the round.
    pub at: Duration,
    /// Time until the fault is lifted.
    pub duration: Duration,
    /// Kind.
    pub kind: FaultKind,
    /// Instance, zone, group or service that is hit.
    pub subject: String,
    /// Number for further draws of the fault.
    pub draw: u64,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            duration,
            kind,
            subject,
            draw,
        } = self;
        write!(
            formatter,
            "at {:.3} s: {kind:?} {subject} for {:.3} s (draw {draw})",
            at.as_secs_f64(),
            duration.as_secs_f64()
        )
    }
}

/// Draws the faults that start and end within `length`.
pub fn draw_schedule(seed: u64, length: Duration, subjects: &FaultSubjects) -> Vec<PlannedFault> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let end = length.as_millis() as u64;
    let mut busy: HashMap<String, u64> = HashMap::new();
    let mut faults = Vec::new();
    let mut now = 1_000;
    while now < end {
        let fault = draw_fault(&mut generator, now, subjects);
        let until = now + fault.duration.as_millis() as u64;
        let resources = resources(&fault, subjects);
        let active = busy.values().filter(|until| **until > now).count();
        let is_free = |resource: &String| busy.get(resource).is_none_or(|until| *until <= now);
        let fits = until < end && active < MAX_ACTIVE_FAULTS && resources.iter().all(is_free);
        if fits {
            let reserved = until.max(now + reserved_ms(fault.kind));
            for resource in resources {
                busy.insert(resource, reserved);
            }
            faults.push(fault);
            now += generator.random_range(0..MAX_GAP_MS);
        } else {
            now += 100;
        }
    }
    faults
}

fn draw_fault(generator: &mut ChaCha8Rng, now: u64, subjects: &FaultSubjects) -> PlannedFault {
    let kinds = match (now / SPAN_MS) % 3 {
        2 => PLANNED_KINDS,
        _ => MIXED_KINDS,
    };
    let kind = *kinds.choose(generator).unwrap_or(&FaultKind::TableDown);
    PlannedFault {
        at: Duration::from_millis(now),
        duration: Duration::from_millis(draw_duration(generator, kind)),
        kind,
        subject: draw_subject(generator, kind, subjects),
        draw: generator.random_range(0..1_000),
    }
}

fn draw_duration(generator: &mut ChaCha8Rng, kind: FaultKind) -> u64 {
    match kind {
        // Longer than a lease, which lasts 3 s.
        FaultKind::FreezeEntry | FaultKind::FreezeAgent => generator.random_range(3_500..5_500),
        FaultKind::ListedLeaving | FaultKind::Drained => generator.random_range(3_500..5_000),
        FaultKind::KillEntry | FaultKind::KillAgent => generator.random_range(100..2_500),
        FaultKind::PlatformRefused | FaultKind::PlatformHeld => generator.random_range(500..6_000),
        FaultKind::RestartEntry | FaultKind::RestartAgent => 100,
        FaultKind::OperatorsRace | FaultKind::ChangeRepeated => 100,
        FaultKind::ListLags => generator.random_range(3_000..8_000),
        _ => generator.random_range(500..3_500),
    }
}

fn reserved_ms(kind: FaultKind) -> u64 {
    match kind {
        FaultKind::KillEntry
        | FaultKind::KillAgent
        | FaultKind::RestartAgent
        | FaultKind::RestartEntry => RESTART_MS,
        _ => 0,
    }
}

fn draw_subject(generator: &mut ChaCha8Rng, kind: FaultKind, subjects: &FaultSubjects) -> String {
    let name = |names: &[String], generator: &mut ChaCha8Rng| {
        names.choose(generator).cloned().unwrap_or_default()
    };
    match kind {
        FaultKind::KillEntry | FaultKind::FreezeEntry | FaultKind::RestartEntry => {
            name(&subjects.entries, generator)
        }
        FaultKind::PlatformRefused | FaultKind::PlatformHeld | FaultKind::PlatformDelayed => {
            name(&subjects.zones, generator)
        }
        FaultKind::EngineDown | FaultKind::RankStalled => name(&subjects.groups, generator),
        FaultKind::TableDown | FaultKind::TableSlow | FaultKind::TableLosesAnswers => {
            "table".to_owned()
        }
        FaultKind::ListLags => "instances".to_owned(),
        FaultKind::OperatorsRace | FaultKind::ChangeRepeated => "operators".to_owned(),
        _ => {
            let agent = subjects.agents.choose(generator);
            agent.map(|(name, _)| name.clone()).unwrap_or_default()
        }
    }
}

/// Returns what the fault needs for itself. An agent that is listed as leaving has to be able to
/// read the list.
fn resources(fault: &PlannedFault, subjects: &FaultSubjects) -> Vec<String> {
    let mut resources = vec![fault.subject.clone()];
    if fault.kind == FaultKind::ListedLeaving {
        let is_subject = |agent: &&(String, String)| agent.0 == fault.subject;
        let zone = subjects.agents.iter().find(is_subject);
        resources.extend(zone.map(|(_, zone)| zone.clone()));
        resources.push("instances".to_owned());
    }
    resources
}
