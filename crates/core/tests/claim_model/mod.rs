//! Model of two callers that share one idempotency key. Each caller retries its call after
//! `not-run`, up to three attempts in all, each at an agent of its own. Its entry may settle an
//! attempt at any time, even before the attempt starts. Every action and every table request waits
//! until the test schedules it, so that freezes, late requests and lost answers occur between any
//! two steps. A process that is never scheduled again has crashed.

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
const MAX_STEPS: usize = 160;
const CALLERS: usize = 2;
const ATTEMPTS_PER_CALLER: usize = 3;
const ATTEMPTS: usize = CALLERS * ATTEMPTS_PER_CALLER;
/// Rounds in which the withdrawals that are pending at the end of a case are completed.
const WITHDRAWAL_ROUNDS: usize = 20;
const BODY_HASH: BodyHash = BodyHash([1; 32]);
const DEADLINE: Duration = Duration::from_millis(100);

/// Rule of the protocol that a model leaves out, so that the property that it guards fails.
pub struct Rule;

impl Rule {
    /// The complete protocol.
    pub const NONE: u8 = 0;
    /// An insert succeeds although the key has a record.
    pub const UNCONDITIONAL_INSERT: u8 = 1;
    /// An insert overwrites a tombstone.
    pub const REPLACEABLE_TOMBSTONE: u8 = 2;
    /// A settlement that finds no record reports `not-run`.
    pub const ABSENCE_IS_PROOF: u8 = 3;
    /// Attempts and settlements decide by the time at which they started.
    pub const STALE_TIME: u8 = 4;
    /// A start record drops the exclusions of the tombstone that it replaces.
    pub const DROPPED_EXCLUSIONS: u8 = 5;
    /// A refused attempt leaves its start record in the table.
    pub const NO_WITHDRAWAL: u8 = 6;
    /// Not a rule: the model checks that no retry of a call runs, which must turn out to be false.
    pub const RETRIES_NEVER_RUN: u8 = 7;
}

/// Scheduled step. Its number selects one of the processes or requests that the step applies to.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Start(usize),
    /// The process carries out its pending task; forwarding fails before the call is sent if the
    /// flag is set.
    Execute(usize, bool),
    /// The table serves one of the requests in flight.
    ServeRequest(usize),
    /// A request is lost before it reaches the table.
    DropRequest(usize),
    /// The process stops waiting for the table, which may still serve the request.
    TimeOut(usize),
    /// The table refuses the request of the process without serving it.
    RefuseRequest(usize),
    /// The back end answers, or its answer is lost if the flag is not set.
    BackendAnswer(usize, bool),
    /// Time passes, in milliseconds.
    Advance(u64),
}

#[derive(Clone, Debug)]
enum Request {
    Insert(ClaimRecord),
    Read,
    /// Replaces the record if it still has the version.
    Replace(u64, ClaimRecord),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Task {
    Insert,
    /// Replaces or extends the tombstone that was found.
    Replace,
    Read,
    Forward,
    Store,
    /// Reads the record that a refused attempt may have left, to release the key.
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
    pending_task: Option<Task>,
    /// Number of the table request for whose answer the process waits.
    awaited_request: Option<u64>,
    /// Version of the record when the table last answered.
    version: u64,
    /// Record that was found last.
    found: Option<ClaimRecord>,
    /// Start record of an attempt.
    start_record: Option<ClaimRecord>,
    /// Whether the table may still serve a write of the start record.
    write_lost: bool,
    /// Whether the process is removing the start record that a refused attempt may have left.
    releasing: bool,
    runs: u32,
    in_backend: bool,
    verdict: Option<Verdict>,
    /// Time at which the process started.
    started_at: Instant,
}

pub struct ClaimWorld<const RULE: u8> {
    processes: Vec<Process>,
    requests: Vec<(usize, u64, Request)>,
    record: Option<ClaimRecord>,
    /// Nonces of the attempts that any record has excluded.
    excluded: BTreeSet<u64>,
    version: u64,
    /// Number of table requests sent so far.
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
            12 => (any.clone(), prop::bool::weighted(0.1))
                .prop_map(|(id, fails)| Step::Execute(id, fails)),
            12 => any.clone().prop_map(Step::ServeRequest),
            1 => any.clone().prop_map(Step::DropRequest),
            3 => any.clone().prop_map(Step::TimeOut),
            1 => any.clone().prop_map(Step::RefuseRequest),
            3 => (any, prop::bool::weighted(0.8))
                .prop_map(|(id, whole)| Step::BackendAnswer(id, whole)),
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
        world.run_step(step);
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        let runs: u32 = world.processes.iter().map(|process| process.runs).sum();
        let once = runs <= 1;
        assert!(
            once || !checks_property(RULE, Rule::UNCONDITIONAL_INSERT),
            "calls run at most once"
        );
        // An attempt that any record has excluded never runs, even after the record is replaced.
        let attempts = &world.processes[..ATTEMPTS];
        let excluded = (0..).zip(attempts).all(|(nonce, attempt)| {
            let nonce: u64 = nonce;
            attempt.runs == 0 || !world.excluded.contains(&nonce)
        });
        let proved = !world.has_tombstone() || runs == 0;
        assert!(
            excluded && proved || !checks_property(RULE, Rule::REPLACEABLE_TOMBSTONE),
            "tombstone excludes a run"
        );
        let is_false_not_run =
            (0..ATTEMPTS).any(|id| world.is_not_run(id) && attempts[id].runs > 0);
        let is_checked = checks_property(RULE, Rule::ABSENCE_IS_PROOF)
            || checks_property(RULE, Rule::DROPPED_EXCLUSIONS);
        assert!(!is_false_not_run || !is_checked, "not-run call has run");
        let retries = (0..ATTEMPTS).filter(|id| id % ATTEMPTS_PER_CALLER > 0);
        let retries = retries.map(|id| attempts[id].runs).sum::<u32>();
        assert!(
            retries == 0 || RULE != Rule::RETRIES_NEVER_RUN,
            "retried call runs"
        );
    }

