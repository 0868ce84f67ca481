//! Tests of the memory that callers hold: who is granted bytes, and who gives way.

use {
    sassafrasslip_core::dispatch::{
        CallerMemory, HoldKey, MemoryGrowth, MemoryPlan,
        caller_memory::{CONNECTION_BYTES, SMALL_BODY_BYTES, STALL_TIME},
    },
    std::{net::IpAddr, time::Duration},
    tokio::time::Instant,
};

const MB: usize = 1 << 20;

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn granted(memory: &mut CallerMemory, owner: u8, bytes: usize, now: Instant) -> HoldKey {
    let key = memory.add(address(owner), now);
    assert_eq!(memory.grow(key, bytes, now), MemoryGrowth::Granted);
    key
}

/// Guards against a limit that a body of legal size meets in calm, on the smallest machine.
#[test]
fn single_large_body_is_granted() {
    let plan = MemoryPlan::for_limit(112 * MB);
    let mut memory = CallerMemory::new(plan.bodies);
    granted(&mut memory, 1, 4 * MB, Instant::now());
}

/// Guards against parts of the memory that together exceed it, and against a lower number of
/// connections on a machine of usual size.
#[test]
fn parts_are_within_the_limit() {
    for limit in [32 * MB, 112 * MB, 256 * MB, 512 * MB] {
        let plan = MemoryPlan::for_limit(limit);
        let connections = plan.connections * CONNECTION_BYTES;
        let sum = plan.bodies + plan.collected + 2 * plan.answers + connections;
        assert!(sum <= limit - limit / 4, "{plan:?}");
    }
    assert_eq!(MemoryPlan::for_limit(256 * MB).connections, 2048);
}

/// Guards against large bodies that leave no memory for small ones.
#[test]
fn reserve_is_for_small_bodies() {
    let now = Instant::now();
    let mut memory = CallerMemory::new(16 * MB);
    for _ in 0..3 {
        granted(&mut memory, 1, 4 * MB, now);
    }
    let large = memory.add(address(2), now);
    let growth = memory.grow(large, SMALL_BODY_BYTES + 1, now);
    assert_eq!(growth, MemoryGrowth::Refused);
    granted(&mut memory, 2, SMALL_BODY_BYTES, now);
}

/// Guards against bodies that stay open and keep others out.
#[test]
fn stalled_body_gives_way() {
    let start = Instant::now();
    let mut memory = CallerMemory::new(16 * MB);
    let first = granted(&mut memory, 1, 4 * MB, start);
    let moving = granted(&mut memory, 1, 4 * MB, start);
    let pinned = granted(&mut memory, 1, 4 * MB, start);
    memory.pin(pinned);
    let now = start + STALL_TIME;
    memory.note_progress(moving, now);
    let next = memory.add(address(2), now);
    let growth = memory.grow(next, 4 * MB, now);
    assert_eq!(growth, MemoryGrowth::Waiting(vec![first]));
    // Nothing else gives way while the first one ends.
    let growth = memory.grow(next, 4 * MB, now);
    assert_eq!(growth, MemoryGrowth::Waiting(vec![]));
    assert_eq!(memory.grow(first, 5 * MB, now), MemoryGrowth::Refused);
    memory.remove(first);
    assert_eq!(memory.grow(next, 4 * MB, now), MemoryGrowth::Granted);
    // What is left does not give way, so that the next one is refused.
    let late = memory.add(address(2), now);
    assert_eq!(memory.grow(late, 4 * MB, now), MemoryGrowth::Refused);
    memory.remove(late);
    memory.remove(moving);
    memory.remove(pinned);
    memory.remove(next);
    assert_eq!(memory.held(), 0);
}

/// Guards against one address that holds nearly all and makes others give way.
#[test]
fn address_that_holds_most_gives_way_first() {
    let start = Instant::now();
    let mut memory = CallerMemory::new(16 * MB);
    let modest = granted(&mut memory, 1, 3 * MB, start);
    let later = start + Duration::from_millis(1);
    let greedy = granted(&mut memory, 2, 5 * MB, later);
    granted(&mut memory, 2, 4 * MB, later);
    let now = later + STALL_TIME;
    let next = memory.add(address(3), now);
    let growth = memory.grow(next, MB, now);
    assert!(matches!(growth, MemoryGrowth::Waiting(keys) if !keys.contains(&modest)));
    assert_eq!(memory.held_by(greedy), 5 * MB);
}

