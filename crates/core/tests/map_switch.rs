//! Checks that all ranks of a group use the same expert map in every pass, even if orders are lost
//! or carried out late, placers freeze, or two placers change the map at once.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sassafrasslip_core::{
        dispatch::{
            OrderOutcome, PassPace, RankControl, RankOrder, RankStatus, SwitchResult,
            armed_version, free_group, held_pass, map_switch::RankIndex, pass_to_hold, switch_map,
        },
        placement::ExpertMap,
    },
    sassafrasslip_testkit::test_cases,
    std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        task::LocalSet,
        time::{Instant, sleep, timeout},
    },
};

const RANKS: usize = 6;
const PASS_TIME: Duration = Duration::from_millis(60);
const ANSWER_TIME: Duration = Duration::from_millis(4);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(70);
const LOAD_TIME: Duration = Duration::from_millis(150);
/// Distance between two versions of one placer; the lower bits identify the placer.
const VERSION_STEP: u64 = 1 << 16;

/// State of an engine, as far as map changes are concerned.
#[derive(Clone, Debug, Default)]
struct Rank {
    /// Version of the map in use, and the placer whose content it has.
    map: (u64, u64),
    prepared: Option<(u64, u64)>,
    /// Highest version that was prepared.
    highest: u64,
    /// Version that is armed, and the pass that begins with it.
    armed: Option<(u64, u64)>,
    /// Pass that the rank keeps the group from beginning.
    held: Option<u64>,
}

/// Simulated group whose engines handle orders as real engines have been observed to.
#[derive(Debug)]
struct Group {
    ranks: Vec<Rank>,
    pass: u64,
    /// Versions of all disarm orders.
    disarmed: Vec<u64>,
    /// Passes that began with different maps.
    violations: Vec<String>,
}

impl Group {
    fn new() -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            ranks: vec![Rank::default(); RANKS],
            pass: 0,
            disarmed: Vec::new(),
            violations: Vec::new(),
        }))
    }

    fn apply(&mut self, rank: RankIndex, order: &RankOrder, content: u64) -> OrderOutcome {
        let current_pass = self.pass;
        if let RankOrder::Disarm { version } = order {
            self.disarmed.push(*version);
        }
        let rank = &mut self.ranks[rank];
        let accepted = match order {
            RankOrder::Prepare { version, .. } => {
                let is_known = rank
                    .prepared
                    .is_some_and(|(prepared, _)| prepared == *version)
                    || rank.map.0 == *version;
                if is_known {
                    true
                } else if rank.armed.is_some() || *version <= rank.highest {
                    false
                } else {
                    rank.highest = *version;
                    rank.prepared = Some((*version, content));
                    true
                }
            }
            RankOrder::Arm { version, pass } => {
                let prepared = rank
                    .prepared
                    .is_some_and(|(prepared, _)| prepared == *version);
                let is_accepted = prepared && *pass > current_pass;
                if is_accepted {
                    rank.armed = Some((*version, *pass));
                }
                is_accepted
            }
            RankOrder::Disarm { version } => {
                if rank.map.0 == *version {
                    false
                } else {
                    rank.armed = rank.armed.filter(|(armed, _)| armed != version);
                    true
                }
            }
            RankOrder::Hold { pass } => {
                let is_accepted =
                    *pass > current_pass && rank.held.is_none_or(|held| held == *pass);
                if is_accepted {
                    rank.held = Some(*pass);
                }
                is_accepted
            }
            RankOrder::Release { pass } => {
                if rank.held == Some(*pass) {
                    rank.held = None;
                }
                true
            }
        };
        if accepted {
            OrderOutcome::Accepted
        } else {
            OrderOutcome::Refused
        }
    }

    fn begin_pass(&mut self) {
        let next = self.pass + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.pass = next;
        for rank in &mut self.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, pass)| *pass == next) {
                rank.map = rank
                    .prepared
                    .filter(|(prepared, _)| *prepared == version)
                    .unwrap();
                rank.prepared = None;
                rank.armed = None;
            }
        }
        let maps: BTreeSet<_> = self.ranks.iter().map(|rank| rank.map).collect();
        if maps.len() > 1 {
            self.violations
                .push(format!("pass {next} begins with the maps {maps:?}"));
        }
    }

    fn is_held(&self) -> bool {
        self.ranks.iter().any(|rank| rank.held.is_some())
    }

    fn statuses(&self) -> Vec<RankStatus> {
        let ranks = self.ranks.iter();
        let statuses = ranks.map(|rank| RankStatus {
            epoch: 1,
            pass: self.pass,
            map: rank.map.0,
            prepared: rank.prepared.map(|(version, _)| version),
            armed: rank.armed.map(|(version, _)| version),
            held: rank.held,
        });
        statuses.collect()
    }
}

