//! One round: start, load under faults, settling and audit.

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

/// Deadline of the calls.
const DEADLINE_MS: u64 = 5_000;
/// Time after a fault in which it still explains a broken call: the deadline, which a stalled call
/// may reach, with some slack.
const DISTURBANCE_SLACK: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
/// Time limit of a caller, longer than any deadline.
const CALLER_LIMIT_MS: u64 = 12_000;
/// Time at the end of the load without faults.
const QUIET: Duration = Duration::from_secs(8);
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
        begun: Instant::now(),
    })
}

/// Runs one round and returns its totals.
///
/// # Errors
///
/// Fails if the fleet cannot be started or driven.
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
    let schedule = draw_schedule(seed, length.saturating_sub(QUIET), &subjects(&fleet));

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
        injector.note(&format!("plan   {fault}"));
    }
    let observer = Arc::new(RevisionObserver {
        board: Arc::clone(&injector.board),
        starts,
        faults: Mutex::default(),
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
    let totals = finish(&mut injector, &context, &observer).await?;
    watchers.shutdown().await;
    report(&mut injector, seed, &totals);
    if !totals.is_clean() {
        let folder = arguments.log.join(format!("seed-{seed}"));
        let kept = keep_logs(&injector.fleet, &folder);
        kept.map_err(|error| HarnessError::report(folder.display(), error))?;
    }
    Ok(totals)
}

/// Lets the fleet settle and audits it.
async fn finish(
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
    audit::settle(entries, &injector.board, &mut totals).await;
    audit::check_changes(&entries[0], &injector.board, &mut totals).await;
    let (arguments, client) = (&context.arguments, &context.client);
    let again = audit::ask_again(arguments, client, &mut bookings, &mut totals).await;
    audit::check_runs(&injector.fleet, &bookings, &mut totals).await?;
    let steps = audit::check_steps(&injector.fleet, &mut totals).await?;
    let reverted = observer
        .faults
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    reverted
        .iter()
        .cloned()
        .for_each(|fault| totals.add_reverted(fault));
    for fault in std::mem::take(&mut injector.leaving_faults) {
        totals.add_wrong(fault);
    }
    for fault in std::mem::take(&mut injector.stop_faults) {
        totals.add_cut(fault);
    }
    let changes = injector.board.committed().len();
    println!(
        "  {} bookings, {again} open ones answered by a repeat; {changes} change reports up to \
         revision {}; {} steps, maps up to version {}; {} broken by unplanned faults",
        bookings.len(),
        injector.board.accepted(),
        steps.steps,
        steps.map_version,
        totals.broken
    );
    Ok(totals)
}

/// Copies the logs of all processes, which end with the fleet's folder.
fn keep_logs(fleet: &Fleet, folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    for file in fs::read_dir(fleet.file(""))? {
        let file = file?;
        fs::copy(file.path(), folder.join(file.file_name()))?;
    }
    Ok(())
}

fn report(injector: &mut FaultInjector, seed: u64, totals: &FaultTotals) {
    for violation in &totals.violations {
        println!("  {violation}");
        injector.note(violation);
    }
    println!("  seed {seed}: {totals}");
    injector.note(&totals.to_string());
}