    fn teardown(mut world: Self, (): ()) {
        if checks_property(RULE, Rule::NO_WITHDRAWAL) {
            world.check_key_is_usable();
        }
    }
}

/// Returns whether a model checks the property that a rule guards. A model that leaves out a rule
/// checks only the property of this rule, so that the test shows that the property depends on it.
fn checks_property(left_out: u8, rule: u8) -> bool {
    left_out == Rule::NONE || left_out == rule
}

impl Process {
    fn new(id: usize, now: Instant) -> Self {
        Self {
            machine: new_machine(id, now),
            started: false,
            pending_task: None,
            awaited_request: None,
            version: 0,
            found: None,
            start_record: None,
            write_lost: false,
            releasing: false,
            runs: 0,
            in_backend: false,
            verdict: None,
            started_at: now,
        }
    }

    /// Returns whether a done record is still to be written.
    fn is_storing(&self) -> bool {
        matches!(&self.machine, Machine::Attempt(attempt) if attempt.is_forwarded())
            && self.awaited_request.is_none()
            && !self.in_backend
    }

    fn schedule(&mut self, task: Task) {
        self.pending_task = Some(task);
    }

    fn release(&mut self) {
        self.releasing = true;
        self.schedule(Task::Release);
    }

    fn conclude(&mut self, verdict: Verdict) {
        self.verdict.get_or_insert(verdict);
    }

    fn on_attempt(&mut self, action: Option<AttemptAction>) {
        use AttemptAction as Action;
        match action {
            Some(Action::Insert) => self.schedule(Task::Insert),
            Some(Action::Replace) => self.schedule(Task::Replace),
            Some(Action::Read) => self.schedule(Task::Read),
            Some(Action::Forward) => self.schedule(Task::Forward),
            Some(Action::Store) => self.schedule(Task::Store),
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
            Some(Action::Insert) => self.schedule(Task::Insert),
            Some(Action::Extend) => self.schedule(Task::Replace),
            Some(Action::Read) => self.schedule(Task::Read),
            Some(Action::Wait) => self.schedule(Task::Poll),
            Some(Action::ReportNotRun) => self.conclude(Verdict::NotRun),
            Some(_) => self.conclude(Verdict::Other),
            None => {}
        }
    }
}

impl<const RULE: u8> ClaimWorld<RULE> {
    /// Returns the process that `number` selects among those for which the step is possible.
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

