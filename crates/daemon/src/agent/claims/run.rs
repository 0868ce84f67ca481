//! Run of one claim: performs the actions that the claim state chart of `core::claim` decides on.

use {
    super::{
        ClaimCall, ClaimService,
        inserts::{InsertRecord, InsertResult},
    },
    crate::{
        agent::backend::{BackendAnswer, BackendConnection, BackendStep, headers::answer_headers},
        constants::{
            CLAIM_READ_PAUSE, CLAIM_RETENTION, CLAIM_STORE_PAUSE, CLAIMED_CALL_TIMEOUT,
            MAX_CLAIMED_ANSWER_BYTES,
        },
        platform::{
            ItemVersion, TableItem, TableOutcome, TableTransaction, WholeAnswer, store_answer,
        },
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    sassafrasslip_core::{
        claim::{
            AttemptAction, AttemptInput, ClaimAttempt, ClaimRecord, ClaimState, StoredAnswer,
            attempt::STORE_RETRY_LIMIT, release_record,
        },
        events::LogEvent::{ClaimDone, ClaimInserted, ClaimReadBack, ClaimStoreFailed},
        log_event,
    },
    sassafrasslip_proto::link::RefusalReason,
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Outcome of a call under a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The answer, and whether it was replayed from the record.
    Answer(WholeAnswer, bool),
    /// This attempt did not run the call.
    Refused(RefusalReason),
    /// The call may have run; the text tells why this is unknown.
    Unknown(String),
}

/// Open connection, and the request to be sent on it.
pub type PreparedCall = (BackendConnection, Request<Full<Bytes>>);

/// Claim in progress.
pub struct ClaimRun<'a> {
    pub(super) service: &'a ClaimService,
    pub(super) call: ClaimCall,
    attempt: ClaimAttempt,
    cancelled: CancellationToken,
    prepared: Option<PreparedCall>,
    /// Start record of this attempt, set before its first write.
    pub(super) record: Option<ClaimRecord>,
    /// Version of the record that was found or written last.
    pub(super) version: ItemVersion,
    /// Record of the key that was read last.
    pub(super) found: Option<ClaimRecord>,
    pub(super) answer: Option<WholeAnswer>,
    stored: Option<StoredAnswer>,
    /// Cause of the failure for an unknown outcome.
    pub(super) fault: String,
    /// Whether a write of the start record may still take effect.
    pub(super) write_unconfirmed: bool,
    /// Whether a refused attempt may have left its start record in the table, which would block the
    /// key.
    pub(super) must_release: bool,
}

impl<'a> ClaimRun<'a> {
    /// Creates the run of a claim; nothing is written yet.
    pub fn new(
        service: &'a ClaimService,
        call: ClaimCall,
        prepared: PreparedCall,
        cancelled: CancellationToken,
    ) -> Self {
        Self {
            service,
            attempt: ClaimAttempt::new(call.nonce, call.body_hash, call.deadline),
            call,
            cancelled,
            prepared: Some(prepared),
            record: None,
            version: 0,
            found: None,
            answer: None,
            stored: None,
            fault: String::new(),
            write_unconfirmed: false,
            must_release: false,
        }
    }

    /// Runs the claim until its outcome can be reported to the entry.
    pub async fn execute(&mut self) -> ClaimOutcome {
        let mut action = self.handle(AttemptInput::Start);
        loop {
            action = match action {
                Some(AttemptAction::Insert) => self.write_start(0, Vec::new()).await,
                Some(AttemptAction::Replace) => {
                    let found = self.found.take();
                    let excluded = found.map(|record| record.excluded).unwrap_or_default();
                    self.write_start(self.version, excluded).await
                }
                Some(AttemptAction::Read) => self.read().await,
                Some(AttemptAction::Forward) => self.forward().await,
                Some(AttemptAction::Store) => self.store().await,
                Some(action) => return self.conclude(action).await,
                None => return self.unknown("the claim state chart ignored an event"),
            };
        }
    }

