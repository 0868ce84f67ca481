//! Checks that a leaving target gets no new work.

use {
    crate::http::HttpClient,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time after which a leaving target must not get new work, as guarantee P5 states.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Number of reads of the baseline count. An agent frees the slot of a call a moment before it
/// counts the call as ended, so that a single read may miss a call.
const BASELINE_READS: usize = 5;
const READ_PAUSE: Duration = Duration::from_millis(10);

/// Returns how many calls an agent has admitted, in flight or ended; `None` if the agent does not
/// answer.
pub async fn admitted_calls(client: &HttpClient, agent: SocketAddr) -> Option<u64> {
    let answer = client.get(agent, "/metrics").await.ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let is_admission_count = |line: &&str| {
        let in_flight = line.contains("agent_in_flight ");
        let ended = line.contains("agent_dispatches_total{") && !line.contains("\"refused");
        !line.starts_with('#') && (in_flight || ended)
    };
    let values = text.lines().filter(is_admission_count);
    let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    Some(values.sum())
}

/// Waits until [`LEAVING_LIMIT`] has passed since `since` and returns the calls that the agent has
/// admitted by then; `None` if the agent does not answer.
pub async fn baseline_count(agent: SocketAddr, since: Instant) -> Option<u64> {
    let client = HttpClient::new(CALL_LIMIT);
    sleep((since + LEAVING_LIMIT).saturating_duration_since(Instant::now())).await;
    let mut highest = None;
    for _ in 0..BASELINE_READS {
        highest = highest.max(admitted_calls(&client, agent).await);
        sleep(READ_PAUSE).await;
    }
    highest
}

/// Returns the calls that an agent has admitted since the baseline count; 0 if the agent does not
/// answer.
pub async fn new_calls(agent: SocketAddr, baseline: u64) -> u64 {
    let client = HttpClient::new(CALL_LIMIT);
    let admitted = admitted_calls(&client, agent).await;
    admitted.unwrap_or(baseline).saturating_sub(baseline)
}
