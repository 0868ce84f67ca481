//! Memory of the entry for each open stream.

use {
    super::{SLOW, table},
    crate::{
        harness::{EntryHandle, HarnessError, Result},
        http::HttpClient,
        measure::process,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Collected, Full},
    hyper::{Request, Response, StatusCode, body::Incoming},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Numbers of open streams, rising.
const STEPS: [usize; 3] = [0, 200, 1000];
/// Time for the streams of a step to start, which includes some tokens of each.
const SETTLE: Duration = Duration::from_secs(3);
/// Pause between two streams. Without it, all of a step connect to the engine at once, and some
/// exceed the agent's connect timeout on a busy machine.
const OPEN_PAUSE: Duration = Duration::from_millis(5);
const OPEN_LIMIT: Duration = Duration::from_secs(10);

/// Opens streams step by step and returns the table.
///
/// # Errors
///
/// Fails if a stream is refused or ends.
pub async fn run(entry: &EntryHandle) -> Result<String> {
    let client = HttpClient::new(OPEN_LIMIT);
    let mut streams = JoinSet::new();
    let (mut rows, mut base) = (Vec::new(), 0);
    for count in STEPS {
        while streams.len() < count {
            let stream = open(client.clone(), entry.caller_address);
            streams.spawn(stream);
            sleep(OPEN_PAUSE).await;
        }
        sleep(SETTLE).await;
        if let Some(ended) = streams.try_join_next() {
            let fault = format!("a stream ended: {ended:?}");
            return Err(HarnessError::report(&entry.name, fault));
        }
        let resident = process::resident_bytes(entry.process.id())?;
        if count == 0 {
            base = resident;
        }
        rows.push(row(count, resident, base));
    }
    let head = ["open streams", "resident MiB", "KiB for each stream"];
    Ok(table::render(&head, &rows))
}

fn row(count: usize, resident: u64, base: u64) -> Vec<String> {
    let each = resident.saturating_sub(base) as f64 / 1024.0 / count.max(1) as f64;
    let mebibytes = resident as f64 / (1024.0 * 1024.0);
    vec![
        count.to_string(),
        format!("{mebibytes:.1}"),
        if count == 0 {
            "-".to_owned()
        } else {
            format!("{each:.1}")
        },
    ]
}

/// Opens a stream and reads its tokens until it ends.
async fn open(client: HttpClient, address: SocketAddr) -> Result<()> {
    let response = request(client, address).await?;
    if response.status() != StatusCode::OK {
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_or_else(|_| Bytes::new(), Collected::to_bytes);
        let text = String::from_utf8_lossy(&body);
        return Err(HarnessError::report(address, format!("{status}: {text}")));
    }
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.map_err(|error| HarnessError::report(address, error))?;
    }
    Ok(())
}

async fn request(client: HttpClient, address: SocketAddr) -> Result<Response<Incoming>> {
    let body = json!({"prompt": "Write a long story.", "max_tokens": 100_000, "kind": "general"});
    let request = Request::post(format!("http://{address}/services/{SLOW}/v1/generate"))
        .header("content-type", "application/json")
        .header("accept", "application/x-ndjson")
        .header("sassafrasslip-team", "team-1")
        .header("sassafrasslip-deadline", 300_000)
        .body(Full::new(Bytes::from(body.to_string())));
    let request = request.map_err(|error| HarnessError::report(address, error))?;
    let response = client.send(address, request).await;
    response.map_err(|error| HarnessError::report(address, error))
}
