//! Memory of one entry by remembered requests and by teams.

use {
    super::{
        fakes::{FakeRole, LinkBytes, SERVICE},
        links::{list_fakes, start_entry},
        series::MeasuredSeries,
        usage::resident_kib,
    },
    crate::{
        harness::{HarnessError, Result},
        http::HttpClient,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// Agents; an explanation keeps at most 16 candidates.
const AGENTS: usize = 20;
/// Requests in flight of the measuring process.
const CALLERS: usize = 16;
/// Teams of the first requests; together they stay below their rate limits.
const SHARED_TEAMS: usize = 64;
/// Requests by which the memory is read; an entry remembers 10,000.
const REQUESTS: [usize; 4] = [0, 3_000, 6_000, 9_000];
/// Requests that fill the ring, so that later ones add nothing to it.
const FILL: usize = 13_000;
/// Teams by which the memory is read.
const TEAMS: [usize; 4] = [0, 1_000, 2_000, 4_000];
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Sends requests `from..to`, each with the team that `team` names.
async fn call(entry: SocketAddr, from: usize, to: usize, team: fn(usize) -> String) -> Result<()> {
    let client = HttpClient::new(CALL_LIMIT);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            for number in (from + caller..to).step_by(CALLERS) {
                call_once(&client, entry, &team(number)).await?;
            }
            Ok(())
        });
    }
    let ends: Vec<Result<()>> = callers.join_all().await;
    ends.into_iter().collect()
}

async fn call_once(client: &HttpClient, entry: SocketAddr, team: &str) -> Result<()> {
    let failed = |fault: String| HarnessError::report("call", fault);
    let request = Request::get(format!("http://{entry}/services/{SERVICE}/item"))
        .header("Sassafrasslip-Team", team)
        .body(Full::<Bytes>::default())
        .map_err(|error| failed(error.to_string()))?;
    let answer = client.send(entry, request).await;
    let answer = answer.map_err(|error| failed(error.to_string()))?;
    let status = answer.status();
    let body = answer.into_body().collect().await;
    body.map_err(|error| failed(error.to_string()))?;
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(failed(format!("answered {status}")))
}

fn shared_team(number: usize) -> String {
    format!("shared-{:02}", number % SHARED_TEAMS)
}

fn own_team(number: usize) -> String {
    format!("team-{number:05}")
}

/// Measures an entry with fake agents.
///
/// # Errors
///
/// Fails if a process cannot be started or a call is not answered.
pub async fn measure() -> Result<()> {
    let fleet = start_entry().await?;
    let bytes = Arc::new(LinkBytes::default());
    let role = FakeRole::Agent { kinds: 0 };
    let fakes = list_fakes(&fleet, role, AGENTS, &bytes).await?;
    let entry = &fleet.entries[0];
    let (address, process) = (entry.caller_address, entry.process.id());
    let mut requests = MeasuredSeries::new("resident, KiB", "remembered requests");
    let mut sent = 0;
    for count in REQUESTS {
        call(address, sent, count, shared_team).await?;
        requests.add(count as f64, resident_kib(process)?);
        sent = count;
    }
    requests.print();
    call(address, sent, FILL, shared_team).await?;
    let mut teams = MeasuredSeries::new("resident with a full ring, KiB", "teams");
    let mut sent = 0;
    for count in TEAMS {
        call(address, sent, count, own_team).await?;
        teams.add(count as f64, resident_kib(process)?);
        sent = count;
    }
    teams.print();
    drop(fakes);
    Ok(())
}
