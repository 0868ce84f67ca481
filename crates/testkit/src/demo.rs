//! Demonstration: a small fleet in two availability zones serves requests, gets a changed default
//! and an exception, and stops gracefully.

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

/// Longest graceful stop. It covers the notice time; there is no work in flight by then.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Demonstration of a small fleet.
#[derive(Clone, Copy, Debug, Parser)]
pub struct DemoArguments {
    /// Keep the fleet running until Enter is pressed, then stop it.
    #[arg(long)]
    pub hold: bool,
}

/// Runs all steps of the demonstration and returns the totals of the calls.
///
/// # Errors
///
/// Returns an error at the first step that fails, and if ranks of a group used different expert
/// maps in one step of the engine.
pub async fn run(arguments: DemoArguments) -> Result<DemoTotals> {
    print_step("start two zones, two entries and four agents");
    let mut fleet = Fleet::start(topology()).await?;
    print_processes(&fleet);
    let mut totals = DemoTotals::default();
    print_step("serve streamed answers, unstreamed answers and bookings through both zones");
    totals.add(traffic::serve(&fleet, "before").await?);
    print_step("change a default and add an exception");
    operator::change_configuration(&fleet).await?;
    print_step("serve again under the new configuration");
    totals.add(traffic::serve(&fleet, "after").await?);
    print_step("check that all ranks used the same expert map in every step");
    check_expert_maps(&fleet).await?;
    if arguments.hold {
        hold(&fleet).await;
    }
    print_step("stop all entries and agents gracefully");
    fleet.stop_daemons(STOP_LIMIT).await?;
    Ok(totals)
}

fn print_step(text: &str) {
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

fn print_processes(fleet: &Fleet) {
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

/// Prints the operator addresses and waits for a line on standard input; the end of the input
/// counts as a line.
async fn hold(fleet: &Fleet) {
    for entry in &fleet.entries {
        println!(
            "  operator address of {}: {}",
            entry.name, entry.operator_address
        );
    }
    print_step("press Enter to stop the fleet");
    let _ = spawn_blocking(|| io::stdin().read_line(&mut String::new())).await;
}

async fn check_expert_maps(fleet: &Fleet) -> Result<()> {
    for group in &fleet.groups {
        let violations = fleet.violations(group).await?;
        if violations.mixed_map_steps > 0 {
            let fault = format!(
                "{} steps in which ranks used different expert maps",
                violations.mixed_map_steps
            );
            return Err(HarnessError::report(&group.name, fault));
        }
        println!("  group {}: {} steps", group.name, violations.steps);
    }
    Ok(())
}
