//! Model of two callers that share one key. Each caller repeats its call after `not-run`, so that
//! it has up to three attempts, each at an agent of its own; its entry may settle an attempt at any
//! time, even before the attempt starts. Every action and every table request waits until the test
//! schedules it, so that freezes, late requests and lost answers fall between any two steps. A
//! process that is scheduled no more has crashed.

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
            ClaimState, SettlementAction, SettlementInput, StoredAnswer, release_record,
        },
        ids::RequestId,
    },
    std::{collections::BTreeSet, time::Duration},
    tokio::time::Instant,
};

const SEED: u64 = 0x5a55_af7a_551b;
const CASES: u32 = 3_000;
const STEPS: usize = 160;
const CALLERS: usize = 2;
/// Attempts of one caller.
const TRIES: usize = 3;
const ATTEMPTS: usize = CALLERS * TRIES;
/// Rounds in which the withdrawals that are pending at the end of a case are completed.
const SETTLING_ROUNDS: usize = 20;
const HASH: BodyHash = BodyHash([1; 32]);
const DEADLINE: Duration = Duration::from_millis(100);

/// Rule of the protocol that a model leaves out.
pub struct Rule;

impl Rule {
    pub const NONE: u8 = 0;
    pub const UNCONDITIONAL_INSERT: u8 = 1;
    pub const REPLACEABLE_TOMBSTONE: u8 = 2;
    pub const ABSENCE_IS_PROOF: u8 = 3;
    pub const STALE_TIME: u8 = 4;
    /// Start records do not carry the excluded attempts over.
    pub const DROPPED_EXCLUSIONS: u8 = 5;
    /// A refused attempt leaves its start record in the table.
    pub const NO_WITHDRAWAL: u8 = 6;
    /// Not a rule: the model checks that no repeat of a call runs, which must be found wrong.
    pub const REPEATS_NEVER_RUN: u8 = 7;
}

/// Scheduled step. A number chooses among the processes for which the step is possible.
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
    Replace(u64, ClaimRecord),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Todo {
    Insert,
    /// Replaces or extends the tombstone that was found.
    Replace,
    Read,
    Forward,
    Store,
    /// Reads the record that a refused attempt may have left.
    Release,
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
    /// Record that was found last.
    found: Option<ClaimRecord>,
    /// Start record of an attempt.
    own: Option<ClaimRecord>,
    /// Whether a write of the start record may still be on its way.
    write_lost: bool,
    /// Whether a refused attempt may have left its start record.
    releasing: bool,
    runs: u32,
    in_backend: bool,
    verdict: Option<Verdict>,
    /// Time at which the process started.
    start: Instant,
}

