//! Tests the expert map change: in every step, all ranks of a group use the same map (property P1).

#[path = "map_change/world.rs"]
mod world;

use {
    proptest::{
        prelude::*,
        sample::Index,
        test_runner::{Config, RngAlgorithm, RngSeed, TestError, TestRunner},
    },
    proptest_state_machine::ReferenceStateMachine,
    sassafrasslip_core::map_change::{
        MapOrder, MapParticipant, OrderRefusal, OrderStep, ParticipantState,
    },
    sassafrasslip_testkit::test_cases,
    std::{cell::Cell, sync::atomic::Ordering},
    world::{Rules, World, WorldEvent},
};

/// Random event sequences that the complete protocol has to pass.
const CASES: u32 = 1_000;
const SEED: u64 = 20_261_204;

/// Generates sequences of events; [`World`] holds all state.
struct EventSequence;

impl ReferenceStateMachine for EventSequence {
    type State = ();
    type Transition = WorldEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<WorldEvent> {
        let message = any::<Index>();
        let coordinator = 0..world::COORDINATORS;
        prop_oneof![
            60 => message.prop_map(WorldEvent::Deliver),
            2 => any::<Index>().prop_map(WorldEvent::Duplicate),
            2 => any::<Index>().prop_map(WorldEvent::Lose),
            16 => (0..world::RANKS).prop_map(WorldEvent::StepRank),
            6 => coordinator.clone().prop_map(WorldEvent::Tick),
            5 => coordinator.clone().prop_map(WorldEvent::Propose),
            1 => coordinator.clone().prop_map(WorldEvent::Freeze),
            1 => coordinator.prop_map(WorldEvent::TakeLease),
            4 => (50..400u64).prop_map(WorldEvent::PassTime),
        ]
        .boxed()
    }

    fn apply(_: (), _: &WorldEvent) {}
}

/// Runs random sequences and returns the number of map switches in them, or the violation and the
/// number of events that led to it.
fn explore(rules: Rules, cases: u32) -> Result<usize, String> {
    let switches = Cell::new(0);
    let config = Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let strategy = EventSequence::sequential_strategy(250..350);
    let outcome = TestRunner::new(config).run(&strategy, |(_, events, seen_counter)| {
        let mut world = World::new(rules);
        world.apply(&WorldEvent::TakeLease(0));
        for event in events {
            if let Some(seen_counter) = &seen_counter {
                seen_counter.fetch_add(1, Ordering::SeqCst);
            }
            world.apply(&event);
            prop_assert!(world.violation.is_none(), "{:?}", world.violation);
        }
        switches.set(switches.get() + world.switch_count());
        Ok(())
    });
    match outcome {
        Ok(()) => Ok(switches.get()),
        Err(TestError::Fail(reason, (_, events, _))) => {
            Err(format!("{reason} after {} events", events.len()))
        }
        Err(error) => Err(error.to_string()),
    }
}

#[test]
fn all_ranks_use_one_map_in_every_step() {
    let switches = explore(Rules::default(), CASES).unwrap();
    println!("{switches} switches in {CASES} sequences");
    // A search that hardly ever completes a change would not exercise the property.
    assert!(switches > CASES as usize / 2, "{switches}");
}

/// Checks that the search finds a violation if the protocol lacks a rule.
fn check_rule_is_needed(rules: Rules) {
    let outcome = explore(rules, 30_000);
    println!("{outcome:?}");
    assert!(outcome.is_err_and(|fault| fault.contains("used map")));
}

test_cases! {
    fn check_rule_is_needed(rules: Rules);
    gate_is_needed: (Rules { gate: false, ..Rules::default() });
    fencing_check_is_needed: (Rules { fencing: false, ..Rules::default() });
}

#[test]
fn change_without_faults_is_committed() {
    let mut world = World::new(Rules::default());
    world.apply(&WorldEvent::TakeLease(0));
    world.run_until_idle();
    world.apply(&WorldEvent::Propose(0));
    world.run_until_idle();
    assert!(world.map_versions().iter().all(|version| *version > 0));
    assert_eq!(world.violation, None);
}

fn order(fencing_token: u64, change: u64, step: OrderStep) -> MapOrder {
    MapOrder {
        fencing_token,
        change,
        step,
    }
}

/// Applies the accepted orders in turn and checks the refusal of the last one, if any.
fn check_orders(orders: &[MapOrder], refusal: Option<OrderRefusal>) {
    let mut participant = MapParticipant::new(1, 0).unwrap();
    let mut last = None;
    for order in orders {
        last = participant.check(order, 10).err();
        if last.is_none() {
            participant.apply(order);
        }
    }
    assert_eq!(last, refusal);
}

test_cases! {
    fn check_orders(orders: &[MapOrder], refusal: Option<OrderRefusal>);
    query_fences_off_older_tokens: (
        &[order(3, 0, OrderStep::Query), order(2, 9, OrderStep::Prepare)],
        Some(OrderRefusal::StaleToken { token: 2, highest: 3 }),
    );
    gate_at_the_current_step_is_refused: (
        &[order(1, 9, OrderStep::Prepare), order(1, 9, OrderStep::Arm(10))],
        Some(OrderRefusal::GatePassed { gate: 10, current: 10 }),
    );
    late_prepare_of_an_aborted_change_is_refused: (
        &[order(1, 9, OrderStep::Abort), order(1, 9, OrderStep::Prepare)],
        Some(OrderRefusal::ChangeEnded(9)),
    );
    late_abort_does_not_end_a_later_change: (
        &[order(1, 9, OrderStep::Prepare), order(1, 8, OrderStep::Abort)],
        Some(OrderRefusal::OtherChange { asked: 8, open: 9 }),
    );
    commit_without_a_gate_is_refused: (
        &[order(1, 9, OrderStep::Prepare), order(1, 9, OrderStep::Commit)],
        Some(OrderRefusal::WrongState(ParticipantState::Prepared)),
    );
    repeated_arm_is_accepted: (
        &[
            order(1, 9, OrderStep::Prepare),
            order(1, 9, OrderStep::Arm(20)),
            order(1, 9, OrderStep::Arm(20)),
        ],
        None,
    );
}