    /// Returns whether a process may start. A caller retries its call only after `not-run`.
    fn may_start(&self, id: usize) -> bool {
        let attempt = id % ATTEMPTS;
        !self.processes[id].started
            && (attempt.is_multiple_of(ATTEMPTS_PER_CALLER) || self.is_not_run(attempt - 1))
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Start(number) => {
                if let Some(id) = self.choose(number, |id| self.may_start(id)) {
                    let process = &mut self.processes[id];
                    process.started = true;
                    process.started_at = self.now;
                    process.machine = new_machine(id, self.now);
                    self.feed(id, AttemptInput::Start, SettlementInput::Start);
                }
            }
            Step::Execute(number, fails) => {
                let can_execute = |id: usize| {
                    let process = &self.processes[id];
                    process.pending_task.is_some() || process.is_storing()
                };
                if let Some(id) = self.choose(number, can_execute) {
                    self.execute(id, fails);
                }
            }
            Step::ServeRequest(index) if !self.requests.is_empty() => {
                let (id, number, request) = self.requests.remove(index % self.requests.len());
                self.serve(id, number, request);
            }
            Step::DropRequest(index) if !self.requests.is_empty() => {
                self.requests.remove(index % self.requests.len());
            }
            Step::TimeOut(number) => {
                if let Some(id) =
                    self.choose(number, |id| self.processes[id].awaited_request.is_some())
                {
                    self.time_out(id);
                }
            }
            Step::RefuseRequest(number) => {
                if let Some(id) =
                    self.choose(number, |id| self.processes[id].awaited_request.is_some())
                {
                    self.refuse_request(id);
                }
            }
            Step::BackendAnswer(number, whole) => {
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

    fn time_out(&mut self, id: usize) {
        let process = &mut self.processes[id];
        process.awaited_request = None;
        if process.releasing {
            return process.schedule(Task::Release);
        }
        process.write_lost = true;
        self.feed(id, AttemptInput::AnswerLost, SettlementInput::AnswerLost);
        self.feed(id, AttemptInput::StoreFailed, SettlementInput::AnswerLost);
    }

    fn refuse_request(&mut self, id: usize) {
        let number = self.processes[id].awaited_request.take();
        self.requests.retain(|(_, sent, _)| Some(*sent) != number);
        if self.processes[id].releasing {
            return self.processes[id].schedule(Task::Release);
        }
        self.feed(id, AttemptInput::TableDown, SettlementInput::TableDown);
        self.feed(id, AttemptInput::StoreFailed, SettlementInput::TableDown);
    }

    fn feed(&mut self, id: usize, attempt: AttemptInput<'_>, settlement: SettlementInput<'_>) {
        let process = &mut self.processes[id];
        let now = if RULE == Rule::STALE_TIME {
            process.started_at
        } else {
            self.now
        };
        match &mut process.machine {
            Machine::Attempt(machine) => {
                let action = machine.handle(attempt, now);
                let late = self.now >= process.started_at + DEADLINE;
                let forward = action == Some(AttemptAction::Forward);
                assert!(!(forward && late), "call is forwarded after the deadline");
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

    fn execute(&mut self, id: usize, fails: bool) {
        let Some(task) = self.processes[id].pending_task.take() else {
            // The write of a done record failed; it is tried again.
            return self.feed(id, AttemptInput::Retry, SettlementInput::Poll);
        };
        let process = &mut self.processes[id];
        let version = process.version;
        let answer = StoredAnswer::NotStored;
        match task {
            Task::Forward if fails => self.feed(id, AttemptInput::NotSent, SettlementInput::Poll),
            Task::Forward => {
                process.runs += 1;
                process.in_backend = true;
            }
            Task::Insert => {
                let record = first_record(id, Vec::new());
                process.start_record = Some(record.clone());
                self.send(id, Request::Insert(record));
            }
            Task::Replace => {
                let found = process.found.clone().expect("a tombstone was found");
                let drops_exclusions = RULE == Rule::DROPPED_EXCLUSIONS && id < ATTEMPTS;
                let excluded = if drops_exclusions {
                    Vec::new()
                } else {
                    found.excluded
                };
                let record = first_record(id, excluded);
                process.start_record = Some(record.clone());
                self.send(id, Request::Replace(version, record));
            }
            Task::Read | Task::Release => self.send(id, Request::Read),
            Task::Store => {
                let done = self
                    .start_record(id)
                    .with_state(ClaimState::Done { answer });
                self.send(id, Request::Replace(version, done));
            }
            Task::Poll => self.feed(id, AttemptInput::Retry, SettlementInput::Poll),
        }
    }

    fn start_record(&self, id: usize) -> ClaimRecord {
        let own = self.processes[id].start_record.clone();
        own.expect("the attempt has written its start record")
    }

    fn send(&mut self, id: usize, request: Request) {
        self.sent += 1;
        self.processes[id].awaited_request = Some(self.sent);
        self.requests.push((id, self.sent, request));
    }

    /// Serves a table request; the answer reaches the process only if it still waits for it.
    fn serve(&mut self, id: usize, number: u64, request: Request) {
        let written = match request {
            Request::Insert(record) => self.accepts_insert().then_some(record),
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
        if self.processes[id].awaited_request != Some(number) {
            return;
        }
        let process = &mut self.processes[id];
        process.awaited_request = None;
        process.version = self.version;
        if process.releasing {
            return self.continue_release(id, committed);
        }
        if committed {
            self.feed(id, AttemptInput::Inserted, SettlementInput::Inserted);
            self.feed(id, AttemptInput::Stored, SettlementInput::Poll);
        } else {
            let record = self.record.clone();
            let found = record.as_ref();
            process.found.clone_from(&record);
            if let Some(own) = found.filter(|record| is_start_of(record, id)) {
                process.start_record = Some(own.clone());
            }
            self.feed(
                id,
                AttemptInput::Found(found),
                SettlementInput::Found(found),
            );
            self.feed(id, AttemptInput::StoreFailed, SettlementInput::Poll);
        }
    }

    fn continue_release(&mut self, id: usize, committed: bool) {
        let own = self.start_record(id);
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

    /// Completes the withdrawals, which agents repeat until the table answers. Afterwards no start
    /// record of an attempt that was reported as not run may block the key, and a new attempt must
    /// get the key if it is free.
    fn check_key_is_usable(&mut self) {
        for _ in 0..WITHDRAWAL_ROUNDS {
            for (id, number, request) in std::mem::take(&mut self.requests) {
                self.serve(id, number, request);
            }
            for id in 0..ATTEMPTS {
                let process = &self.processes[id];
                if !process.releasing {
                    continue;
                }
                if process.pending_task.is_some() {
                    self.execute(id, false);
                } else if process.awaited_request.is_some() {
                    // The request or its answer was lost, or the next round serves the request.
                    let number = process.awaited_request;
                    let is_in_flight = self
                        .requests
                        .iter()
                        .any(|(_, sent, _)| Some(*sent) == number);
                    if !is_in_flight {
                        self.time_out(id);
                    }
                }
            }
        }
        let record = self.record.clone();
        if let Some(record) = record
            .as_ref()
            .filter(|record| record.state == ClaimState::Started)
        {
            let blocks = self.is_not_run(record.nonce as usize);
            assert!(!blocks, "key is blocked after not-run");
        } else if record
            .as_ref()
            .is_none_or(|record| record.state == ClaimState::Tombstone)
        {
            let nonce = 2 * ATTEMPTS as u64;
            let mut probe = ClaimAttempt::new(nonce, BODY_HASH, self.now + DEADLINE);
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

    fn accepts_insert(&self) -> bool {
        match RULE {
            Rule::UNCONDITIONAL_INSERT => true,
            Rule::REPLACEABLE_TOMBSTONE => self.has_tombstone() || self.record.is_none(),
            _ => self.record.is_none(),
        }
    }
}

/// Returns the state machine of a process that starts now. Settlements of entries have twice the
/// time of an attempt, so that they outlast it.
fn new_machine(id: usize, now: Instant) -> Machine {
    let nonce = (id % ATTEMPTS) as u64;
    if id < ATTEMPTS {
        Machine::Attempt(ClaimAttempt::new(nonce, BODY_HASH, now + DEADLINE))
    } else {
        Machine::Settlement(ClaimSettlement::new(nonce, BODY_HASH, now + 2 * DEADLINE))
    }
}

fn is_start_of(record: &ClaimRecord, id: usize) -> bool {
    record.state == ClaimState::Started && record.nonce == id as u64
}

/// Returns the record that an attempt or a settlement writes: a start record or a tombstone.
fn first_record(id: usize, excluded: Vec<u64>) -> ClaimRecord {
    let nonce = (id % ATTEMPTS) as u64;
    let (entry_incarnation, counter) = (0, nonce);
    let record = ClaimRecord {
        state: ClaimState::Started,
        body_hash: BODY_HASH,
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

/// Searches for a violation with the fixed seed and returns its message.
pub fn find_violation<const RULE: u8>() -> Option<String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let steps = ClaimModel::<RULE>::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config.clone()).run(&steps, |((), steps, seen)| {
        ClaimWorld::<RULE>::test_sequential(config.clone(), (), steps, seen);
        Ok(())
    });
    result.err().map(|error| error.to_string())
}
