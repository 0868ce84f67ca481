//! Settlement of an attempt whose answer was lost: finds out from the claim record whether the call
//! has run, or writes a tombstone so that it never will. Carries out the actions of the state
//! machine [`ClaimSettlement`].

use {
    super::{attempt::AttemptFailure, run::RequestRun},
    crate::{
        constants::{
            CLAIM_POLL_PAUSE, CLAIM_READ_PAUSE, CLAIM_RETENTION, MAX_ANSWER_BYTES,
            SETTLEMENT_GRACE, SETTLEMENT_TABLE_TIMEOUT,
        },
        platform::{
            ItemVersion, PlatformError, Result, TableItem, TableOutcome, TableTransaction,
            WholeAnswer, load_answer,
        },
    },
    error_stack::Report,
    sassafrasslip_core::{
        claim::{
            BodyHash, ClaimRecord, ClaimSettlement, ClaimState, SettlementAction, SettlementInput,
            StoredAnswer,
        },
        events::LogEvent::{PlatformUnavailable, TombstoneInserted},
        log_event,
        retry::AttemptEvent,
    },
    std::{borrow::Cow, result},
    tokio::time::{Instant, sleep, sleep_until, timeout_at},
};

/// Result of the settlement of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum SettlementOutcome {
    /// The attempt did not run and can no longer run.
    NotRun,
    /// The call under this idempotency key has run; holds its answer.
    Replay(StoredAnswer),
    /// The attempt may have run, or may still run.
    Unknown,
}

/// Determines whether the attempt with this nonce has run.
pub async fn settle(run: &RequestRun, failure: &AttemptFailure, nonce: u64) -> SettlementOutcome {
    let body_hash = run.request.body_hash();
    // A start record found less than one poll interval before the caller's deadline is unlikely to
    // be done by the deadline, so polling stops one interval earlier.
    let last_poll = run.deadline.checked_sub(CLAIM_POLL_PAUSE);
    let deadline = if failure.event == AttemptEvent::Unknown {
        // The agent has abandoned the call, so its start record never becomes a done record.
        Instant::now()
    } else {
        last_poll.unwrap_or(run.deadline)
    };
    let settlement = SettlementRun {
        run,
        key: run.claim_scope().table_key(),
        nonce,
        body_hash,
        deadline,
        state_machine: ClaimSettlement::new(nonce, body_hash, deadline),
        found: None,
        version: 0,
        table_failing_since: None,
    };
    settlement.decide().await
}

/// Loads the stored answer of a call that has run.
///
/// # Errors
///
/// Fails if the answer was not stored, cannot be read or is too large for the entry.
pub async fn load(
    run: &RequestRun,
    stored: &StoredAnswer,
) -> result::Result<WholeAnswer, AttemptFailure> {
    let failure = |reason| AttemptFailure {
        event: AttemptEvent::Unknown,
        reason: Cow::Borrowed(reason),
        retry_after: None,
        required_revision: None,
    };
    if matches!(stored, StoredAnswer::Object { length, .. } if *length > MAX_ANSWER_BYTES as u64) {
        return Err(failure("answer_too_large"));
    }
    let latest = run.deadline.max(Instant::now() + SETTLEMENT_GRACE);
    let loaded = timeout_at(latest, load_answer(run.context.objects.as_ref(), stored)).await;
    loaded
        .ok()
        .flatten()
        .ok_or_else(|| failure("answer_not_stored"))
}

struct SettlementRun<'a> {
    run: &'a RequestRun,
    key: String,
    nonce: u64,
    body_hash: BodyHash,
    deadline: Instant,
    state_machine: ClaimSettlement,
    found: Option<ClaimRecord>,
    version: ItemVersion,
    /// Time of the first of the consecutive table calls that failed; `None` after a success.
    table_failing_since: Option<Instant>,
}