pub struct ClaimWorld<const RULE: u8> {
    processes: Vec<Process>,
    requests: Vec<(usize, u64, Request)>,
    record: Option<ClaimRecord>,
    /// Attempts that any record has excluded.
    excluded: BTreeSet<u64>,
    version: u64,
    sent: u64,
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
        let any = 0..ATTEMPTS * 2;
        prop_oneof![
            4 => any.clone().prop_map(Step::Start),
            12 => (any.clone(), prop::bool::weighted(0.1)).prop_map(|(id, fails)| Step::Act(id, fails)),
            12 => any.clone().prop_map(Step::Table),
            1 => any.clone().prop_map(Step::Drop),
            3 => any.clone().prop_map(Step::Lose),
            1 => any.clone().prop_map(Step::Refuse),
            3 => (any, prop::bool::weighted(0.8)).prop_map(|(id, whole)| Step::Answer(id, whole)),
            2 => (1..60_u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl<const RULE: u8> StateMachineTest for ClaimWorld<RULE> {
    type SystemUnderTest = Self;
    type Reference = ClaimModel<RULE>;

    fn init_test((): &()) -> Self {
        let now = Instant::now();
        Self {
            processes: (0..2 * ATTEMPTS).map(|id| Process::new(id, now)).collect(),
            requests: Vec::new(),
            record: None,
            excluded: BTreeSet::new(),
            version: 0,
            sent: 0,
            now,
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
        // An attempt that was excluded once never runs, whatever replaced the record since.
        let attempts = &world.processes[..ATTEMPTS];
        let excluded = (0..).zip(attempts).all(|(nonce, attempt)| {
            let nonce: u64 = nonce;
            attempt.runs == 0 || !world.excluded.contains(&nonce)
        });
        let proved = !world.has_tombstone() || runs == 0;
        assert!(
            excluded && proved || !checks(RULE, Rule::REPLACEABLE_TOMBSTONE),
            "tombstone excludes a run"
        );
        let false_refusal = (0..ATTEMPTS).any(|id| world.is_not_run(id) && attempts[id].runs > 0);
        let is_checked =
            checks(RULE, Rule::ABSENCE_IS_PROOF) || checks(RULE, Rule::DROPPED_EXCLUSIONS);
        assert!(!false_refusal || !is_checked, "not-run call has run");
        let repeats = (0..ATTEMPTS).filter(|id| id % TRIES > 0);
        let repeats = repeats.map(|id| attempts[id].runs).sum::<u32>();
        assert!(
            repeats == 0 || RULE != Rule::REPEATS_NEVER_RUN,
            "repeated call runs"
        );
    }

    fn teardown(mut world: Self, (): ()) {
        if checks(RULE, Rule::NO_WITHDRAWAL) {
            world.check_key_is_usable();
        }
    }
}

/// Returns whether a model checks the property that a rule guards. Without a rule only its own
/// property is checked, so that the test shows that this property depends on it.
fn checks(left_out: u8, guard: u8) -> bool {
    left_out == Rule::NONE || left_out == guard
}

impl Process {
    fn new(id: usize, now: Instant) -> Self {
        Self {
            machine: machine(id, now),
            started: false,
            todo: None,
            awaits: None,
            version: 0,
            found: None,
            own: None,
            write_lost: false,
            releasing: false,
            runs: 0,
            in_backend: false,
            verdict: None,
            start: now,
        }
    }

    /// Returns whether a done record is still to be written.
    fn is_storing(&self) -> bool {
        matches!(&self.machine, Machine::Attempt(attempt) if attempt.is_forwarded())
            && self.awaits.is_none()
            && !self.in_backend
    }

    fn decide(&mut self, todo: Todo) {
        self.todo = Some(todo);
    }

    fn release(&mut self) {
        self.releasing = true;
        self.decide(Todo::Release);
    }

    fn conclude(&mut self, verdict: Verdict) {
        self.verdict.get_or_insert(verdict);
    }

    fn on_attempt(&mut self, action: Option<AttemptAction>) {
        use AttemptAction as Action;
        match action {
            Some(Action::Insert) => self.decide(Todo::Insert),
            Some(Action::Replace) => self.decide(Todo::Replace),
            Some(Action::Read) => self.decide(Todo::Read),
            Some(Action::Forward) => self.decide(Todo::Forward),
            Some(Action::Store) => self.decide(Todo::Store),
            Some(Action::WithdrawLate | Action::WithdrawUnsent) => {
                self.release();
                self.conclude(Verdict::NotRun);
            }
            Some(Action::RefuseTableDown) => {
                if self.write_lost {
                    self.release();
                }
                self.conclude(Verdict::NotRun);
            }
            Some(Action::RefuseInUse | Action::RefuseReused | Action::RefuseTombstone) => {
                self.conclude(Verdict::NotRun);
            }
            Some(_) => self.conclude(Verdict::Other),
            None => {}
        }
    }

    fn on_settlement(&mut self, action: Option<SettlementAction>) {
        use SettlementAction as Action;
        match action {
            Some(Action::Insert) => self.decide(Todo::Insert),
            Some(Action::Extend) => self.decide(Todo::Replace),
            Some(Action::Read) => self.decide(Todo::Read),
            Some(Action::Wait) => self.decide(Todo::Poll),
            Some(Action::ReportNotRun) => self.conclude(Verdict::NotRun),
            Some(_) => self.conclude(Verdict::Other),
            None => {}
        }
    }
}

impl<const RULE: u8> ClaimWorld<RULE> {
    /// Returns the process that a step is for: one of those for which the step is possible.
    fn choose(&self, number: usize, possible: impl Fn(usize) -> bool) -> Option<usize> {
        let ids: Vec<_> = (0..2 * ATTEMPTS).filter(|id| possible(*id)).collect();
        (!ids.is_empty()).then(|| ids[number % ids.len()])
    }

    /// Returns whether `not-run` was reported for an attempt, by its agent or its entry.
    fn is_not_run(&self, attempt: usize) -> bool {
        let reports = [attempt, ATTEMPTS + attempt];
        reports
            .iter()
            .any(|id| self.processes[*id].verdict == Some(Verdict::NotRun))
    }

    /// A caller repeats its call only after `not-run`.
    fn may_start(&self, id: usize) -> bool {
        let attempt = id % ATTEMPTS;
        !self.processes[id].started
            && (attempt.is_multiple_of(TRIES) || self.is_not_run(attempt - 1))
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Start(number) => {
                if let Some(id) = self.choose(number, |id| self.may_start(id)) {
                    let process = &mut self.processes[id];
                    process.started = true;
                    process.start = self.now;
                    process.machine = machine(id, self.now);
                    self.feed(id, AttemptInput::Start, SettlementInput::Start);
                }
            }
            Step::Act(number, fails) => {
                let acts = |id: usize| {
                    let process = &self.processes[id];
                    process.todo.is_some() || process.is_storing()
                };
                if let Some(id) = self.choose(number, acts) {
                    self.act(id, fails);
                }
            }
            Step::Table(index) if !self.requests.is_empty() => {
                let (id, number, request) = self.requests.remove(index % self.requests.len());
                self.serve(id, number, request);
            }
            Step::Drop(index) if !self.requests.is_empty() => {
                self.requests.remove(index % self.requests.len());
            }
            Step::Lose(number) => {
                if let Some(id) = self.choose(number, |id| self.processes[id].awaits.is_some()) {
                    self.lose(id);
                }
            }
            Step::Refuse(number) => {
                if let Some(id) = self.choose(number, |id| self.processes[id].awaits.is_some()) {
                    self.refuse(id);
                }
            }
            Step::Answer(number, whole) => {
                if let Some(id) = self.choose(number, |id| self.processes[id].in_backend) {
                    self.processes[id].in_backend = false;
                    let input = if whole {
                        AttemptInput::Answered
                    } else {
                        AttemptInput::NoAnswer
                    };
                    self.feed(id, input, SettlementInput::Poll);
                }
            }
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            _ => {}
        }
    }

    fn lose(&mut self, id: usize) {
        let process = &mut self.processes[id];
        process.awaits = None;
        if process.releasing {
            return process.decide(Todo::Release);
        }
        process.write_lost = true;
        self.feed(id, AttemptInput::AnswerLost, SettlementInput::AnswerLost);
        self.feed(id, AttemptInput::StoreFailed, SettlementInput::AnswerLost);
    }

    fn refuse(&mut self, id: usize) {
        let number = self.processes[id].awaits.take();
        self.requests.retain(|(_, sent, _)| Some(*sent) != number);
        if self.processes[id].releasing {
            return self.processes[id].decide(Todo::Release);
        }
        self.feed(id, AttemptInput::TableDown, SettlementInput::TableDown);
        self.feed(id, AttemptInput::StoreFailed, SettlementInput::TableDown);
    }

    fn feed(&mut self, id: usize, attempt: AttemptInput<'_>, settlement: SettlementInput<'_>) {
        let process = &mut self.processes[id];
        let now = if RULE == Rule::STALE_TIME {
            process.start
        } else {
            self.now
        };
        match &mut process.machine {
            Machine::Attempt(machine) => {
                let action = machine.handle(attempt, now);
                let late = self.now >= process.start + DEADLINE;
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
        let process = &mut self.processes[id];
        let version = process.version;
        let answer = StoredAnswer::NotStored;
        match todo {
            Todo::Forward if fails => self.feed(id, AttemptInput::NotSent, SettlementInput::Poll),
            Todo::Forward => {
                process.runs += 1;
                process.in_backend = true;
            }
            Todo::Insert => {
                let record = first_record(id, Vec::new());
                process.own = Some(record.clone());
                self.send(id, Request::Insert(record));
            }
            Todo::Replace => {
                let found = process.found.clone().expect("a tombstone was found");
                let drops = RULE == Rule::DROPPED_EXCLUSIONS && id < ATTEMPTS;
                let excluded = if drops { Vec::new() } else { found.excluded };
                let record = first_record(id, excluded);
                process.own = Some(record.clone());
                self.send(id, Request::Replace(version, record));
            }
            Todo::Read | Todo::Release => self.send(id, Request::Read),
            Todo::Store => {
                let done = self.own(id).with_state(ClaimState::Done { answer });
                self.send(id, Request::Replace(version, done));
            }
            Todo::Poll => self.feed(id, AttemptInput::Retry, SettlementInput::Poll),
        }
    }

    fn own(&self, id: usize) -> ClaimRecord {
        let own = self.processes[id].own.clone();
        own.expect("the attempt has written its start record")
    }

    fn send(&mut self, id: usize, request: Request) {
        self.sent += 1;
        self.processes[id].awaits = Some(self.sent);
        self.requests.push((id, self.sent, request));
    }

    /// Carries out a request; its answer reaches the process if that still waits.
    fn serve(&mut self, id: usize, number: u64, request: Request) {
        let written = match request {
            Request::Insert(record) => self.absent().then_some(record),
            Request::Replace(version, record) => {
                (self.record.is_some() && version == self.version).then_some(record)
            }
            Request::Read => None,
        };
        let committed = written.is_some();
        if let Some(record) = written {
            self.excluded.extend(&record.excluded);
            self.record = Some(record);
            self.version += 1;
        }
        if self.processes[id].awaits != Some(number) {
            return;
        }
        let process = &mut self.processes[id];
        process.awaits = None;
        process.version = self.version;
        if process.releasing {
            return self.go_on_releasing(id, committed);
        }
        if committed {
            self.feed(id, AttemptInput::Inserted, SettlementInput::Inserted);
            self.feed(id, AttemptInput::Stored, SettlementInput::Poll);
        } else {
            let record = self.record.clone();
            let found = record.as_ref();
            process.found.clone_from(&record);
            if let Some(own) = found.filter(|record| is_start_of(record, id)) {
                process.own = Some(own.clone());
            }
            self.feed(
                id,
                AttemptInput::Found(found),
                SettlementInput::Found(found),
            );
            self.feed(id, AttemptInput::StoreFailed, SettlementInput::Poll);
        }
    }

    fn go_on_releasing(&mut self, id: usize, committed: bool) {
        let own = self.own(id);
        let tombstone = release_record(&own, self.record.as_ref());
        let tombstone = tombstone.filter(|_| !committed && RULE != Rule::NO_WITHDRAWAL);
        let Some(tombstone) = tombstone else {
            self.processes[id].releasing = false;
            return;
        };
        if self.record.is_some() {
            self.send(id, Request::Replace(self.version, tombstone));
        } else {
            self.send(id, Request::Insert(tombstone));
        }
    }

    /// Completes the withdrawals, which agents repeat until the table answers; then no start record
    /// of an attempt that was reported as not run blocks the key, and a new attempt gets it if it is
    /// free.
    fn check_key_is_usable(&mut self) {
        for _ in 0..SETTLING_ROUNDS {
            for (id, number, request) in std::mem::take(&mut self.requests) {
                self.serve(id, number, request);
            }
            for id in 0..ATTEMPTS {
                let process = &self.processes[id];
                if !process.releasing {
                    continue;
                }
                if process.todo.is_some() {
                    self.act(id, false);
                } else if process.awaits.is_some() {
                    // The request or its answer was lost, or it is served in the next round.
                    let number = process.awaits;
                    let on_its_way = self
                        .requests
                        .iter()
                        .any(|(_, sent, _)| Some(*sent) == number);
                    if !on_its_way {
                        self.lose(id);
                    }
                }
            }
        }
        let record = self.record.clone();
        if let Some(record) = record
            .as_ref()
            .filter(|one| one.state == ClaimState::Started)
        {
            let blocks = self.is_not_run(record.nonce as usize);
            assert!(!blocks, "key is blocked after not-run");
        } else if record
            .as_ref()
            .is_none_or(|one| one.state == ClaimState::Tombstone)
        {
            let nonce = 2 * ATTEMPTS as u64;
            let mut probe = ClaimAttempt::new(nonce, HASH, self.now + DEADLINE);
            probe.handle(AttemptInput::Start, self.now);
            if record.is_some() {
                let action = probe.handle(AttemptInput::Found(record.as_ref()), self.now);
                assert_eq!(action, Some(AttemptAction::Replace), "key is blocked");
            }
            let action = probe.handle(AttemptInput::Inserted, self.now);
            assert_eq!(action, Some(AttemptAction::Forward), "key is blocked");
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

/// Returns the machine of a process that starts now. Entries settle for longer than the attempts
/// last.
fn machine(id: usize, now: Instant) -> Machine {
    let nonce = (id % ATTEMPTS) as u64;
    if id < ATTEMPTS {
        Machine::Attempt(ClaimAttempt::new(nonce, HASH, now + DEADLINE))
    } else {
        Machine::Settlement(ClaimSettlement::new(nonce, HASH, now + 2 * DEADLINE))
    }
}

fn is_start_of(record: &ClaimRecord, id: usize) -> bool {
    record.state == ClaimState::Started && record.nonce == id as u64
}

/// Returns the record that an attempt or a settlement writes.
fn first_record(id: usize, excluded: Vec<u64>) -> ClaimRecord {
    let nonce = (id % ATTEMPTS) as u64;
    let (entry_incarnation, counter) = (0, nonce);
    let record = ClaimRecord {
        state: ClaimState::Started,
        body_hash: HASH,
        nonce,
        excluded,
        incarnation: 0,
        request_id: RequestId {
            entry_incarnation,
            counter,
        },
        created_ms: 0,
        retention_ms: 0,
    };
    if id < ATTEMPTS {
        record
    } else {
        record.excluding(nonce)
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
