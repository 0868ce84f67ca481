//! Waits until a started process answers HTTP requests.

use {
    super::{ChildProcess, Result},
    crate::http::HttpClient,
    hyper::StatusCode,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest wait for a process to become ready. A start takes well under a second; the limit leaves
/// room for a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Polls `path` at `address` until the process answers it with status 200.
///
/// # Errors
///
/// Returns an error if the process ends, or does not answer 200 in time.
pub async fn wait_ready(process: &mut ChildProcess, address: SocketAddr, path: &str) -> Result<()> {
    let client = HttpClient::new(CALL_LIMIT);
    let end = Instant::now() + READY_LIMIT;
    while Instant::now() < end {
        if let Some(status) = process.try_exit()? {
            return Err(process.failure(format!("ended with {status} before it was ready")));
        }
        if let Ok(answer) = client.get(address, path).await
            && answer.status == StatusCode::OK
        {
            return Ok(());
        }
        sleep(READY_POLL).await;
    }
    Err(process.failure(format!("http://{address}{path} did not answer 200 in time")))
}
