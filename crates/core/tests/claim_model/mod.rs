//! Model of two agents and two entries that share one key: each entry has one attempt at one
//! agent and may settle it at any time, even before the attempt starts. Every action and every
//! table request waits until the test schedules it, so that freezes, late requests and lost
//! answers fall between any two steps. A process that is scheduled no more has crashed.

#![allow(unreachable_pub, reason = "the module is private to its test binary")]

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    sassafrasslip_core::{
        claim::{
            AttemptAction, AttemptInput, BodyHash, ClaimAttempt, ClaimRecord, ClaimSettlement,
            ClaimState, SettlementAction, SettlementInput, StoredAnswer,
        },
        ids::RequestId,
    },
    std::time::Duration,
    tokio::time::Instant,
};

const SEED: u64 = 0x5a55_af7a_551b;
const CASES: u32 = 3_000;
const STEPS: usize = 100;
const DEADLINE: Duration = Duration::from_millis(100);

/// Rule of the protocol that a model leaves out.
pub struct Rule;

impl Rule {
    pub const NONE: u8 = 0;
    pub const UNCONDITIONAL_INSERT: u8 = 1;
    pub const REPLACEABLE_TOMBSTONE: u8 = 2;
    pub const ABSENCE_IS_PROOF: u8 = 3;
    pub const STALE_TIME: u8 = 4;
}

/// Scheduled step. Processes 0 and 1 are attempts, 2 and 3 the settlements of their entries.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Start(usize),
    /// Carries out the action that waits; a hand-over fails before it is sent if the flag is set.
    Act(usize, bool),
    /// The table carries out one of the requests that are on their way.
    Table(usize),
    /// A request is lost.
    Drop(usize),
    /// The process waits no longer for the table.
    Lose(usize),
    /// The table refuses the request of the process.
    Refuse(usize),
    /// The back end answers, or its answer is lost.
    Answer(usize, bool),
    Advance(u64),
}

