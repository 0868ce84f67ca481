//! Fault schedule of one round, drawn at random from the seed.

use {
    rand::{RngExt, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{collections::HashMap, fmt, time::Duration},
};

/// Most faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 6;
/// Upper bound of the pause between the starts of two faults, in milliseconds.
const MAX_GAP_MS: u64 = 1_200;
/// Duration of a phase in milliseconds. Every third phase has only planned stops and changes, so
/// that no unplanned fault explains an interrupted call.
const PHASE_MS: u64 = 14_000;
/// Time in milliseconds from the start of a restart in which the instance gets no other fault.
const RESTART_MS: u64 = 8_000;

/// Kind of a fault, whose name is written to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// SIGKILL of an entry, followed by a start of its replacement.
    KillEntry,
    /// SIGKILL of an agent, followed by a start of its replacement.
    KillAgent,
    /// SIGSTOP of an entry, followed by SIGCONT.
    FreezeEntry,
    /// SIGSTOP of an agent, followed by SIGCONT.
    FreezeAgent,
    /// SIGTERM of an entry, followed by a restart.
    RestartEntry,
    /// SIGTERM of an agent, followed by a restart.
    RestartAgent,
    /// The table refuses all requests.
    TableDown,
    /// The table delays its answers.
    TableSlow,
    /// The table executes requests and loses some of the answers.
    TableLosesAnswers,
    /// The relay between a zone and the platform refuses connections.
    PlatformRefused,
    /// The relay between a zone and the platform holds all bytes, as in a network partition.
    PlatformHeld,
    /// The relay between a zone and the platform delays all bytes.
    PlatformDelayed,
    /// The relay in front of an agent refuses connections.
    LinkRefused,
    /// The relay in front of an agent holds all bytes, as in a network partition.
    LinkHeld,
    /// The relay in front of an agent delays all bytes.
    LinkDelayed,
    /// The relay in front of an agent closes connections in the middle of answers.
    LinkCut,
    /// A server of a model group is down.
    EngineDown,
    /// A rank of a model group makes no steps.
    RankStalled,
    /// The instance list shows a target as leaving.
    ListedLeaving,
    /// An operator drains a target.
    Drained,
    /// The instance list is out of date.
    ListLags,
    /// Two operators change one default concurrently.
    OperatorsRace,
    /// An operator retries a change whose answer was lost.
    ChangeRepeated,
}

/// Kinds of faults in the mixed phases. A kind that is listed twice is drawn twice as often.
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

/// Kinds of faults in the phases that have only planned stops and changes.
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

/// Names of the fleet that faults can hit.
#[derive(Clone, Debug, Default)]
pub struct FaultSubjects {
    /// Names of the entries.
    pub entries: Vec<String>,
    /// Names of the agents, each with its availability zone.
    pub agents: Vec<(String, String)>,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Names of the model groups.
    pub groups: Vec<String>,
}

/// Fault of a schedule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Time from the start of the round to the start of the fault.
    pub at: Duration,
    /// Time until the fault is cleared.
    pub duration: Duration,
    /// What the fault does.
    pub kind: FaultKind,
    /// Entry, agent, zone or group that the fault hits; `table`, `instances` or `operators` for a
    /// fault that hits none of them.
    pub subject: String,
    /// Random number below 1000 that chooses further details, such as the server of a group.
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

/// Returns the faults of a round, all of which start and end within `length`. The same seed, length
/// and subjects give the same schedule.
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
    let kinds = match (now / PHASE_MS) % 3 {
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

/// Returns the time in milliseconds from the start of a fault in which its resources get no other
/// fault, even if it is cleared earlier.
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

/// Returns the names that must not be hit by another fault at the same time. A fault that lists an
/// agent as leaving also reserves the zone and the instance list, because the agent has to be able
/// to read the list.
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
