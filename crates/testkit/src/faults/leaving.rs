//! Watches that a leaving target gets no new work.

use {
    crate::http::HttpClient,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time after which a leaving target must get no new work; guarantee P5 names it.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Reads of the base count. The agent frees a slot a moment before it counts the end of the
/// call, so that a single read may miss one call.
const BASE_READS: usize = 5;
const READ_PAUSE: Duration = Duration::from_millis(10);

/// Returns the calls that an agent has admitted: those in flight and those that have ended.
///
/// Returns `None` if the agent does not answer.
pub async fn admitted_calls(client: &HttpClient, agent: SocketAddr) -> Option<u64> {
    let answer = client.get(agent, "/metrics").await.ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let counts = |line: &&str| {
        let in_flight = line.contains("agent_in_flight ");
        let ended = line.contains("agent_dispatches_total{") && !line.contains("\"refused");
        !line.starts_with('#') && (in_flight || ended)
    };
    let values = text.lines().filter(counts);
    let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    Some(values.sum())
}

/// Waits until the limit has passed since `since` and returns the calls admitted by then.
pub async fn base_count(agent: SocketAddr, since: Instant) -> Option<u64> {
    let client = HttpClient::new(CALL_LIMIT);
    sleep((since + LEAVING_LIMIT).saturating_duration_since(Instant::now())).await;
    let mut highest = None;
    for _ in 0..BASE_READS {
        highest = highest.max(admitted_calls(&client, agent).await);
        sleep(READ_PAUSE).await;
    }
    highest
}

/// Returns the calls that an agent admitted since the base count.
pub async fn new_calls(agent: SocketAddr, base: u64) -> u64 {
    let client = HttpClient::new(CALL_LIMIT);
    let admitted = admitted_calls(&client, agent).await;
    admitted.unwrap_or(base).saturating_sub(base)
}