/// Orders of one placer to the group, with the faults that they meet.
struct Placer {
    group: Rc<RefCell<Group>>,
    random: RefCell<StdRng>,
    /// Share of orders that are carried out late and not answered.
    late_share: f64,
    /// Share of orders before which the placer freezes for seconds.
    freeze_share: f64,
    /// Ranks that never answer.
    silent: Vec<RankIndex>,
    /// Time until which hold orders are carried out but not answered.
    silent_holds_until: Option<Instant>,
    /// Number of the placer, which identifies the content of its maps.
    content: u64,
}

impl RankControl for Placer {
    fn ranks(&self) -> usize {
        RANKS
    }

    async fn order(&self, rank: RankIndex, order: RankOrder) -> OrderOutcome {
        if self.silent.contains(&rank) {
            sleep(ANSWER_TIMEOUT).await;
            return OrderOutcome::Unanswered;
        }
        let is_hold = matches!(order, RankOrder::Hold { .. });
        if is_hold
            && self
                .silent_holds_until
                .is_some_and(|until| Instant::now() < until)
        {
            self.group.borrow_mut().apply(rank, &order, self.content);
            sleep(ANSWER_TIMEOUT).await;
            return OrderOutcome::Unanswered;
        }
        let (is_late, freezes, delay) = {
            let mut random = self.random.borrow_mut();
            let delay = Duration::from_millis(random.random_range(2_000..12_000));
            (
                random.random_bool(self.late_share),
                random.random_bool(self.freeze_share),
                delay,
            )
        };
        if freezes {
            sleep(delay / 3).await;
        }
        if is_late {
            let (group, content) = (Rc::clone(&self.group), self.content);
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                group.borrow_mut().apply(rank, &order, content);
            });
            sleep(ANSWER_TIMEOUT).await;
            return OrderOutcome::Unanswered;
        }
        sleep(ANSWER_TIME).await;
        self.group.borrow_mut().apply(rank, &order, self.content)
    }
}

fn placer(group: &Rc<RefCell<Group>>, seed: u64, content: u64) -> Placer {
    Placer {
        group: Rc::clone(group),
        random: RefCell::new(StdRng::seed_from_u64(seed)),
        late_share: 0.0,
        freeze_share: 0.0,
        silent: Vec::new(),
        silent_holds_until: None,
        content,
    }
}

fn map(version: u64) -> Arc<ExpertMap> {
    Arc::new(ExpertMap::round_robin(version, 1, 2 * RANKS, RANKS))
}

async fn change_map(placer: &Placer, version: u64, step: u64) -> SwitchResult {
    let group = Rc::clone(&placer.group);
    let next_pass = async move { Some(group.borrow().pass + 3) };
    let fallback = map(version + step);
    switch_map(placer, map(version), fallback, LOAD_TIME, next_pass).await
}

/// Frees the group if a placer has left it held, as a placer at another gateway does.
async fn free_if_held(placer: &Placer, version: u64) -> Option<SwitchResult> {
    let statuses = placer.group.borrow().statuses();
    let (holder, pass) = held_pass(&statuses)?;
    let armed = armed_version(&statuses);
    Some(free_group(placer, holder, pass, armed, map(version)).await)
}

fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

fn start_passes(group: &Rc<RefCell<Group>>) {
    let group = Rc::clone(group);
    tokio::task::spawn_local(async move {
        loop {
            sleep(PASS_TIME).await;
            group.borrow_mut().begin_pass();
        }
    });
}

