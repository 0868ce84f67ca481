//! Operators that race on one default, and operators that repeat a change.

use {
    super::TrackedEntry,
    crate::http::{ClientAnswer, HttpClient},
    bytes::Bytes,
    hyper::Method,
    serde_json::{Value, json},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Defaults that have no influence on the load.
const KEYS: [&str; 3] = [
    "placement.horizon",
    "placement.hysteresis",
    "routing.other_zone_cost",
];
/// Longest wait of an operator; a change is decided within 6 s.
const OPERATOR_LIMIT: Duration = Duration::from_secs(9);
/// Wait of an operator whose answer is lost, shorter than a commit with its acceptance.
const LOST_LIMIT: Duration = Duration::from_millis(20);
const REPEAT_PAUSE: Duration = Duration::from_millis(700);
const MAX_REPEATS: usize = 20;

/// Change that an entry reported as committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommittedChange {
    /// Change id.
    pub change_id: String,
    /// Revision.
    pub revision: u64,
    /// Item.
    pub item: String,
    /// Value after the change.
    pub after: Value,
}

/// Changes of all operators.
#[derive(Debug, Default)]
pub struct ChangeBoard {
    committed: Mutex<Vec<CommittedChange>>,
    faults: Mutex<Vec<String>>,
    accepted: AtomicU64,
    next: AtomicU64,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ChangeBoard {
    /// Returns the highest accepted revision.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Returns the changes that were reported as committed.
    pub fn committed(&self) -> Vec<CommittedChange> {
        lock(&self.committed).clone()
    }

    /// Returns descriptions of lost or doubled changes.
    pub fn faults(&self) -> Vec<String> {
        lock(&self.faults).clone()
    }

    fn add_fault(&self, fault: String) {
        lock(&self.faults).push(fault);
    }

    fn next_change(&self, kind: &str) -> String {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        format!("{kind}-{number}")
    }

    /// Notes a report; returns its revision.
    fn note(&self, answer: &ClientAnswer) -> Option<u64> {
        let body: Value = answer.json().ok()?;
        // A change that is committed and not yet confirmed must not revert either.
        let report = match answer.status.as_u16() {
            200 => &body,
            504 => &body["error"]["current"],
            _ => return None,
        };
        let change = CommittedChange {
            change_id: report["change_id"].as_str()?.to_owned(),
            revision: report["revision"].as_u64()?,
            item: report["item"].as_str()?.to_owned(),
            after: report["after"].clone(),
        };
        let revision = change.revision;
        if report["accepted"] == true {
            self.accepted.fetch_max(revision, Ordering::SeqCst);
        }
        lock(&self.committed).push(change);
        Some(revision)
    }
}

/// Sends a change of a default.
async fn put(
    client: &HttpClient,
    entry: &TrackedEntry,
    key: &str,
    body: &Value,
) -> Option<ClientAnswer> {
    let path = format!("/v1/defaults/{key}");
    let body = Bytes::from(body.to_string());
    let answer = client.call(Method::PUT, entry.operator_address, &path, body);
    answer.await.ok()
}

async fn item_revision(client: &HttpClient, entry: &TrackedEntry, key: &str) -> Option<u64> {
    let answer = client.get(entry.operator_address, "/v1/defaults").await;
    let body: Value = answer.ok()?.json().ok()?;
    let defaults = body["defaults"].as_array()?;
    let default = defaults.iter().find(|default| default["key"] == key)?;
    default["revision"].as_u64()
}

fn key_and_value(draw: u64) -> (&'static str, u64) {
    (KEYS[draw as usize % KEYS.len()], 1 + draw % 9)
}

/// Two operators change one default from the same revision: at most one may succeed.
pub async fn race(board: Arc<ChangeBoard>, entries: [TrackedEntry; 2], draw: u64) {
    let client = HttpClient::new(OPERATOR_LIMIT);
    let (key, value) = key_and_value(draw);
    let Some(revision) = item_revision(&client, &entries[0], key).await else {
        return;
    };
    let bodies = [value, value + 1].map(|value| {
        json!({
            "value": value.to_string(), "expected_revision": revision, "operator": "racer",
            "change_id": board.next_change("race"), "reason": "race of two operators",
        })
    });
    let (first, second) = tokio::join!(
        put(&client, &entries[0], key, &bodies[0]),
        put(&client, &entries[1], key, &bodies[1])
    );
    let answers = [first, second];
    let revisions = answers.iter().flatten();
    let revisions: Vec<_> = revisions.filter_map(|answer| board.note(answer)).collect();
    if revisions.len() > 1 {
        board.add_fault(format!(
            "both changes of {key} at {revision}: {revisions:?}"
        ));
    }
}

/// An operator gives up before the answer and repeats the change until it is answered.
pub async fn repeat(board: Arc<ChangeBoard>, entries: Vec<TrackedEntry>, draw: u64) {
    let (key, value) = key_and_value(draw);
    let body = json!({
        "value": value.to_string(), "operator": "repeater", "reason": "answer was lost",
        "change_id": board.next_change("repeat"),
    });
    let first = put(&HttpClient::new(LOST_LIMIT), &entries[0], key, &body).await;
    let mut revision = first.and_then(|answer| board.note(&answer));
    let client = HttpClient::new(OPERATOR_LIMIT);
    for number in 1..MAX_REPEATS {
        let entry = &entries[number % entries.len()];
        let answer = put(&client, entry, key, &body).await;
        let noted = answer.as_ref().and_then(|answer| board.note(answer));
        if let (Some(first), Some(again)) = (revision, noted)
            && first != again
        {
            board.add_fault(format!("{body} ran at {first} and again at {again}"));
        }
        revision = revision.or(noted);
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        sleep(REPEAT_PAUSE).await;
    }
}
