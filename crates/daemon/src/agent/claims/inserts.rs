//! Queue of claim start records to be written. Records that arrive while a transaction is in flight
//! are batched into the next one.

use {
    crate::{
        constants::MAX_INSERT_GROUP,
        platform::{
            ItemVersion, PlatformError, TableCondition, TableItem, TableOutcome, TableService,
            TableTransaction, TableWrite,
        },
    },
    error_stack::Report,
    futures_util::future::join_all,
    kameo::{
        Actor,
        actor::ActorRef,
        message::{Context, Message},
    },
    sassafrasslip_core::{events::LogEvent::PlatformUnavailable, log_event},
    std::{collections::HashSet, sync::Arc},
    tokio::sync::oneshot,
};

/// Result of writing one start record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InsertResult {
    /// The record was written.
    Inserted {
        /// Version of the table item.
        version: u64,
        /// Time of the write by the table's clock, in milliseconds.
        time_ms: u64,
    },
    /// The key already has this item.
    Found(TableItem),
    /// The write may have taken effect; the record must be read back.
    AnswerLost,
    /// The write did not take effect.
    TableDown,
}

/// Request to write a start record.
#[derive(Debug)]
pub struct InsertRecord {
    /// Key of the table item.
    pub key: String,
    /// Version of the tombstone that the record replaces; 0 if the key must be absent.
    pub version: ItemVersion,
    /// Encoded start record.
    pub value: String,
    /// Channel for the result.
    pub reply: oneshot::Sender<InsertResult>,
}

struct BatchDone;

/// Actor that owns the waiting inserts and has one batch in flight at a time.
#[derive(Actor)]
pub struct InsertQueue {
    table: Arc<dyn TableService>,
    waiting: Vec<InsertRecord>,
    in_flight: bool,
}

impl InsertQueue {
    /// Creates an empty queue that writes to a table.
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self {
            table,
            waiting: Vec::new(),
            in_flight: false,
        }
    }

    fn start_batch(&mut self, queue: &ActorRef<Self>) {
        if self.in_flight || self.waiting.is_empty() {
            return;
        }
        let batch = self.take_batch();
        self.in_flight = true;
        let (table, queue) = (self.table.clone(), queue.clone());
        tokio::spawn(async move {
            insert_batch(table.as_ref(), batch).await;
            let _ = queue.tell(BatchDone).await;
        });
    }

    /// Takes the next batch in order of arrival, each key once: two inserts of one key cannot share
    /// a transaction.
    fn take_batch(&mut self) -> Vec<InsertRecord> {
        let mut keys = HashSet::new();
        let mut batch = Vec::new();
        let mut remaining = Vec::new();
        for insert in self.waiting.drain(..) {
            if batch.len() < MAX_INSERT_GROUP && keys.insert(insert.key.clone()) {
                batch.push(insert);
            } else {
                remaining.push(insert);
            }
        }
        self.waiting = remaining;
        batch
    }
}

impl Message<InsertRecord> for InsertQueue {
    type Reply = ();

    async fn handle(&mut self, insert: InsertRecord, context: &mut Context<Self, ()>) {
        self.waiting.push(insert);
        self.start_batch(context.actor_ref());
    }
}

impl Message<BatchDone> for InsertQueue {
    type Reply = ();

    async fn handle(&mut self, _: BatchDone, context: &mut Context<Self, ()>) {
        self.in_flight = false;
        self.start_batch(context.actor_ref());
    }
}

async fn insert_batch(table: &dyn TableService, batch: Vec<InsertRecord>) {
    if batch.len() == 1 {
        insert_singly(table, batch).await;
        return;
    }
    match table.transact(transaction(&batch)).await {
        Ok(TableOutcome::Committed { version, time_ms }) => {
            reply_all(batch, &InsertResult::Inserted { version, time_ms });
        }
        Ok(TableOutcome::Conflict { .. }) => insert_singly(table, batch).await,
        Err(report) => reply_all(batch, &failure(&report)),
    }
}

async fn insert_singly(table: &dyn TableService, batch: Vec<InsertRecord>) {
    let inserts = batch.into_iter().map(|insert| async {
        let single = [insert];
        let result = insert_one(table, &single).await;
        reply_all(single, &result);
    });
    join_all(inserts).await;
}

async fn insert_one(table: &dyn TableService, single: &[InsertRecord; 1]) -> InsertResult {
    match table.transact(transaction(single)).await {
        Ok(TableOutcome::Committed { version, time_ms }) => {
            InsertResult::Inserted { version, time_ms }
        }
        Ok(TableOutcome::Conflict { conflicts, .. }) => {
            let found = conflicts.into_iter().find(|item| item.key == single[0].key);
            let found = found.filter(|item| item.value.is_some());
            // If the conflict shows no record, for example because an expired one was deleted, the
            // key must be read.
            found.map_or(InsertResult::AnswerLost, InsertResult::Found)
        }
        Err(report) => failure(&report),
    }
}

fn transaction(batch: &[InsertRecord]) -> TableTransaction {
    let conditions = batch.iter().map(|insert| TableCondition {
        key: insert.key.clone(),
        version: insert.version,
    });
    let writes = batch.iter().map(|insert| TableWrite {
        key: insert.key.clone(),
        value: Some(insert.value.clone()),
    });
    TableTransaction {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

fn failure(report: &Report<PlatformError>) -> InsertResult {
    log_event!(PlatformUnavailable, service = "table", error = report);
    if report.current_context().may_have_taken_effect() {
        InsertResult::AnswerLost
    } else {
        InsertResult::TableDown
    }
}

fn reply_all(batch: impl IntoIterator<Item = InsertRecord>, result: &InsertResult) {
    for insert in batch {
        // The receiver is dropped only if its call was aborted as the process ends.
        let _ = insert.reply.send(result.clone());
    }
}