#[test]
fn answered_orders_switch_all_ranks_without_a_pause() {
    run_paused(async {
        let group = Group::new();
        start_passes(&group);
        let result = change_map(&placer(&group, 1, 1), 10, VERSION_STEP).await;
        assert!(
            matches!(result, SwitchResult::Switched { .. }),
            "{result:?}"
        );
        let pass = group.borrow().pass;
        sleep(10 * PASS_TIME).await;
        let group = group.borrow();
        assert!(group.ranks.iter().all(|rank| rank.map == (10, 1)));
        // The pass was released before the group reached it.
        assert!(group.pass >= pass + 9, "{} after {pass}", group.pass);
        assert_eq!(group.violations, Vec::<String>::new());
    });
}

#[test]
fn change_is_not_started_if_a_rank_is_silent_before_the_hold() {
    run_paused(async {
        let group = Group::new();
        start_passes(&group);
        let mut placer = placer(&group, 1, 1);
        placer.silent = vec![4];
        let result = change_map(&placer, 10, VERSION_STEP).await;
        assert!(matches!(result, SwitchResult::NotStarted(_)), "{result:?}");
        assert!(!group.borrow().is_held());
    });
}

/// Guards against a group that stays held for seconds after a late arm order takes effect while the
/// change is undone: the armed rank refuses to prepare, which must not be taken for an arm order of
/// another placer.
#[test]
fn late_arm_while_a_change_is_undone_does_not_leave_the_group_held() {
    run_paused(async {
        let group = Group::new();
        group.borrow_mut().ranks[0].held = Some(5);
        prepare_all(&group, 10, 1);
        let late = Rc::clone(&group);
        tokio::task::spawn_local(async move {
            // After all ranks are disarmed, and before they prepare the newer version.
            sleep(2 * ANSWER_TIME + ANSWER_TIME / 2).await;
            late.borrow_mut().apply(
                3,
                &RankOrder::Arm {
                    version: 10,
                    pass: 5,
                },
                1,
            );
        });
        let result = free_group(&placer(&group, 1, 2), 0, 5, Some(10), map(11)).await;
        assert!(matches!(result, SwitchResult::Undone(_)), "{result:?}");
        assert!(!group.borrow().is_held());
        assert!(group.borrow().ranks.iter().all(|rank| rank.armed.is_none()));
    });
}

#[test]
fn change_of_a_placer_that_failed_after_arming_some_ranks_is_undone() {
    run_paused(async {
        let group = Group::new();
        start_passes(&group);
        let mut failed_placer = placer(&group, 1, 1);
        failed_placer.silent = vec![5];
        prepare_all(&group, 10, 1);
        let pass = group.borrow().pass + 4;
        group.borrow_mut().apply(0, &RankOrder::Hold { pass }, 1);
        for rank in 0..3 {
            group
                .borrow_mut()
                .apply(rank, &RankOrder::Arm { version: 10, pass }, 1);
        }
        sleep(10 * PASS_TIME).await;
        assert_eq!(group.borrow().pass, pass - 1);
        let result = free_if_held(&placer(&group, 2, 2), 20).await;
        assert!(
            matches!(result, Some(SwitchResult::Undone(_))),
            "{result:?}"
        );
        sleep(10 * PASS_TIME).await;
        let group = group.borrow();
        assert!(group.pass > pass);
        assert!(group.ranks.iter().all(|rank| rank.map == (0, 0)));
        assert_eq!(group.violations, Vec::<String>::new());
    });
}

/// Guards against a group that stays held because another placer has given the ranks a higher
/// version meanwhile: they refuse the version with which undoing a change voids late arm orders.
#[test]
fn change_is_undone_despite_a_higher_version_of_another_placer() {
    run_paused(async {
        let group = Group::new();
        group.borrow_mut().ranks[0].held = Some(5);
        prepare_all(&group, (9 << 16) | 3, 2);
        let fallback = map((4 << 16) | 1);
        let armed = Some((3 << 16) | 1);
        let result = free_group(&placer(&group, 1, 1), 0, 5, armed, fallback).await;
        assert!(matches!(result, SwitchResult::Undone(_)), "{result:?}");
        assert!(!group.borrow().is_held());
    });
}

