//! Tombstones, which prove that a non-idempotent call was not run.

use {
    crate::platform::{
        Result, TableCondition, TableItem, TableOutcome, TableService, TableTransaction, TableWrite,
    },
    sassafrasslip_core::{
        events::LogEvent::TombstoneInserted,
        ids::{RequestId, ServiceName, TeamName},
        log_event,
    },
    serde::Deserialize,
    serde_json::json,
};

/// Tries to insert one tombstone. An insert whose answer was lost is read back and, as its absence
/// proves nothing, repeated.
const INSERT_TRIES: u32 = 3;

const TOMBSTONE_STATE: &str = "tombstone";

/// What became of a tombstone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TombstoneOutcome {
    /// A start record is there; the call may have run.
    Lost,
    /// The table could not decide.
    Unreachable,
    /// The tombstone stands; the call was not run and cannot run any more.
    Won,
}

#[derive(Debug, Deserialize)]
struct ClaimRecord {
    state: String,
}

/// Returns the table key of the record of a non-idempotent call.
pub fn claim_key(service: &ServiceName, team: &TeamName, key: &str) -> String {
    format!("claim/{service}/{team}/{key}")
}

/// Inserts a tombstone if the call has no record yet.
pub async fn try_tombstone(
    table: &dyn TableService,
    key: &str,
    request_id: RequestId,
) -> TombstoneOutcome {
    for _ in 0..INSERT_TRIES {
        let decided = match insert(table, key, request_id).await {
            Ok(TableOutcome::Committed { .. }) => Some(TombstoneOutcome::Won),
            Ok(TableOutcome::Conflict { conflicts, .. }) => {
                let item = conflicts.iter().find(|item| item.key == key);
                item.and_then(judge)
            }
            Err(error) if error.current_context().may_have_taken_effect() => {
                let read = table.read(key).await;
                read.ok().and_then(|read| judge(&read.item))
            }
            Err(_) => None,
        };
        if let Some(outcome) = decided {
            log_outcome(outcome, key, request_id);
            return outcome;
        }
    }
    TombstoneOutcome::Unreachable
}

async fn insert(
    table: &dyn TableService,
    key: &str,
    request_id: RequestId,
) -> Result<TableOutcome> {
    let record = json!({"state": TOMBSTONE_STATE, "request_id": request_id});
    let transaction = TableTransaction {
        conditions: vec![TableCondition {
            key: key.to_owned(),
            version: 0,
        }],
        writes: vec![TableWrite {
            key: key.to_owned(),
            value: Some(record.to_string()),
        }],
    };
    table.transact(transaction).await
}

/// Judges a record that is there; any tombstone keeps the call from running.
fn judge(item: &TableItem) -> Option<TombstoneOutcome> {
    let value = item.value.as_deref()?;
    let record: Option<ClaimRecord> = serde_json::from_str(value).ok();
    match record {
        Some(record) if record.state == TOMBSTONE_STATE => Some(TombstoneOutcome::Won),
        _ => Some(TombstoneOutcome::Lost),
    }
}

fn log_outcome(outcome: TombstoneOutcome, key: &str, request_id: RequestId) {
    if outcome == TombstoneOutcome::Won {
        log_event!(TombstoneInserted, request_id = request_id, key = key);
    }
}
