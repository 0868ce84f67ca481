//! One round of a fault run: starts a fleet, sends load under faults, waits for convergence and
//! audits the guarantees.

use {
    super::{
        FaultArguments, audit,
        balancer::{ReadyEntries, check_readiness},
        callers::{CallerContext, run_caller},
        disturbances::DisturbanceLog,
        injector::FaultInjector,
        observer::{RevisionObserver, StartCounts},
        schedule::{FaultSubjects, draw_schedule},
        totals::FaultTotals,
        tracked_entries,
    },
    crate::{
        harness::{
            Fleet, FleetTopology, GroupTopology, HarnessError, Result, ServiceTopology,
            ZoneTopology, readiness::wait_ready,
        },
        http::HttpClient,
        load::{LoadArguments, plan::CallPlanner},
    },
    clap::Parser,
    std::{
        fs::{self, File},
        io,
        path::Path,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{task::JoinSet, time::Instant},
};

/// Deadline of the calls in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// Time after the end of a fault in which it still explains an interrupted call: the deadline,
/// which a stalled call may reach, plus 1 s.
const DISTURBANCE_SLACK: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
/// Time limit of a caller for one call in milliseconds, longer than the deadline.
const CALLER_LIMIT_MS: u64 = 12_000;
/// Time without faults at the end of the load.
const QUIET_PERIOD: Duration = Duration::from_secs(8);
/// Answer delay of the service stand-ins in milliseconds, as a command-line argument.
const SERVICE_DELAY_MS: &str = "40";

fn topology() -> FleetTopology {
    let orders = || {
        let mut service = ServiceTopology::new("orders", 1);
        let delay = ["--delay-ms", SERVICE_DELAY_MS];
        service.service_arguments = delay.map(str::to_owned).to_vec();
        service
    };
    let first = ZoneTopology::new("ruwi", 2)
        .with_group(GroupTopology::new("drafting-1", "drafting", 3))
        .with_service(orders());
    let second = ZoneTopology::new("qurum", 1)
        .with_group(GroupTopology::new("drafting-2", "drafting", 2))
        .with_service(orders());
    let third = ZoneTopology::new("seeb", 1).with_service(orders());
    let mut topology = FleetTopology::new(vec![first, second, third]);
    topology.relays_links = true;
    topology.relays_platform = true;
    topology
}

fn subjects(fleet: &Fleet) -> FaultSubjects {
    let agents = fleet.agents.iter();
    FaultSubjects {
        entries: fleet
            .entries
            .iter()
            .map(|entry| entry.name.clone())
            .collect(),
        agents: agents
            .map(|agent| (agent.name.clone(), agent.availability_zone.clone()))
            .collect(),
        zones: topology()
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect(),
        groups: fleet
            .groups
            .iter()
            .map(|group| group.name.clone())
            .collect(),
    }
}

fn load_arguments(balancer: &ReadyEntries, seed: u64) -> LoadArguments {
    let mut line = vec!["load".to_owned()];
    for entry in balancer.entries() {
        line.extend(["--entry".to_owned(), entry.caller_address.to_string()]);
    }
    let mix = [
        "--model-service=drafting=1",
        "--plain-service=orders=1",
        "--team=press=1",
        "--team=sponsors=3",
        "--kind=captions",
        "--kind=replies",
        "--max-tokens=120",
        "--count=100000000",
    ];
    line.extend(mix.map(str::to_owned));
    line.push(format!("--deadline={DEADLINE_MS}"));
    line.push(format!("--timeout-ms={CALLER_LIMIT_MS}"));
    line.push(format!("--run=faults-{seed}"));
    line.push(format!("--seed={seed}"));
    LoadArguments::parse_from(line)
}

fn caller_context(
    balancer: &Arc<ReadyEntries>,
    disturbances: &Arc<DisturbanceLog>,
    seed: u64,
) -> Arc<CallerContext> {
    let arguments = Arc::new(load_arguments(balancer, seed));
    Arc::new(CallerContext {
        client: HttpClient::new(Duration::from_millis(CALLER_LIMIT_MS)),
        balancer: Arc::clone(balancer),
        disturbances: Arc::clone(disturbances),
        planner: Mutex::new(CallPlanner::new(Arc::clone(&arguments))),
        arguments,
        totals: Mutex::default(),
        bookings: Mutex::default(),
        round_start: Instant::now(),
    })
}

/// Runs one round, prints its result and returns its totals. If a guarantee was broken, the logs of
/// all processes are copied to the log folder.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or controlled, or if a log cannot be written.
pub async fn run(arguments: &FaultArguments, seed: u64) -> Result<FaultTotals> {
    let file = arguments.log.join(format!("seed-{seed}.log"));
    println!(
        "faults: seed {seed}, {} s, log {}",
        arguments.seconds,
        file.display()
    );
    let failed = |error| HarnessError::report(file.display(), error);
    let log = File::create(&file).map_err(failed)?;
    let fleet = Fleet::start(topology()).await?;
    let length = Duration::from_secs(arguments.seconds);
    let schedule = draw_schedule(seed, length.saturating_sub(QUIET_PERIOD), &subjects(&fleet));

    let balancer = Arc::new(ReadyEntries::new(tracked_entries(&fleet)));
    let disturbances = Arc::new(DisturbanceLog::new(DISTURBANCE_SLACK));
    let starts = Arc::new(StartCounts::new(balancer.entries()));
    let context = caller_context(&balancer, &disturbances, seed);
    let mut injector = FaultInjector::new(
        fleet,
        Arc::clone(&balancer),
        Arc::clone(&starts),
        disturbances,
        log,
    )
    .await?;
    for fault in &schedule {
        injector.write_log(&format!("plan   {fault}"));
    }
    let observer = Arc::new(RevisionObserver {
        ledger: Arc::clone(&injector.ledger),
        starts,
        violations: Mutex::default(),
    });
    let mut watchers = JoinSet::new();
    watchers.spawn(check_readiness(Arc::clone(&balancer)));
    for entry in balancer.entries() {
        watchers.spawn(Arc::clone(&observer).watch(entry.clone()));
    }
    let end = Instant::now() + length;
    let mut callers = JoinSet::new();
    for number in 0..arguments.callers as u64 {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number);
        callers.spawn(run_caller(Arc::clone(&context), seed, end));
    }
    injector.run(schedule).await?;
    callers.join_all().await;
    let totals = audit_round(&mut injector, &context, &observer).await?;
    watchers.shutdown().await;
    report_totals(&mut injector, seed, &totals);
    if !totals.is_clean() {
        let folder = arguments.log.join(format!("seed-{seed}"));
        let kept = copy_logs(&injector.fleet, &folder);
        kept.map_err(|error| HarnessError::report(folder.display(), error))?;
    }
    Ok(totals)
}