fn prepare_all(group: &Rc<RefCell<Group>>, version: u64, content: u64) {
    for rank in 0..RANKS {
        let map = map(version);
        let order = RankOrder::Prepare { version, map };
        let outcome = group.borrow_mut().apply(rank, &order, content);
        assert_eq!(outcome, OrderOutcome::Accepted);
    }
}

/// Guards against a placer that releases a pass whose hold was not answered. Another placer may
/// hold the same pass and be arming the ranks, and would then switch only some of them
/// (`RELEASE_AFTER_SILENCE` in `model/map_switch.pml`).
#[test]
fn silence_after_a_hold_does_not_release_the_pass_of_another_placer() {
    run_paused(async {
        let group = Group::new();
        let mut unanswered_placer = placer(&group, 1, 1);
        unanswered_placer.silent_holds_until = Some(Instant::now() + Duration::from_secs(60));
        // Meanwhile the other placer prepares its map and holds the pass that this one estimates.
        let other = Rc::clone(&group);
        tokio::task::spawn_local(async move {
            sleep(LOAD_TIME / 2).await;
            prepare_all(&other, 20, 2);
            other.borrow_mut().ranks[0].held = Some(3);
        });
        let result = change_map(&unanswered_placer, 10, VERSION_STEP).await;
        assert!(matches!(result, SwitchResult::NotStarted(_)), "{result:?}");
        assert_eq!(group.borrow().ranks[0].held, Some(3));
    });
}

/// A pass stays held while answers to the hold order are lost; nobody else releases it.
#[test]
fn hold_that_is_answered_late_is_used() {
    run_paused(async {
        let group = Group::new();
        start_passes(&group);
        let mut placer = placer(&group, 1, 1);
        placer.silent_holds_until = Some(Instant::now() + Duration::from_secs(2));
        let result = change_map(&placer, 10, VERSION_STEP).await;
        assert!(
            matches!(result, SwitchResult::Switched { .. }),
            "{result:?}"
        );
        sleep(3 * PASS_TIME).await;
        let group = group.borrow();
        assert!(!group.is_held());
        assert!(group.ranks.iter().all(|rank| rank.map == (10, 1)));
        assert_eq!(group.violations, Vec::<String>::new());
    });
}

/// Guards against freeing a group by disarming a version that another placer has only prepared. If
/// such an order is carried out late, it disarms one rank after all were armed and the pass was
/// released (`DISARM_PREPARED` in `model/map_switch.pml`).
#[test]
fn version_that_is_only_prepared_is_not_disarmed() {
    run_paused(async {
        let group = Group::new();
        prepare_all(&group, 10, 1);
        group.borrow_mut().ranks[0].held = Some(1);
        let result = free_if_held(&placer(&group, 1, 2), 20).await;
        assert!(
            matches!(result, Some(SwitchResult::Undone(_))),
            "{result:?}"
        );
        assert_eq!(group.borrow().disarmed, Vec::<u64>::new());
        assert!(!group.borrow().is_held());
    });
}

/// A pass that a rank still holds may be released by its placer at any moment. A change that relied
/// on this hold would switch only some ranks (`HOLD_OVER_HELD` in `model/map_switch.pml`).
#[test]
fn no_pass_is_chosen_while_a_rank_holds_one() {
    let pace = PassPace {
        report_age: Duration::from_millis(150),
        pause: Duration::from_millis(100),
        is_lossy: false,
    };
    let free = RankStatus {
        pass: 40,
        map: 7,
        ..RankStatus::default()
    };
    let held = RankStatus {
        held: Some(41),
        ..free
    };
    // The report is at most two passes old, so pass 42 may have begun, and the next one is held.
    assert_eq!(pass_to_hold(&[free, free], 7, &pace), Some(43));
    assert_eq!(pass_to_hold(&[free, held], 7, &pace), None);
    assert_eq!(pass_to_hold(&[held, free], 7, &pace), None);
    // Another placer has changed the map since it was planned.
    assert_eq!(pass_to_hold(&[free, free], 6, &pace), None);
    let lossy = PassPace {
        is_lossy: true,
        ..pace
    };
    assert_eq!(pass_to_hold(&[free, free], 7, &lossy), Some(45));
}

