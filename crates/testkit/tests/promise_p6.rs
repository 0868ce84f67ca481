//! Tests of guarantee P6: a planned stop interrupts no request in flight.

mod promise_support;

use {
    clap::Parser,
    promise_support::{run, start},
    sassafrasslip_testkit::{
        faults::{
            FaultTotals,
            balancer::{ReadyEntries, check_readiness},
            callers::{CallerContext, run_caller},
            disturbances::DisturbanceLog,
            tracked_entries,
        },
        harness::{
            ChildProcess, Fleet, FleetTopology, GroupTopology, ProcessSignal, ServiceTopology,
            ZoneTopology, readiness::wait_ready,
        },
        http::HttpClient,
        load::{LoadArguments, plan::CallPlanner},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

const CALLERS: u64 = 12;
/// Longest stop: the notice time of 2 s plus the calls in flight, which take about 1 s.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Longest duration of the load, which has to cover all restarts.
const LOAD_LIMIT: Duration = Duration::from_secs(60);

fn topology() -> FleetTopology {
    let zones = ["ruwi", "qurum"].map(|name| {
        let mut orders = ServiceTopology::new("orders", 1);
        orders.service_arguments = vec!["--delay-ms".to_owned(), "100".to_owned()];
        let group = GroupTopology::new(&format!("drafting-{name}"), "drafting", 1);
        ZoneTopology::new(name, 1)
            .with_group(group)
            .with_service(orders)
    });
    FleetTopology::new(zones.to_vec())
}

fn load_arguments(fleet: &Fleet) -> LoadArguments {
    let mut line = vec!["load".to_owned()];
    for entry in &fleet.entries {
        line.push(format!("--entry={}", entry.caller_address));
    }
    let mix = [
        "--model-service=drafting=2",
        "--plain-service=orders=1",
        "--min-tokens=20",
        "--max-tokens=120",
        "--count=100000000",
        "--run=rolling",
    ];
    line.extend(mix.map(str::to_owned));
    LoadArguments::parse_from(line)
}

fn caller_context(fleet: &Fleet) -> Arc<CallerContext> {
    let arguments = Arc::new(load_arguments(fleet));
    Arc::new(CallerContext {
        client: HttpClient::new(Duration::from_secs(40)),
        balancer: Arc::new(ReadyEntries::new(tracked_entries(fleet))),
        // There are no unplanned faults, so that each interrupted call counts as cut.
        disturbances: Arc::new(DisturbanceLog::new(Duration::ZERO)),
        planner: Mutex::new(CallPlanner::new(Arc::clone(&arguments))),
        arguments,
        totals: Mutex::default(),
        bookings: Mutex::default(),
        round_start: Instant::now(),
    })
}

async fn restart(process: &mut ChildProcess, metrics: SocketAddr) {
    process.signal(ProcessSignal::Terminate).unwrap();
    let status = process.wait_exit(STOP_LIMIT).await.unwrap();
    assert!(status.success(), "{status}");
    process.restart().unwrap();
    wait_ready(process, metrics, "/readyz").await.unwrap();
    // Time for the entries to open their links again and to receive the first report.
    sleep(Duration::from_millis(800)).await;
}

async fn restart_all(fleet: &mut Fleet) {
    for agent in &mut fleet.agents {
        restart(&mut agent.process, agent.metrics_address).await;
    }
    for entry in &mut fleet.entries {
        restart(&mut entry.process, entry.metrics_address).await;
    }
}

fn totals(context: &CallerContext) -> FaultTotals {
    context.totals.lock().unwrap().clone()
}

/// Guards against a process that ends before its work in flight is done, against an entry that
/// closes its listener while the balancer still sends requests to it, and against requests that a
/// stopping target drops.
#[test]
fn rolling_restart_of_every_process_cuts_nothing() {
    run(async {
        let mut fleet = start(topology()).await;
        let context = caller_context(&fleet);
        let mut checks = JoinSet::new();
        checks.spawn(check_readiness(Arc::clone(&context.balancer)));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let end = Instant::now() + LOAD_LIMIT;
            callers.spawn(run_caller(Arc::clone(&context), number, end));
        }
        sleep(Duration::from_millis(500)).await;
        let before = totals(&context).answered;
        assert!(before > 0, "no load");
        restart_all(&mut fleet).await;
        // With an empty planner, each caller ends after its current call.
        let last = CallPlanner::new(Arc::new(LoadArguments {
            count: 0,
            ..load_arguments(&fleet)
        }));
        *context.planner.lock().unwrap() = last;
        callers.join_all().await;
        let totals = totals(&context);
        println!("rolling restart: {totals}");
        assert!(totals.is_clean(), "{:#?}", totals.violations);
        assert_eq!(totals.unknown, 0, "{totals}");
        assert!(totals.answered > before + 200, "{totals}");
    });
}