/// Waits until the fleet has recovered, and audits the guarantees.
async fn audit_round(
    injector: &mut FaultInjector,
    context: &CallerContext,
    observer: &RevisionObserver,
) -> Result<FaultTotals> {
    for entry in &mut injector.fleet.entries {
        wait_ready(&mut entry.process, entry.metrics_address, "/readyz").await?;
    }
    let take = |totals: &Mutex<FaultTotals>| {
        std::mem::take(&mut *totals.lock().unwrap_or_else(PoisonError::into_inner))
    };
    let mut totals = take(&context.totals);
    let bookings = context.bookings.lock();
    let mut bookings = bookings.unwrap_or_else(PoisonError::into_inner).clone();
    let entries = context.balancer.entries();
    audit::wait_for_convergence(entries, &injector.ledger, &mut totals).await;
    audit::check_changes(&entries[0], &injector.ledger, &mut totals).await;
    let (arguments, client) = (&context.arguments, &context.client);
    let again = audit::retry_open_bookings(arguments, client, &mut bookings, &mut totals).await;
    audit::check_runs(&injector.fleet, &bookings, &mut totals).await?;
    let steps = audit::check_steps(&injector.fleet, &mut totals).await?;
    let reverted = observer
        .violations
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    reverted
        .iter()
        .cloned()
        .for_each(|violation| totals.add_reverted(violation));
    for violation in std::mem::take(&mut injector.leaving_violations) {
        totals.add_wrong(violation);
    }
    for violation in std::mem::take(&mut injector.stop_violations) {
        totals.add_cut(violation);
    }
    let changes = injector.ledger.committed().len();
    println!(
        "  {} bookings, {again} with an unknown outcome answered by a retry; \
         {changes} change reports up to revision {}; {} steps, maps up to version {}; \
         {} broken by unplanned faults",
        bookings.len(),
        injector.ledger.accepted(),
        steps.steps,
        steps.map_version,
        totals.broken
    );
    Ok(totals)
}

/// Copies the logs of all processes to `folder`. The originals are deleted with the fleet.
fn copy_logs(fleet: &Fleet, folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    for file in fs::read_dir(fleet.file(""))? {
        let file = file?;
        fs::copy(file.path(), folder.join(file.file_name()))?;
    }
    Ok(())
}

fn report_totals(injector: &mut FaultInjector, seed: u64, totals: &FaultTotals) {
    for violation in &totals.violations {
        println!("  {violation}");
        injector.write_log(violation);
    }
    println!("  seed {seed}: {totals}");
    injector.write_log(&totals.to_string());
}