    /// Repeats the write of the done record or of the tombstone if it failed before the outcome was
    /// reported. The tombstone is retried for at most [`STORE_RETRY_LIMIT`].
    pub async fn finish(mut self) {
        let release_until = self.service.clock.now() + STORE_RETRY_LIMIT;
        while self.must_release && self.service.clock.now() < release_until {
            sleep(CLAIM_STORE_PAUSE).await;
            self.must_release = !self.release().await;
        }
        while self.attempt.is_forwarded() {
            sleep(CLAIM_STORE_PAUSE).await;
            if self.handle(AttemptInput::Retry) == Some(AttemptAction::Store) {
                self.store().await;
            }
        }
    }

    fn handle(&mut self, input: AttemptInput<'_>) -> Option<AttemptAction> {
        if self.cancelled.is_cancelled() {
            self.attempt.cancel();
        }
        self.attempt.handle(input, self.service.clock.now())
    }

    fn handle_found(&mut self, item: TableItem) -> Option<AttemptAction> {
        self.version = item.version;
        let Some(value) = item.value else {
            return self.handle(AttemptInput::Found(None));
        };
        let Ok(record) = ClaimRecord::decode(&value) else {
            return self.handle(AttemptInput::Malformed);
        };
        let action = self.handle(AttemptInput::Found(Some(&record)));
        if record.state == ClaimState::Started && record.nonce == self.call.nonce {
            self.record = Some(record.clone());
        }
        self.found = Some(record);
        action
    }

    /// Writes the start record if the table item still has this version.
    async fn write_start(
        &mut self,
        version: ItemVersion,
        excluded: Vec<u64>,
    ) -> Option<AttemptAction> {
        let Some(value) = self.start_record(excluded).await else {
            return self.handle(AttemptInput::TableDown);
        };
        let (reply, result) = oneshot::channel();
        let key = self.call.scope.table_key();
        let insert = InsertRecord {
            key,
            version,
            value,
            reply,
        };
        let _ = self.service.inserts.tell(insert).await;
        match result.await.unwrap_or(InsertResult::AnswerLost) {
            InsertResult::Inserted { version, time_ms } => {
                self.service.table_time.observe(time_ms);
                self.version = version;
                let action = self.handle(AttemptInput::Inserted);
                log_event!(ClaimInserted, request_id = self.call.request_id);
                action
            }
            InsertResult::Found(item) => self.handle_found(item),
            InsertResult::AnswerLost => {
                log_event!(ClaimReadBack, request_id = self.call.request_id);
                self.write_unconfirmed = true;
                self.handle(AttemptInput::AnswerLost)
            }
            InsertResult::TableDown => self.handle(AttemptInput::TableDown),
        }
    }

    /// Encodes the start record; `None` if the table's time cannot be read.
    async fn start_record(&mut self, excluded: Vec<u64>) -> Option<String> {
        let key = self.call.scope.table_key();
        let (table, clock) = (self.service.table.as_ref(), &self.service.table_time);
        let created_ms = clock.now(table, &key).await?;
        let retention_ms = u64::try_from(CLAIM_RETENTION.as_millis()).unwrap_or(u64::MAX);
        let record = ClaimRecord {
            state: ClaimState::Started,
            body_hash: self.call.body_hash,
            nonce: self.call.nonce,
            excluded,
            incarnation: self.service.incarnation,
            request_id: self.call.request_id,
            created_ms,
            retention_ms,
        };
        let value = record.encode().ok();
        self.record = Some(record);
        value
    }

    async fn read(&mut self) -> Option<AttemptAction> {
        let key = self.call.scope.table_key();
        match self.service.table.read(&key).await {
            Ok(read) => {
                self.service.table_time.observe(read.time_ms);
                self.handle_found(read.item)
            }
            Err(_) => {
                sleep(CLAIM_READ_PAUSE).await;
                self.handle(AttemptInput::AnswerLost)
            }
        }
    }