/// Runs 40 seeds in which two placers repeatedly change maps and free the group, with the given
/// shares of late orders and freezes, and checks every pass.
fn check_seeds(late_share: f64, freeze_share: f64, first_seed: u64) {
    for seed in first_seed..first_seed + 40 {
        let violations = run_seed(late_share, freeze_share, seed, VERSION_STEP);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Without versions of their own, two placers use one version for different maps. Shows that the
/// check finds the violation.
#[test]
fn check_finds_versions_shared_by_two_placers() {
    let broken = (200..240).filter(|seed| !run_seed(0.0, 0.05, *seed, 1).is_empty());
    assert!(broken.count() > 0);
}

/// Runs two placers and returns the violations; `version_step` is the distance between a version
/// and its fallback.
fn run_seed(late_share: f64, freeze_share: f64, seed: u64, version_step: u64) -> Vec<String> {
    let violations = Rc::new(RefCell::new(Vec::new()));
    let outcome = Rc::clone(&violations);
    run_paused(async move {
        let group = Group::new();
        start_passes(&group);
        let run_placer = |number: u64| {
            let mut placer = placer(&group, seed * 31 + number, number + 1);
            placer.late_share = late_share;
            placer.freeze_share = freeze_share;
            let group = Rc::clone(&group);
            async move {
                let mut count = 1;
                for _ in 0..12 {
                    // The low bits identify the placer, as in versions of real placers.
                    let highest = group.borrow().ranks.iter().map(|rank| rank.highest).max();
                    count = (highest.unwrap_or(0) >> 16).max(count) + 1;
                    change_map(&placer, (count << 16) | number, version_step).await;
                    count += 2;
                    sleep(Duration::from_millis(900)).await;
                    if group.borrow().is_held() {
                        free_if_held(&placer, (count << 16) | number).await;
                    }
                    // A placer abandons a change that takes too long, at any step.
                    let limit = Duration::from_millis(350 + 40 * number);
                    let _ = timeout(
                        limit,
                        change_map(&placer, ((count + 1) << 16) | number, version_step),
                    )
                    .await;
                    sleep(Duration::from_millis(700)).await;
                }
            }
        };
        let ((), ()) = futures_util::future::join(run_placer(1), run_placer(2)).await;
        violations
            .borrow_mut()
            .clone_from(&group.borrow().violations);
    });
    outcome.take()
}

test_cases! {
    fn check_seeds(late_share: f64, freeze_share: f64, first_seed: u64);
    two_placers_with_answered_orders: (0.0, 0.0, 1);
    two_placers_with_late_orders: (0.35, 0.0, 100);
    two_placers_that_freeze: (0.0, 0.05, 200);
    two_placers_with_late_orders_and_freezes: (0.2, 0.03, 300);
}

fn check_preparation(times_ms: (u64, u64), is_lossy: bool, is_only_placer: bool, expected_ms: u64) {
    let pace = PassPace {
        report_age: Duration::from_millis(200),
        pause: Duration::from_millis(times_ms.1),
        is_lossy,
    };
    let time = pace.preparation_time(Duration::from_millis(times_ms.0), is_only_placer);
    assert_eq!(time, Duration::from_millis(expected_ms));
}

// Small experts load within a pass. The reports may then not yet show a pass that another placer
// has held, and the late release by that placer would let a pass begin that this one holds.
test_cases! {
    fn check_preparation(times_ms: (u64, u64), is_lossy: bool, is_only_placer: bool, expected_ms: u64);
    small_experts_wait_for_the_reports_of_a_hold: ((75, 60), false, false, 200);
    small_experts_wait_for_the_pass_of_another_placer: ((75, 150), false, false, 300);
    lost_orders_wait_for_passes_further_ahead: ((75, 110), true, false, 440);
    large_experts_outlast_the_passes: ((450, 110), false, false, 450);
    only_placer_need_not_wait: ((75, 110), false, true, 75);
}
