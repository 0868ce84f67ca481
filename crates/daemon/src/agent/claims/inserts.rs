//! Queue of start records to be written: those that arrive while a transaction is in flight share
//! the next one.

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

/// Result of one insert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InsertResult {
    /// The record was written at this version.
    Inserted {
        /// Version of the record.
        version: u64,
        /// Time by the table's clock, in milliseconds.
        time_ms: u64,
    },
    /// The key has another record.
    Found(TableItem),
    /// The write may have taken effect.
    AnswerLost,
    /// The write did not take effect.
    TableDown,
}

/// Write of a start record.
#[derive(Debug)]
pub struct InsertRecord {
    /// Key.
    pub key: String,
    /// Version of the tombstone that the record replaces; 0 if the key must be absent.
    pub version: ItemVersion,
    /// Encoded record.
    pub value: String,
    /// Receives the result.
    pub reply: oneshot::Sender<InsertResult>,
}

struct GroupDone;

/// Actor that owns the inserts that wait.
#[derive(Actor)]
pub struct InsertQueue {
    table: Arc<dyn TableService>,
    waiting: Vec<InsertRecord>,
    in_flight: bool,
}

impl InsertQueue {
    /// Creates an empty queue.
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self {
            table,
            waiting: Vec::new(),
            in_flight: false,
        }
    }

    fn start_group(&mut self, queue: &ActorRef<Self>) {
        if self.in_flight || self.waiting.is_empty() {
            return;
        }
        let group = self.take_group();
        self.in_flight = true;
        let (table, queue) = (self.table.clone(), queue.clone());
        tokio::spawn(async move {
            insert_group(table.as_ref(), group).await;
            let _ = queue.tell(GroupDone).await;
        });
    }

    /// Takes the first inserts, each key once: two inserts of one key cannot share a transaction.
    fn take_group(&mut self) -> Vec<InsertRecord> {
        let mut keys = HashSet::new();
        let mut group = Vec::new();
        let mut rest = Vec::new();
        for insert in self.waiting.drain(..) {
            if group.len() < MAX_INSERT_GROUP && keys.insert(insert.key.clone()) {
                group.push(insert);
            } else {
                rest.push(insert);
            }
        }
        self.waiting = rest;
        group
    }
}

impl Message<InsertRecord> for InsertQueue {
    type Reply = ();

    async fn handle(&mut self, insert: InsertRecord, context: &mut Context<Self, ()>) {
        self.waiting.push(insert);
        self.start_group(context.actor_ref());
    }
}

impl Message<GroupDone> for InsertQueue {
    type Reply = ();

    async fn handle(&mut self, _: GroupDone, context: &mut Context<Self, ()>) {
        self.in_flight = false;
        self.start_group(context.actor_ref());
    }
}

async fn insert_group(table: &dyn TableService, group: Vec<InsertRecord>) {
    if group.len() == 1 {
        insert_singly(table, group).await;
        return;
    }
    match table.transact(transaction(&group)).await {
        Ok(TableOutcome::Committed { version, time_ms }) => {
            reply_all(group, &InsertResult::Inserted { version, time_ms });
        }
        Ok(TableOutcome::Conflict { .. }) => insert_singly(table, group).await,
        Err(report) => reply_all(group, &failure(&report)),
    }
}

async fn insert_singly(table: &dyn TableService, group: Vec<InsertRecord>) {
    let inserts = group.into_iter().map(|insert| async {
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
            // A conflict that shows no record, or an expired one that was deleted, has to be read.
            found.map_or(InsertResult::AnswerLost, InsertResult::Found)
        }
        Err(report) => failure(&report),
    }
}

fn transaction(group: &[InsertRecord]) -> TableTransaction {
    let conditions = group.iter().map(|insert| TableCondition {
        key: insert.key.clone(),
        version: insert.version,
    });
    let writes = group.iter().map(|insert| TableWrite {
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

fn reply_all(group: impl IntoIterator<Item = InsertRecord>, result: &InsertResult) {
    for insert in group {
        // The receiver is gone only if its call was aborted with the process.
        let _ = insert.reply.send(result.clone());
    }
}
