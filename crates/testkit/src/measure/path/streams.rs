//! Memory of the entry for each open stream.

use {
    super::{SLOW_SERVICE, table},
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

/// Numbers of open streams at which the memory is read, ascending.
const STREAM_COUNTS: [usize; 3] = [0, 200, 1000];
/// Time for the new streams to start and deliver some tokens each.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Pause between opening two streams. Without it, hundreds of streams connect to the engine at
/// once, and some exceed the agent's connect timeout on a busy machine.
const OPEN_PAUSE: Duration = Duration::from_millis(5);
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens streams up to each number in turn, reads the memory, and returns the table.
///
/// # Errors
///
/// Fails if a stream is refused or ends before the measurement.
pub async fn run(entry: &EntryHandle) -> Result<String> {
    let client = HttpClient::new(OPEN_TIMEOUT);
    let mut streams = JoinSet::new();
    let (mut rows, mut baseline) = (Vec::new(), 0);
    for count in STREAM_COUNTS {
        while streams.len() < count {
            let stream = open(client.clone(), entry.caller_address);
            streams.spawn(stream);
            sleep(OPEN_PAUSE).await;
        }
        sleep(SETTLE_TIME).await;
        if let Some(ended) = streams.try_join_next() {
            let fault = format!("a stream ended: {ended:?}");
            return Err(HarnessError::report(&entry.name, fault));
        }
        let resident = process::resident_bytes(entry.process.id())?;
        if count == 0 {
            baseline = resident;
        }
        rows.push(row(count, resident, baseline));
    }
    let header = ["open streams", "resident MiB", "KiB for each stream"];
    Ok(table::render(&header, &rows))
}

fn row(count: usize, resident: u64, baseline: u64) -> Vec<String> {
    let kib_per_stream = resident.saturating_sub(baseline) as f64 / 1024.0 / count.max(1) as f64;
    let mebibytes = resident as f64 / (1024.0 * 1024.0);
    vec![
        count.to_string(),
        format!("{mebibytes:.1}"),
        if count == 0 {
            "-".to_owned()
        } else {
            format!("{kib_per_stream:.1}")
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
    let request = Request::post(format!(
        "http://{address}/services/{SLOW_SERVICE}/v1/generate"
    ))
    .header("content-type", "application/json")
    .header("accept", "application/x-ndjson")
    .header("sassafrasslip-team", "team-1")
    .header("sassafrasslip-deadline", 300_000)
    .body(Full::new(Bytes::from(body.to_string())));
    let request = request.map_err(|error| HarnessError::report(address, error))?;
    let response = client.send(address, request).await;
    response.map_err(|error| HarnessError::report(address, error))
}
