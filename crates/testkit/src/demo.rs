//! Demonstration: a small fleet of two availability zones serves requests, takes a change of a
//! default and an exception, and stops gracefully.

pub mod operator;
pub mod traffic;

use {
    crate::harness::{
        Fleet, FleetTopology, GroupTopology, HarnessError, Result, ServiceTopology, ZoneTopology,
    },
    clap::Parser,
    std::{io, time::Duration},
    tokio::task::spawn_blocking,
    traffic::DemoTotals,
};

/// Longest graceful stop: the notice time, and work in flight of which there is none.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Demonstration of a small fleet.
#[derive(Clone, Copy, Debug, Parser)]
pub struct DemoArguments {
    /// Keep the fleet running before the stop until Enter is pressed.
    #[arg(long)]
    pub hold: bool,
}

/// Runs all steps and returns the totals of the calls.
///
/// # Errors
///
/// Fails at the first step that fails.
pub async fn run(arguments: DemoArguments) -> Result<DemoTotals> {
    step("start two zones, two entries and four agents");
    let mut fleet = Fleet::start(topology()).await?;
    show_processes(&fleet);
    let mut totals = DemoTotals::default();
    step("serve streamed answers, whole answers and bookings through both zones");
    totals.add(traffic::serve(&fleet, "before").await?);
    step("change a default and add an exception");
    operator::change_configuration(&fleet).await?;
    step("serve again under the new configuration");
    totals.add(traffic::serve(&fleet, "after").await?);
    step("check that all ranks used the same expert map in every step");
    check_steps(&fleet).await?;
    if arguments.hold {
        hold(&fleet).await;
    }
    step("stop all entries and agents gracefully");
    fleet.stop_daemons(STOP_LIMIT).await?;
    Ok(totals)
}

fn step(text: &str) {
    println!("demo: {text}");
}

fn topology() -> FleetTopology {
    let group = GroupTopology::new("drafting-1", "drafting", 2);
    let first = ZoneTopology::new("ruwi", 1)
        .with_group(group)
        .with_service(ServiceTopology::new("orders", 1));
    let second = ZoneTopology::new("qurum", 1).with_service(ServiceTopology::new("orders", 1));
    FleetTopology::new(vec![first, second])
}

fn show_processes(fleet: &Fleet) {
    for entry in &fleet.entries {
        let (name, id) = (&entry.name, entry.process.id());
        println!(
            "  entry {name}: process {id}, callers at {}",
            entry.caller_address
        );
    }
    for agent in &fleet.agents {
        let (name, id) = (&agent.name, agent.process.id());
        println!(
            "  agent {name}: process {id}, target at {}",
            agent.target_address
        );
    }
}

/// Waits for a line on standard input; the end of the input counts as one.
async fn hold(fleet: &Fleet) {
    for entry in &fleet.entries {
        println!(
            "  operator address of {}: {}",
            entry.name, entry.operator_address
        );
    }
    step("press Enter to go on");
    let _ = spawn_blocking(|| io::stdin().read_line(&mut String::new())).await;
}

async fn check_steps(fleet: &Fleet) -> Result<()> {
    for group in &fleet.groups {
        let violations = fleet.violations(group).await?;
        if violations.mixed_map_steps > 0 {
            let fault = format!("{} steps with mixed maps", violations.mixed_map_steps);
            return Err(HarnessError::report(&group.name, fault));
        }
        println!("  group {}: {} steps", group.name, violations.steps);
    }
    Ok(())
}
