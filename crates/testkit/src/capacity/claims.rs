//! Table calls for each non-idempotent call, by the rate of these calls.

use {
    super::{
        series::MeasuredSeries,
        table::{call_rates, read_counts},
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

/// Calls a second. All go to one agent, so that it can insert several claims in one transaction.
const RATES: [u32; 4] = [10, 40, 150, 600];
const WINDOW: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Teams that share the calls, so that each stays below its rate limit.
const TEAMS: u32 = 16;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Starts `rate` calls a second for the measured time and returns how many succeeded.
async fn book_at(entry: SocketAddr, rate: u32) -> Result<u32> {
    let client = HttpClient::new(CALL_TIMEOUT);
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
    sleep(SETTLE_TIME).await;
    let mut writes = MeasuredSeries::new("table writes for each answered call", "calls/s");
    let mut reads = MeasuredSeries::new("table reads for each answered call", "calls/s");
    let mut answered_percent = MeasuredSeries::new("answered, %", "calls/s");
    for rate in RATES {
        let (start, before) = (Instant::now(), read_counts(&fleet).await?);
        let answered = book_at(fleet.entries[0].caller_address, rate).await?;
        let table_rates = call_rates(before, read_counts(&fleet).await?, start);
        let (seconds, answered) = (table_rates.seconds, f64::from(answered));
        // Subtracts the calls of an idle entry: once a second, it writes its lease and reads the
        // head of the configuration.
        writes.add(
            f64::from(rate),
            (table_rates.writes - 1.0) * seconds / answered,
        );
        reads.add(
            f64::from(rate),
            (table_rates.reads - 1.0) * seconds / answered,
        );
        let started = f64::from(rate) * WINDOW.as_secs_f64();
        answered_percent.add(f64::from(rate), answered / started * 100.0);
    }
    for series in [writes, reads, answered_percent] {
        series.print();
    }
    Ok(())
}
