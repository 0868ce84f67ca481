//! Memory of one entry by the number of remembered requests and of teams.

use {
    super::{
        fakes::{FakeRole, LinkBytes, SERVICE},
        links::{start_entry, start_fakes},
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

/// Number of agents, more than the 16 candidates that an entry remembers of each request.
const AGENTS: usize = 20;
/// Calls that run at the same time.
const CALLERS: usize = 16;
/// Teams that share the first requests, so that each stays below its rate limit.
const SHARED_TEAMS: usize = 64;
/// Numbers of sent requests at which the memory is read; an entry remembers the last 10,000.
const REQUEST_COUNTS: [usize; 4] = [0, 3_000, 6_000, 9_000];
/// Total of requests that fills the ring of remembered requests, so that later ones replace
/// earlier ones and the growth comes from the teams alone.
const RING_FILL_REQUESTS: usize = 13_000;
/// Numbers of teams at which the memory is read.
const TEAM_COUNTS: [usize; 4] = [0, 1_000, 2_000, 4_000];
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the requests with the numbers `from..to`, each for the team that `team` returns.
async fn send_calls(
    entry: SocketAddr,
    from: usize,
    to: usize,
    team: fn(usize) -> String,
) -> Result<()> {
    let client = HttpClient::new(CALL_TIMEOUT);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            for number in (from + caller..to).step_by(CALLERS) {
                send_call(&client, entry, &team(number)).await?;
            }
            Ok(())
        });
    }
    let ends: Vec<Result<()>> = callers.join_all().await;
    ends.into_iter().collect()
}

async fn send_call(client: &HttpClient, entry: SocketAddr, team: &str) -> Result<()> {
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

/// Measures an entry with fake agents and prints the series.
///
/// # Errors
///
/// Fails if a process cannot be started or a call is not answered with status 200.
pub async fn measure() -> Result<()> {
    let fleet = start_entry().await?;
    let bytes = Arc::new(LinkBytes::default());
    let role = FakeRole::Agent { kinds: 0 };
    let fakes = start_fakes(&fleet, role, AGENTS, &bytes).await?;
    let entry = &fleet.entries[0];
    let (address, process) = (entry.caller_address, entry.process.id());
    let mut requests = MeasuredSeries::new("resident, KiB", "remembered requests");
    let mut sent = 0;
    for count in REQUEST_COUNTS {
        send_calls(address, sent, count, shared_team).await?;
        requests.add(count as f64, resident_kib(process)?);
        sent = count;
    }
    requests.print();
    send_calls(address, sent, RING_FILL_REQUESTS, shared_team).await?;
    let mut teams = MeasuredSeries::new("resident with a full ring, KiB", "teams");
    let mut sent = 0;
    for count in TEAM_COUNTS {
        send_calls(address, sent, count, own_team).await?;
        teams.add(count as f64, resident_kib(process)?);
        sent = count;
    }
    teams.print();
    drop(fakes);
    Ok(())
}
