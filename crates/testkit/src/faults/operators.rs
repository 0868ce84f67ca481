//! Operators that change the same default concurrently, and operators that retry a change.

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

/// Defaults that the operators change; they have no influence on the load.
const KEYS: [&str; 3] = [
    "placement.horizon",
    "placement.hysteresis",
    "routing.other_zone_cost",
];
/// Longest wait of an operator for an answer; a change is decided within 6 s.
const OPERATOR_LIMIT: Duration = Duration::from_secs(9);
/// Time limit of an operator whose answer is to be lost, shorter than a commit with its acceptance
/// takes.
const LOST_ANSWER_LIMIT: Duration = Duration::from_millis(20);
const REPEAT_PAUSE: Duration = Duration::from_millis(700);
const MAX_REPEATS: usize = 20;

/// Change that an entry reported as committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommittedChange {
    /// Id that the operator chose, which identifies retries of the change.
    pub change_id: String,
    /// Configuration revision that the change made.
    pub revision: u64,
    /// Configuration item that was changed, such as `default/KEY`.
    pub item: String,
    /// Value of the item after the change.
    pub after: Value,
}

/// Record of the changes of all operators in a round, for the audit.
#[derive(Debug, Default)]
pub struct ChangeLedger {
    committed: Mutex<Vec<CommittedChange>>,
    violations: Mutex<Vec<String>>,
    accepted: AtomicU64,
    next: AtomicU64,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ChangeLedger {
    /// Returns the highest accepted revision, 0 if there is none.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Returns the changes that entries reported as committed; a retried change may occur more than
    /// once.
    pub fn committed(&self) -> Vec<CommittedChange> {
        lock(&self.committed).clone()
    }

    /// Returns descriptions of changes that were committed twice or against a concurrent one.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    fn add_violation(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    fn next_change(&self, kind: &str) -> String {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        format!("{kind}-{number}")
    }

    /// Records the change that an answer reports as committed and returns its revision; `None` if
    /// the answer reports none.
    fn record(&self, answer: &ClientAnswer) -> Option<u64> {
        let body: Value = answer.json().ok()?;
        // A 504 answer reports a change that is committed but not confirmed; it must not be
        // reverted either.
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

/// Sends a change of a default to an entry; returns `None` if there is no answer.
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

/// Two operators change one default concurrently from the same revision. At most one change may be
/// committed.
pub async fn race(ledger: Arc<ChangeLedger>, entries: [TrackedEntry; 2], draw: u64) {
    let client = HttpClient::new(OPERATOR_LIMIT);
    let (key, value) = key_and_value(draw);
    let Some(revision) = item_revision(&client, &entries[0], key).await else {
        return;
    };
    let bodies = [value, value + 1].map(|value| {
        json!({
            "value": value.to_string(), "expected_revision": revision, "operator": "racer",
            "change_id": ledger.next_change("race"), "reason": "race of two operators",
        })
    });
    let (first, second) = tokio::join!(
        put(&client, &entries[0], key, &bodies[0]),
        put(&client, &entries[1], key, &bodies[1])
    );
    let answers = [first, second];
    let revisions = answers.iter().flatten();
    let revisions: Vec<_> = revisions
        .filter_map(|answer| ledger.record(answer))
        .collect();
    if revisions.len() > 1 {
        ledger.add_violation(format!(
            "two changes of {key} from revision {revision} were committed: {revisions:?}"
        ));
    }
}

/// An operator stops waiting before the answer to a change arrives, and retries the change through
/// all entries in turn until it is answered. All answers have to report the same revision.
pub async fn repeat(ledger: Arc<ChangeLedger>, entries: Vec<TrackedEntry>, draw: u64) {
    let (key, value) = key_and_value(draw);
    let body = json!({
        "value": value.to_string(), "operator": "repeater", "reason": "answer was lost",
        "change_id": ledger.next_change("repeat"),
    });
    let first = put(&HttpClient::new(LOST_ANSWER_LIMIT), &entries[0], key, &body).await;
    let mut revision = first.and_then(|answer| ledger.record(&answer));
    let client = HttpClient::new(OPERATOR_LIMIT);
    for number in 1..MAX_REPEATS {
        let entry = &entries[number % entries.len()];
        let answer = put(&client, entry, key, &body).await;
        let repeated = answer.as_ref().and_then(|answer| ledger.record(answer));
        if let (Some(first), Some(again)) = (revision, repeated)
            && first != again
        {
            ledger.add_violation(format!(
                "{body} was committed at {first} and again at {again}"
            ));
        }
        revision = revision.or(repeated);
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        sleep(REPEAT_PAUSE).await;
    }
}
