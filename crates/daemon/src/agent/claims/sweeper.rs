//! Sweeper that deletes the expired claim records of one service at a low rate.

use {
    super::ClaimService,
    crate::{
        constants::{SWEEP_PAGE_ITEMS, SWEEP_PAGE_PAUSE, SWEEP_PASS_PAUSE},
        platform::{
            Result, TableCondition, TableItem, TableOutcome, TableScan, TableTransaction,
            TableWrite,
        },
    },
    sassafrasslip_core::{
        claim::{ClaimRecord, ClaimScope},
        events::LogEvent::{ClaimsSwept, PlatformUnavailable},
        ids::ServiceName,
        log_event,
    },
    std::sync::Arc,
    tokio::time::sleep,
};

/// Sweeps until the process ends. A random pause before each pass spreads the sweeps of a service's
/// agents over time.
pub async fn run(claims: Arc<ClaimService>, service: ServiceName) {
    loop {
        sleep(SWEEP_PASS_PAUSE.mul_f64(rand::random::<f64>())).await;
        if let Err(error) = sweep_pass(&claims, &service).await {
            log_event!(PlatformUnavailable, service = "table", error = error);
        }
        sleep(SWEEP_PASS_PAUSE).await;
    }
}

/// Scans all claim records of a service once; returns how many were deleted.
///
/// # Errors
///
/// Fails if the table does not answer; the remaining records are left to the next pass.
pub async fn sweep_pass(claims: &ClaimService, service: &ServiceName) -> Result<usize> {
    let prefix = ClaimScope::service_prefix(service);
    let mut after = String::new();
    let mut deleted = 0;
    loop {
        let page = claims.table.scan(&prefix, &after, SWEEP_PAGE_ITEMS).await?;
        claims.table_time.observe(page.time_ms);
        deleted += delete_expired(claims, &page).await?;
        match page.items.last() {
            Some(last) if page.more => last.key.clone_into(&mut after),
            _ => break,
        }
        sleep(SWEEP_PAGE_PAUSE).await;
    }
    if deleted > 0 {
        log_event!(ClaimsSwept, service = service, deleted = deleted);
    }
    Ok(deleted)
}

async fn delete_expired(claims: &ClaimService, page: &TableScan) -> Result<usize> {
    let expired = page.items.iter();
    let expired: Vec<_> = expired
        .filter(|item| is_expired(item, page.time_ms))
        .collect();
    if expired.is_empty() {
        return Ok(0);
    }
    let conditions = expired.iter().map(|item| TableCondition {
        key: item.key.clone(),
        version: item.version,
    });
    let writes = expired.iter().map(|item| TableWrite {
        key: item.key.clone(),
        value: None,
    });
    let transaction = TableTransaction {
        conditions: conditions.collect(),
        writes: writes.collect(),
    };
    match claims.table.transact(transaction).await? {
        TableOutcome::Committed { .. } => Ok(expired.len()),
        // Another sweeper or a new claim changed a record first; the next pass deletes the rest.
        TableOutcome::Conflict { .. } => Ok(0),
    }
}

/// Returns whether a record has expired. A record that cannot be decoded is kept, because deleting
/// it might let a call run twice.
fn is_expired(item: &TableItem, time_ms: u64) -> bool {
    let record = item.value.as_deref().map(ClaimRecord::decode);
    matches!(record, Some(Ok(record)) if record.is_expired(time_ms))
}