    async fn forward(&mut self) -> Option<AttemptAction> {
        let Some((connection, request)) = self.prepared.take() else {
            return self.handle(AttemptInput::NotSent);
        };
        let started = self.service.clock.now();
        let exchange = async {
            let answer = connection.send(request).await?;
            read_whole(answer).await
        };
        let result = timeout(CLAIMED_CALL_TIMEOUT, exchange).await;
        let duration = self.service.clock.now() - started;
        self.service.metrics.observe_backend(duration);
        match result {
            Ok(Ok(answer)) => {
                self.answer = Some(answer);
                self.handle(AttemptInput::Answered)
            }
            Ok(Err(report)) => {
                let error = report.current_context();
                self.fault = error.to_string();
                let not_sent = error.step == BackendStep::Connect;
                self.handle(if not_sent {
                    AttemptInput::NotSent
                } else {
                    AttemptInput::NoAnswer
                })
            }
            Err(_) => {
                "target did not answer in time".clone_into(&mut self.fault);
                self.handle(AttemptInput::NoAnswer)
            }
        }
    }

    async fn store(&mut self) -> Option<AttemptAction> {
        let Some(record) = self.done_record().await else {
            return self.handle(AttemptInput::StoreFailed);
        };
        let Ok(value) = record.encode() else {
            return self.handle(AttemptInput::StoreFailed);
        };
        if self.replace_record(self.version, value).await {
            log_event!(ClaimDone, request_id = self.call.request_id);
            return self.handle(AttemptInput::Stored);
        }
        log_event!(ClaimStoreFailed, request_id = self.call.request_id);
        self.handle(AttemptInput::StoreFailed)
    }

    async fn done_record(&mut self) -> Option<ClaimRecord> {
        let record = self.record.clone()?;
        let answer = match self.stored.take() {
            Some(stored) => stored,
            None => {
                let key = self.call.scope.object_key(self.call.nonce);
                store_answer(self.service.objects.as_ref(), key, self.answer.as_ref()?).await
            }
        };
        self.stored = Some(answer.clone());
        Some(record.with_state(ClaimState::Done { answer }))
    }

    /// Writes the record if the table item still has this version. Returns whether the write has
    /// taken effect, now or in an earlier attempt whose answer was lost.
    pub(super) async fn replace_record(&self, version: ItemVersion, value: String) -> bool {
        let key = self.call.scope.table_key();
        let transaction = TableTransaction::single(key, version, Some(value.clone()));
        match self.service.table.transact(transaction).await {
            Ok(TableOutcome::Committed { time_ms, .. }) => {
                self.service.table_time.observe(time_ms);
                true
            }
            Ok(TableOutcome::Conflict { conflicts, .. }) => {
                let item = conflicts.first();
                item.is_some_and(|item| item.value.as_ref() == Some(&value))
            }
            Err(_) => false,
        }
    }

    /// Reads the record and replaces it by a tombstone if the start record of this attempt is, or
    /// may still be, written to the key. Returns `false` if that must be tried again.
    async fn release(&self) -> bool {
        let Some(own) = &self.record else {
            return true;
        };
        let key = self.call.scope.table_key();
        let Ok(read) = self.service.table.read(&key).await else {
            return false;
        };
        let found = read.item.value.as_deref().map(ClaimRecord::decode);
        let Ok(found) = found.transpose() else {
            return true;
        };
        let Some(tombstone) = release_record(own, found.as_ref()) else {
            return true;
        };
        match tombstone.encode() {
            Ok(value) => self.replace_record(read.item.version, value).await,
            Err(_) => true,
        }
    }
}

async fn read_whole(mut answer: BackendAnswer) -> crate::agent::backend::Result<WholeAnswer> {
    let status = answer.response.status().as_u16();
    let headers = answer_headers(answer.response.headers());
    let body = answer.read_whole(MAX_CLAIMED_ANSWER_BYTES).await?;
    Ok(WholeAnswer {
        status,
        headers,
        body,
    })
}