impl SettlementRun<'_> {
    async fn decide(mut self) -> SettlementOutcome {
        let mut action = self.handle(SettlementInput::Start);
        loop {
            action = match action {
                Some(SettlementAction::Insert) => self.write(0).await,
                Some(SettlementAction::Extend) => self.write(self.version).await,
                Some(SettlementAction::Read) => self.read().await,
                Some(SettlementAction::Wait) => {
                    let next = Instant::now() + CLAIM_POLL_PAUSE;
                    sleep_until(next.min(self.deadline)).await;
                    self.handle(SettlementInput::Poll)
                }
                Some(SettlementAction::ReportNotRun) => {
                    let request_id = self.run.request.id;
                    log_event!(TombstoneInserted, request_id = request_id, key = self.key);
                    return SettlementOutcome::NotRun;
                }
                Some(SettlementAction::Replay) => return self.replay(),
                Some(SettlementAction::ReportUnknown) | None => return SettlementOutcome::Unknown,
            };
            let failing_since = self.table_failing_since;
            if failing_since.is_some_and(|since| since.elapsed() >= SETTLEMENT_TABLE_TIMEOUT) {
                return SettlementOutcome::Unknown;
            }
        }
    }

    fn replay(self) -> SettlementOutcome {
        match self.found.map(|record| record.state) {
            Some(ClaimState::Done { answer }) => SettlementOutcome::Replay(answer),
            _ => SettlementOutcome::Unknown,
        }
    }

    fn handle(&mut self, input: SettlementInput<'_>) -> Option<SettlementAction> {
        self.state_machine.handle(input, Instant::now())
    }

    fn handle_found(&mut self, item: TableItem) -> Option<SettlementAction> {
        self.table_failing_since = None;
        self.version = item.version;
        let Some(value) = item.value else {
            return self.handle(SettlementInput::Found(None));
        };
        let Ok(record) = ClaimRecord::decode(&value) else {
            return self.handle(SettlementInput::Malformed);
        };
        let action = self.handle(SettlementInput::Found(Some(&record)));
        self.found = Some(record);
        action
    }

    /// Handles a table call that failed or did not show the record; pauses before the next call.
    async fn handle_table_failure(
        &mut self,
        input: SettlementInput<'_>,
    ) -> Option<SettlementAction> {
        self.table_failing_since.get_or_insert_with(Instant::now);
        let action = self.handle(input);
        if action != Some(SettlementAction::ReportUnknown) {
            sleep(CLAIM_READ_PAUSE).await;
        }
        action
    }

    /// Limits a table call to the caller's deadline, or to [`SETTLEMENT_GRACE`] if that ends later:
    /// the one write that can still prove that the call was not run is worth the short delay.
    async fn with_timeout<T>(&self, call: impl Future<Output = Result<T>>) -> Option<Result<T>> {
        let latest = self.run.deadline.max(Instant::now() + SETTLEMENT_GRACE);
        timeout_at(latest, call).await.ok()
    }

    /// Writes the tombstone if the item still has this version; 0 means that there is no item.
    async fn write(&mut self, version: ItemVersion) -> Option<SettlementAction> {
        let Some(value) = self.tombstone(version).await else {
            return self.handle_table_failure(SettlementInput::TableDown).await;
        };
        let transaction = TableTransaction::single(self.key.clone(), version, Some(value));
        match self
            .with_timeout(self.run.context.table.transact(transaction))
            .await
        {
            Some(Ok(TableOutcome::Committed { time_ms, .. })) => {
                self.run.context.table_time.observe(time_ms);
                self.table_failing_since = None;
                self.handle(SettlementInput::Inserted)
            }
            Some(Ok(TableOutcome::Conflict { conflicts, .. })) => {
                let mut items = conflicts.into_iter();
                let item = items.find(|item| item.key == self.key && item.value.is_some());
                match item {
                    Some(item) => self.handle_found(item),
                    // The conflict does not show the record, so it has to be read.
                    None => self.handle_table_failure(SettlementInput::AnswerLost).await,
                }
            }
            Some(Err(report)) if !may_have_taken_effect(&report) => {
                self.handle_table_failure(SettlementInput::TableDown).await
            }
            Some(Err(_)) | None => self.handle_table_failure(SettlementInput::AnswerLost).await,
        }
    }

    /// Encodes the tombstone, which also excludes the attempts that the replaced record excluded;
    /// `None` if the table's clock cannot be read or the record cannot be encoded.
    async fn tombstone(&self, version: ItemVersion) -> Option<String> {
        let context = &self.run.context;
        let now = async {
            let clock = &context.table_time;
            Ok(clock.now(context.table.as_ref(), &self.key).await)
        };
        let created_ms = self.with_timeout(now).await?.ok()??;
        let found = self.found.as_ref().filter(|_| version > 0);
        let excluded = found.map(|record| record.excluded.clone());
        let record = ClaimRecord {
            state: ClaimState::Tombstone,
            body_hash: self.body_hash,
            nonce: self.nonce,
            excluded: excluded.unwrap_or_default(),
            incarnation: context.identity.incarnation,
            request_id: self.run.request.id,
            created_ms,
            retention_ms: u64::try_from(CLAIM_RETENTION.as_millis()).unwrap_or(u64::MAX),
        };
        record.excluding(self.nonce).encode().ok()
    }

    async fn read(&mut self) -> Option<SettlementAction> {
        let read = self
            .with_timeout(self.run.context.table.read(&self.key))
            .await;
        match read {
            Some(Ok(read)) => {
                self.run.context.table_time.observe(read.time_ms);
                self.handle_found(read.item)
            }
            Some(Err(_)) | None => self.handle_table_failure(SettlementInput::AnswerLost).await,
        }
    }
}

/// Logs a failed write; returns whether it may have taken effect although it failed.
fn may_have_taken_effect(report: &Report<PlatformError>) -> bool {
    log_event!(PlatformUnavailable, service = "table", error = report);
    report.current_context().may_have_taken_effect()
}