#[derive(Clone, Debug)]
enum Request {
    Insert(ClaimRecord),
    Read,
    Replace(u64, Option<ClaimRecord>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Todo {
    Insert,
    Read,
    Forward,
    Store,
    Withdraw,
    Poll,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    NotRun,
    Other,
}

enum Machine {
    Attempt(ClaimAttempt),
    Settlement(ClaimSettlement),
}

struct Process {
    machine: Machine,
    started: bool,
    todo: Option<Todo>,
    /// Number of the table request whose answer is awaited.
    awaits: Option<u64>,
    version: u64,
    runs: u32,
    in_backend: bool,
    verdict: Option<Verdict>,
}

pub struct ClaimWorld<const RULE: u8> {
    processes: Vec<Process>,
    requests: Vec<(usize, u64, Request)>,
    record: Option<ClaimRecord>,
    tombstone_seen: bool,
    version: u64,
    sent: u64,
    start: Instant,
    now: Instant,
}

#[derive(Clone, Debug)]
pub struct ClaimModel<const RULE: u8>;

impl<const RULE: u8> ReferenceStateMachine for ClaimModel<RULE> {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..4_usize).prop_map(Step::Start),
            12 => (0..4_usize, prop::bool::weighted(0.1)).prop_map(|(id, fails)| Step::Act(id, fails)),
            12 => (0..8_usize).prop_map(Step::Table),
            2 => (0..8_usize).prop_map(Step::Drop),
            4 => (0..4_usize).prop_map(Step::Lose),
            1 => (0..4_usize).prop_map(Step::Refuse),
            3 => (0..2_usize, prop::bool::weighted(0.8)).prop_map(|(id, whole)| Step::Answer(id, whole)),
            1 => (1..40_u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl<const RULE: u8> StateMachineTest for ClaimWorld<RULE> {
    type SystemUnderTest = Self;
    type Reference = ClaimModel<RULE>;

    fn init_test((): &()) -> Self {
        let start = Instant::now();
        let (hash, deadline) = (BodyHash([1; 32]), start + DEADLINE);
        let attempt = |nonce| Machine::Attempt(ClaimAttempt::new(nonce, hash, deadline));
        // Entries settle for longer than the attempts last.
        let settlement = || Machine::Settlement(ClaimSettlement::new(hash, deadline + DEADLINE));
        let machines = [attempt(0), attempt(1), settlement(), settlement()];
        Self {
            processes: machines.into_iter().map(Process::new).collect(),
            requests: Vec::new(),
            record: None,
            tombstone_seen: false,
            version: 0,
            sent: 0,
            start,
            now: start,
        }
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        world.take(step);
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        let runs: u32 = world.processes.iter().map(|process| process.runs).sum();
        let once = runs <= 1;
        assert!(
            once || !checks(RULE, Rule::UNCONDITIONAL_INSERT),
            "calls run at most once"
        );
        let excluded = !world.tombstone_seen || runs == 0;
        assert!(
            excluded || !checks(RULE, Rule::REPLACEABLE_TOMBSTONE),
            "tombstone excludes a run"
        );
        let false_refusal = (0..4).any(|id| {
            let not_run = world.processes[id].verdict == Some(Verdict::NotRun);
            not_run && world.processes[id % 2].runs > 0
        });
        assert!(
            !false_refusal || !checks(RULE, Rule::ABSENCE_IS_PROOF),
            "not-run call has run"
        );
    }
}

/// Returns whether a model checks the property that a rule guards. Without a rule only its own
/// property is checked, so that the test shows that this property depends on it.
fn checks(left_out: u8, guard: u8) -> bool {
    left_out == Rule::NONE || left_out == guard
}

impl Process {
    fn new(machine: Machine) -> Self {
        Self {
            machine,
            started: false,
            todo: None,
            awaits: None,
            version: 0,
            runs: 0,
            in_backend: false,
            verdict: None,
        }
    }

    fn decide(&mut self, todo: Todo) {
        self.todo = Some(todo);
    }

    fn conclude(&mut self, verdict: Verdict) {
        self.verdict.get_or_insert(verdict);
    }

    fn on_attempt(&mut self, action: Option<AttemptAction>) {
        use AttemptAction as Action;
        match action {
            Some(Action::Insert) => self.decide(Todo::Insert),
            Some(Action::Read) => self.decide(Todo::Read),
            Some(Action::Forward) => self.decide(Todo::Forward),
            Some(Action::Store) => self.decide(Todo::Store),
            Some(Action::WithdrawLate | Action::WithdrawUnsent) => {
                self.decide(Todo::Withdraw);
                self.conclude(Verdict::NotRun);
            }
            Some(
                Action::RefuseInUse
                | Action::RefuseReused
                | Action::RefuseTableDown
                | Action::RefuseTombstone,
            ) => self.conclude(Verdict::NotRun),
            Some(_) => self.conclude(Verdict::Other),
            None => {}
        }
    }

    fn on_settlement(&mut self, action: Option<SettlementAction>) {
        use SettlementAction as Action;
        match action {
            Some(Action::Insert) => self.decide(Todo::Insert),
            Some(Action::Read) => self.decide(Todo::Read),
            Some(Action::Wait) => self.decide(Todo::Poll),
            Some(Action::ReportNotRun) => self.conclude(Verdict::NotRun),
            Some(_) => self.conclude(Verdict::Other),
            None => {}
        }
    }
}

impl<const RULE: u8> ClaimWorld<RULE> {
    fn take(&mut self, step: Step) {
        match step {
            Step::Start(id) if !self.processes[id].started => {
                self.processes[id].started = true;
                self.feed(id, AttemptInput::Start, SettlementInput::Start);
            }
            Step::Act(id, fails) => self.act(id, fails),
            Step::Table(index) if !self.requests.is_empty() => {
                let (id, number, request) = self.requests.remove(index % self.requests.len());
                self.serve(id, number, request);
            }
            Step::Drop(index) if !self.requests.is_empty() => {
                self.requests.remove(index % self.requests.len());
            }
            Step::Lose(id) if self.processes[id].awaits.take().is_some() => {
                self.feed(id, AttemptInput::AnswerLost, SettlementInput::AnswerLost);
                self.feed(id, AttemptInput::StoreFailed, SettlementInput::AnswerLost);
            }
            Step::Refuse(id) if self.processes[id].awaits.is_some() => {
                let number = self.processes[id].awaits.take();
                self.requests.retain(|(_, sent, _)| Some(*sent) != number);
                self.feed(id, AttemptInput::TableDown, SettlementInput::TableDown);
                self.feed(id, AttemptInput::StoreFailed, SettlementInput::TableDown);
            }
            Step::Answer(id, whole) if std::mem::take(&mut self.processes[id].in_backend) => {
                let input = if whole {
                    AttemptInput::Answered
                } else {
                    AttemptInput::NoAnswer
                };
                self.feed(id, input, SettlementInput::Poll);
            }
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            _ => {}
        }
    }

    fn feed(&mut self, id: usize, attempt: AttemptInput<'_>, settlement: SettlementInput<'_>) {
        let now = if RULE == Rule::STALE_TIME {
            self.start
        } else {
            self.now
        };
        let process = &mut self.processes[id];
        match &mut process.machine {
            Machine::Attempt(machine) => {
                let action = machine.handle(attempt, now);
                let late = self.now >= self.start + DEADLINE;
                let forward = action == Some(AttemptAction::Forward);
                assert!(!(forward && late), "call is handed over after the deadline");
                process.on_attempt(action);
            }
            Machine::Settlement(machine) => {
                let absent = matches!(settlement, SettlementInput::Found(None));
                if RULE == Rule::ABSENCE_IS_PROOF && absent {
                    return process.conclude(Verdict::NotRun);
                }
                let action = machine.handle(settlement, now);
                process.on_settlement(action);
            }
        }
    }

    fn act(&mut self, id: usize, fails: bool) {
        let Some(todo) = self.processes[id].todo.take() else {
            // A done record that could not be written is written again.
            return self.feed(id, AttemptInput::Retry, SettlementInput::Poll);
        };
        let version = self.processes[id].version;
        let answer = StoredAnswer::NotStored;
        match todo {
            Todo::Forward if fails => self.feed(id, AttemptInput::NotSent, SettlementInput::Poll),
            Todo::Forward => {
                self.processes[id].runs += 1;
                self.processes[id].in_backend = true;
            }
            Todo::Insert => self.send(id, Request::Insert(first_record(id))),
            Todo::Read => self.send(id, Request::Read),
            Todo::Store => {
                let done = first_record(id).with_state(ClaimState::Done { answer });
                self.send(id, Request::Replace(version, Some(done)));
            }
            Todo::Withdraw => self.send(id, Request::Replace(version, None)),
            Todo::Poll => self.feed(id, AttemptInput::Retry, SettlementInput::Poll),
        }
    }

    fn send(&mut self, id: usize, request: Request) {
        self.sent += 1;
        self.processes[id].awaits = Some(self.sent);
        self.requests.push((id, self.sent, request));
    }

    /// Carries out a request; its answer reaches the process if that still waits.
    fn serve(&mut self, id: usize, number: u64, request: Request) {
        let written = match request {
            Request::Insert(record) => self.absent().then_some(Some(record)),
            Request::Replace(version, record) => {
                (self.record.is_some() && version == self.version).then_some(record)
            }
            Request::Read => None,
        };
        let committed = written.is_some();
        if let Some(record) = written {
            self.record = record;
            self.tombstone_seen |= self.has_tombstone();
            self.version += 1;
        }
        if self.processes[id].awaits != Some(number) {
            return;
        }
        self.processes[id].awaits = None;
        self.processes[id].version = self.version;
        if committed {
            self.feed(id, AttemptInput::Inserted, SettlementInput::Inserted);
            self.feed(id, AttemptInput::Stored, SettlementInput::Poll);
        } else {
            let record = self.record.clone();
            let found = record.as_ref();
            self.feed(
                id,
                AttemptInput::Found(found),
                SettlementInput::Found(found),
            );
            self.feed(id, AttemptInput::StoreFailed, SettlementInput::Poll);
        }
    }

    fn has_tombstone(&self) -> bool {
        matches!(&self.record, Some(record) if record.state == ClaimState::Tombstone)
    }

    fn absent(&self) -> bool {
        match RULE {
            Rule::UNCONDITIONAL_INSERT => true,
            Rule::REPLACEABLE_TOMBSTONE => self.has_tombstone() || self.record.is_none(),
            _ => self.record.is_none(),
        }
    }
}

fn first_record(id: usize) -> ClaimRecord {
    let state = if id < 2 {
        ClaimState::Started
    } else {
        ClaimState::Tombstone
    };
    let (entry_incarnation, counter) = (0, id as u64);
    ClaimRecord {
        state,
        body_hash: BodyHash([1; 32]),
        nonce: id as u64,
        incarnation: 0,
        request_id: RequestId {
            entry_incarnation,
            counter,
        },
        created_ms: 0,
        retention_ms: 0,
    }
}

/// Searches for a violation with the fixed seed.
pub fn find_violation<const RULE: u8>() -> Option<String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let steps = ClaimModel::<RULE>::sequential_strategy(1..STEPS);
    let result = TestRunner::new(config.clone()).run(&steps, |((), steps, seen)| {
        ClaimWorld::<RULE>::test_sequential(config.clone(), (), steps, seen);
        Ok(())
    });
    result.err().map(|error| error.to_string())
}
