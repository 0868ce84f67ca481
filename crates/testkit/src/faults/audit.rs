//! Audit at the end of a round, when all faults are lifted and the fleet has settled.

use {
    super::{
        TrackedEntry,
        callers::BookedCall,
        observer::read_revision,
        operators::{ChangeBoard, CommittedChange},
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
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Unsettled bookings that are asked for again at the end.
const MAX_ASKED_AGAIN: usize = 200;

/// Waits until all entries have a lease at one revision; returns it.
pub async fn settle(entries: &[TrackedEntry], board: &ChangeBoard, totals: &mut FaultTotals) {
    let client = HttpClient::new(CALL_LIMIT);
    let end = Instant::now() + SETTLE_LIMIT;
    let mut seen = Vec::new();
    while Instant::now() < end {
        seen.clear();
        for entry in entries {
            seen.push((entry.name.clone(), read_revision(&client, entry).await));
        }
        let first = seen.first().and_then(|(_, seen)| *seen);
        let is_live = first.is_some_and(|first| !first.cut_off);
        let is_new = first.is_some_and(|first| first.revision >= board.accepted());
        if is_live && is_new && seen.iter().all(|(_, seen)| *seen == first) {
            return;
        }
        sleep(SETTLE_PAUSE).await;
    }
    let accepted = board.accepted();
    totals.add_reverted(format!("entries differ, {accepted} was accepted: {seen:?}"));
}

/// Checks that each committed change is in the history once, and that the newest change of each
/// default is in force.
pub async fn check_changes(entry: &TrackedEntry, board: &ChangeBoard, totals: &mut FaultTotals) {
    for fault in board.faults() {
        totals.add_reverted(fault);
    }
    let client = HttpClient::new(CALL_LIMIT);
    let path = "/v1/history?limit=1000";
    let answer = client.get(entry.operator_address, path).await;
    let history: Option<Value> = answer.ok().and_then(|answer| answer.json().ok());
    let Some(changes) = history.as_ref().and_then(|body| body["changes"].as_array()) else {
        totals.add_reverted("no history".to_owned());
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
    for change in board.committed() {
        if !is_listed(changes, &change) {
            totals.add_reverted(format!("committed and not in the history: {change:?}"));
        }
    }
    check_values(&client, entry, changes, totals).await;
}

fn is_listed(changes: &[Value], change: &CommittedChange) -> bool {
    changes.iter().any(|listed| {
        listed["change_id"] == change.change_id.as_str()
            && listed["revision"] == change.revision
            && listed["after"] == change.after
    })
}

/// The history is newest first, so the first change of an item gives its value.
async fn check_values(
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
                "{item} is {value}, its last change made it {expected}"
            ));
        }
    }
}

/// Repeats the keyed bookings without a known outcome. A repeat has to give the stored answer or
/// run the booking for the first time; the counts show which.
pub async fn ask_again(
    arguments: &LoadArguments,
    client: &HttpClient,
    bookings: &mut [BookedCall],
    totals: &mut FaultTotals,
) -> usize {
    let mut answered = 0;
    let is_open =
        |booked: &&mut BookedCall| booked.end == BookingEnd::Open && booked.call.is_repeatable();
    for booked in bookings.iter_mut().filter(is_open).take(MAX_ASKED_AGAIN) {
        match attempt(arguments, client, &booked.call, 1).await {
            AttemptOutcome::Answered(_) => {
                booked.end = BookingEnd::Answered;
                answered += 1;
            }
            AttemptOutcome::Wrong(fault) => {
                totals.add_wrong(format!("{fault} for the repeat of {:?}", booked.call));
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

/// Compares the bookings with the runs that the service stand-ins counted.
///
/// # Errors
///
/// Fails if a stand-in does not answer.
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
                totals.add_wrong(format!("answered and did not run: {booked:?}"));
            }
            (BookingEnd::NotRun, Some(_)) => {
                totals.add_wrong(format!("refused as not-run and ran: {booked:?}"));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Steps of the model groups.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepCounts {
    /// Steps of all groups.
    pub steps: u64,
    /// Highest version of an expert map, which shows that maps were changed.
    pub map_version: u64,
}

/// Checks that all ranks used the same expert map in every step.
///
/// # Errors
///
/// Fails if an engine does not answer.
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
