//! Audit at the end of a round, after all faults have been cleared and the entries agree on the
//! configuration again.

use {
    super::{
        TrackedEntry,
        callers::BookedCall,
        observer::read_revision,
        operators::{ChangeLedger, CommittedChange},
        totals::FaultTotals,
    },
    crate::{
        engine::EngineLoad,
        harness::{Fleet, Result},
        http::HttpClient,
        load::{
            LoadArguments,
            attempt::{AttemptOutcome, attempt},
            plan::{CallBody, PlannedCall},
            summary::BookingEnd,
        },
        service::ServiceCounts,
    },
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest time until all entries have a lease at the same revision.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(20);
const CONVERGENCE_POLL: Duration = Duration::from_millis(200);
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Most bookings without a known outcome that are retried at the end.
const MAX_RETRIED_BOOKINGS: usize = 200;

/// Waits until all entries have a configuration lease at the same revision, and that revision is at
/// least the highest accepted one. Counts a violation if they do not within the time limit.
pub async fn wait_for_convergence(
    entries: &[TrackedEntry],
    ledger: &ChangeLedger,
    totals: &mut FaultTotals,
) {
    let client = HttpClient::new(CALL_LIMIT);
    let end = Instant::now() + CONVERGENCE_LIMIT;
    let mut seen = Vec::new();
    while Instant::now() < end {
        seen.clear();
        for entry in entries {
            seen.push((entry.name.clone(), read_revision(&client, entry).await));
        }
        let first = seen.first().and_then(|(_, seen)| *seen);
        let is_live = first.is_some_and(|first| !first.cut_off);
        let is_current = first.is_some_and(|first| first.revision >= ledger.accepted());
        if is_live && is_current && seen.iter().all(|(_, seen)| *seen == first) {
            return;
        }
        sleep(CONVERGENCE_POLL).await;
    }
    let accepted = ledger.accepted();
    totals.add_reverted(format!(
        "entries did not converge, revision {accepted} was accepted: {seen:?}"
    ));
}

/// Checks that the history contains each committed change exactly once, and that each default has
/// the value of its newest change.
pub async fn check_changes(entry: &TrackedEntry, ledger: &ChangeLedger, totals: &mut FaultTotals) {
    for violation in ledger.violations() {
        totals.add_reverted(violation);
    }
    let client = HttpClient::new(CALL_LIMIT);
    let path = "/v1/history?limit=1000";
    let answer = client.get(entry.operator_address, path).await;
    let history: Option<Value> = answer.ok().and_then(|answer| answer.json().ok());
    let Some(changes) = history.as_ref().and_then(|body| body["changes"].as_array()) else {
        totals.add_reverted("the history cannot be read".to_owned());
        return;
    };
    let mut ids: BTreeMap<&str, u64> = BTreeMap::new();
    for change in changes {
        *ids.entry(change["change_id"].as_str().unwrap_or_default())
            .or_default() += 1;
    }
    for (id, count) in ids.iter().filter(|(_, count)| **count > 1) {
        totals.add_reverted(format!("change {id} is in the history {count} times"));
    }
    for change in ledger.committed() {
        if !is_listed(changes, &change) {
            totals.add_reverted(format!(
                "committed change is not in the history: {change:?}"
            ));
        }
    }
    check_defaults(&client, entry, changes, totals).await;
}

fn is_listed(changes: &[Value], change: &CommittedChange) -> bool {
    changes.iter().any(|listed| {
        listed["change_id"] == change.change_id.as_str()
            && listed["revision"] == change.revision
            && listed["after"] == change.after
    })
}

/// Compares each default with its newest change. The history is sorted from new to old, so the
/// first change of an item is its newest one.
async fn check_defaults(
    client: &HttpClient,
    entry: &TrackedEntry,
    changes: &[Value],
    totals: &mut FaultTotals,
) {
    let answer = client.get(entry.operator_address, "/v1/defaults").await;
    let body: Option<Value> = answer.ok().and_then(|answer| answer.json().ok());
    let defaults = body.as_ref().and_then(|body| body["defaults"].as_array());
    for default in defaults.into_iter().flatten() {
        let item = format!("default/{}", default["key"].as_str().unwrap_or_default());
        let newest = changes
            .iter()
            .find(|change| change["item"] == item.as_str());
        let expected = newest.map_or(&default["initial"], |change| &change["after"]);
        if *expected != default["value"] {
            let value = &default["value"];
            totals.add_reverted(format!(
                "{item} is {value}, but its newest change set it to {expected}"
            ));
        }
    }
}

/// Retries the keyed bookings without a known outcome and returns how many were answered. A retry
/// has to return the stored answer or run the booking for the first time; [`check_runs`] then finds
/// out whether it ran twice.
pub async fn retry_open_bookings(
    arguments: &LoadArguments,
    client: &HttpClient,
    bookings: &mut [BookedCall],
    totals: &mut FaultTotals,
) -> usize {
    let mut answered = 0;
    let is_open =
        |booked: &&mut BookedCall| booked.end == BookingEnd::Open && booked.call.is_repeatable();
    for booked in bookings
        .iter_mut()
        .filter(is_open)
        .take(MAX_RETRIED_BOOKINGS)
    {
        match attempt(arguments, client, &booked.call, 1).await {
            AttemptOutcome::Answered(_) => {
                booked.end = BookingEnd::Answered;
                answered += 1;
            }
            AttemptOutcome::Wrong(fault) => {
                totals.add_wrong(format!("{fault} for the retry of {:?}", booked.call));
            }
            _ => {}
        }
    }
    answered
}

fn order(call: &PlannedCall) -> &str {
    match &call.body {
        CallBody::Book { order, .. } => order,
        CallBody::Generate { .. } | CallBody::LookUp { .. } => "",
    }
}

/// Compares the outcomes of the bookings with the runs that the service stand-ins counted. A
/// booking may run once at most, an answered one has to have run, and one refused as not-run must
/// not have run.
///
/// # Errors
///
/// Returns an error if a service stand-in does not answer.
pub async fn check_runs(
    fleet: &Fleet,
    bookings: &[BookedCall],
    totals: &mut FaultTotals,
) -> Result<()> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &fleet.services {
        let text = fleet.read(service.address, "/admin/counts").await?;
        let counts: ServiceCounts = serde_json::from_str(&text).unwrap_or_default();
        for (order, count) in counts.by_order {
            *runs.entry(order).or_default() += count;
        }
    }
    for (order, count) in runs.iter().filter(|(_, count)| **count > 1) {
        let booked = bookings
            .iter()
            .find(|booked| self::order(&booked.call) == order);
        totals.add_doubled(format!("order {order} ran {count} times: {booked:?}"));
    }
    for booked in bookings {
        match (booked.end, runs.get(order(&booked.call))) {
            (BookingEnd::Answered, None) => {
                totals.add_wrong(format!("answered but did not run: {booked:?}"));
            }
            (BookingEnd::NotRun, Some(_)) => {
                totals.add_wrong(format!("refused as not-run but ran: {booked:?}"));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Engine steps and map versions of the model groups.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepCounts {
    /// Number of steps of all groups.
    pub steps: u64,
    /// Highest expert map version of all groups, which shows whether maps changed during the round.
    pub map_version: u64,
}

/// Checks that in every step all ranks of a group used the same expert map.
///
/// # Errors
///
/// Returns an error if an engine stand-in does not answer.
pub async fn check_steps(fleet: &Fleet, totals: &mut FaultTotals) -> Result<StepCounts> {
    let mut counts = StepCounts::default();
    for group in &fleet.groups {
        let violations = fleet.violations(group).await?;
        counts.steps += violations.steps;
        let text = fleet.read(group.servers[0], "/v1/load").await?;
        let load: EngineLoad = serde_json::from_str(&text).unwrap_or_default();
        counts.map_version = counts.map_version.max(load.map_version);
        if violations.mixed_map_steps > 0 {
            totals.add_wrong(format!("{}: {violations:?}", group.name));
        }
    }
    Ok(counts)
}
