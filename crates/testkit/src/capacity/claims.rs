//! Table transactions of non-idempotent calls at rising rates.

use {
    super::{
        series::MeasuredSeries,
        table::{counts, rates},
    },
    crate::{
        harness::{Fleet, FleetTopology, HarnessError, Result, ServiceTopology, ZoneTopology},
        http::HttpClient,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, interval, sleep},
    },
};

/// Calls a second; all go to one agent, so that its inserts can share transactions.
const RATES: [u32; 4] = [10, 40, 150, 600];
const WINDOW: Duration = Duration::from_secs(4);
const SETTLE: Duration = Duration::from_secs(3);
/// Teams among which calls are spread, to stay below the rate limit of each.
const TEAMS: u32 = 16;
const CALL_LIMIT: Duration = Duration::from_secs(10);

async fn book(client: HttpClient, entry: SocketAddr, number: u32) -> Result<bool> {
    let failed = |fault: String| HarnessError::report("booking", fault);
    let request = Request::post(format!("http://{entry}/services/orders/runs"))
        .header("Sassafrasslip-Team", format!("team-{}", number % TEAMS))
        .header("Idempotency-Key", format!("{number}-{entry}"))
        .body(Full::new(Bytes::from_static(b"{}")))
        .map_err(|error| failed(error.to_string()))?;
    let answer = client.send(entry, request).await;
    let answer = answer.map_err(|error| failed(error.to_string()))?;
    let answered = answer.status().is_success();
    let body = answer.into_body().collect().await;
    body.map_err(|error| failed(error.to_string()))?;
    Ok(answered)
}

/// Starts calls at a rate and returns how many were answered.
async fn book_at(entry: SocketAddr, rate: u32) -> Result<u32> {
    let client = HttpClient::new(CALL_LIMIT);
    let mut calls = JoinSet::new();
    let mut ticks = interval(Duration::from_secs(1) / rate);
    for number in 0..rate * WINDOW.as_secs() as u32 {
        ticks.tick().await;
        calls.spawn(book(client.clone(), entry, rate * 100_000 + number));
    }
    let mut answered = 0;
    while let Some(call) = calls.join_next().await {
        let call = call.map_err(|error| HarnessError::report("booking", error))?;
        answered += u32::from(call?);
    }
    Ok(answered)
}

/// Measures one agent of a plain service behind one entry.
///
/// # Errors
///
/// Fails if a process cannot be started or a call gets no answer.
pub async fn measure() -> Result<()> {
    let service = ServiceTopology::new("orders", 1);
    let zone = ZoneTopology::new("ruwi", 1).with_service(service);
    let fleet = Fleet::start(FleetTopology::new(vec![zone])).await?;
    sleep(SETTLE).await;
    let mut writes = MeasuredSeries::new("table writes for each answered call", "calls/s");
    let mut reads = MeasuredSeries::new("table reads for each answered call", "calls/s");
    let mut shares = MeasuredSeries::new("answered, %", "calls/s");
    for rate in RATES {
        let (start, before) = (Instant::now(), counts(&fleet).await?);
        let answered = book_at(fleet.entries[0].caller_address, rate).await?;
        let used = rates(before, counts(&fleet).await?, start);
        let (seconds, answered) = (used.seconds, f64::from(answered));
        // The idle entry writes its lease and reads the head once a second.
        writes.add(f64::from(rate), (used.writes - 1.0) * seconds / answered);
        reads.add(f64::from(rate), (used.reads - 1.0) * seconds / answered);
        let started = f64::from(rate) * WINDOW.as_secs_f64();
        shares.add(f64::from(rate), answered / started * 100.0);
    }
    for series in [writes, reads, shares] {
        series.print();
    }
    Ok(())
}