/// Guards against small bodies that are refused because large ones move slowly and others have used
/// the reserve.
#[test]
fn large_body_gives_way_to_a_small_one() {
    let now = Instant::now();
    let mut memory = CallerMemory::new(MB);
    let large = granted(&mut memory, 1, MB / 2, now);
    for _ in 0..8 {
        granted(&mut memory, 1, SMALL_BODY_BYTES, now);
    }
    let small = memory.add(address(2), now);
    let growth = memory.grow(small, SMALL_BODY_BYTES, now);
    assert_eq!(growth, MemoryGrowth::Waiting(vec![large]));
    granted(&mut memory, 2, 100, now);
}

/// Guards against answers of callers that do not read, which would fill the memory, and against
/// answers that are cut although they move.
#[test]
fn stalled_answer_gives_way_first() {
    let start = Instant::now();
    let mut memory = CallerMemory::new(8 * MB);
    let stalled = memory.add(address(1), start);
    assert_eq!(memory.grow_always(stalled, 4 * MB, start), []);
    let now = start + STALL_TIME;
    let moving = memory.add(address(1), now);
    assert_eq!(memory.grow_always(moving, 4 * MB, now), []);
    let next = memory.add(address(1), now);
    assert_eq!(memory.grow_always(next, 4 * MB, now), [stalled]);
    memory.remove(stalled);
    let third = memory.add(address(1), now);
    assert_eq!(memory.grow_always(third, 4 * MB, now), []);
    let fourth = memory.add(address(1), now);
    assert_eq!(memory.grow_always(fourth, 4 * MB, now), []);
    let fifth = memory.add(address(1), now);
    assert_eq!(memory.grow_always(fifth, 4 * MB, now).len(), 1);
}

/// Guards against stalled bodies that keep all connections.
#[test]
fn oldest_stalled_body_frees_its_connection() {
    let start = Instant::now();
    let mut memory = CallerMemory::new(MB);
    let first = memory.add(address(1), start);
    let second = memory.add(address(1), start + Duration::from_millis(1));
    assert_eq!(memory.displace_stalled(start), None);
    let now = start + 2 * STALL_TIME;
    assert_eq!(memory.displace_stalled(now), Some(first));
    assert_eq!(memory.displace_stalled(now), Some(second));
    assert_eq!(memory.displace_stalled(now), None);
}

/// Guards against small bodies that move by one byte a second and keep ordinary ones out.
#[test]
fn slow_small_bodies_do_not_keep_others_out() {
    let start = Instant::now();
    let plan = MemoryPlan::for_limit(112 * MB);
    let mut memory = CallerMemory::new(plan.bodies);
    let crowd = plan.bodies / SMALL_BODY_BYTES;
    assert!(crowd < plan.connections, "{crowd} of {}", plan.connections);
    let slow: Vec<_> = (0..crowd)
        .map(|_| granted(&mut memory, 1, SMALL_BODY_BYTES, start))
        .collect();
    let now = start + STALL_TIME * 9 / 10;
    for key in &slow {
        memory.note_progress(*key, now);
    }
    granted(&mut memory, 2, 300, now);
}

/// Guards against a large body that moves and gives way although others are stalled.
#[test]
fn stalled_bodies_give_way_before_moving_ones() {
    let start = Instant::now();
    let mut memory = CallerMemory::new(16 * MB);
    let stalled: Vec<_> = (10..14)
        .map(|owner| granted(&mut memory, owner, 2 * MB, start))
        .collect();
    let now = start + 2 * STALL_TIME;
    let moving = granted(&mut memory, 1, 4 * MB, now);
    for owner in 100..164 {
        granted(&mut memory, owner, SMALL_BODY_BYTES, now);
    }
    let small = memory.add(address(2), now);
    let growth = memory.grow(small, SMALL_BODY_BYTES, now);
    assert!(
        matches!(&growth, MemoryGrowth::Waiting(keys)
            if !keys.contains(&moving) && stalled.contains(&keys[0])),
        "{growth:?}, moving {moving:?}"
    );
}
