//! Change of the expert map of a group whose engines take orders directly from gateways.
//!
//! A placer is a gateway that changes expert maps. In every pass all ranks must use the same map,
//! although orders may be lost, may be carried out seconds late, or may come from two placers at
//! the same time. The protocol relies on four guarantees of the engines:
//!
//! - A rank that holds pass S keeps the whole group from beginning S until the rank releases it.
//! - A rank arms a version only while that version is the one that it has prepared, and an armed
//!   rank does not prepare another version.
//! - Versions only rise, and a pass that has begun can be neither armed nor held.
//! - An order for another formation of the group is refused.
//!
//! A placer holds pass S at one rank, arms every rank for S, and releases S only after each rank
//! has acknowledged. If that fails, it disarms every rank and has each prepare a newer version,
//! which makes the ranks refuse any arm order that is still in transit, and only then releases S.
//! Another placer that finds a group held does the same, after it has held the pass at a second
//! rank, which the first placer does not release. Version numbers are unique to a placer, so that
//! two placers never use the same version for different maps.

use {
    super::super::placement::ExpertMap,
    std::{future::Future, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time before an order is repeated that got no answer, or before undoing a change starts over.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Time limit for arming all ranks. It takes some milliseconds if every order is answered. After
/// this time the change is undone, since a held pass stalls the group.
const ARM_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limit for the hold order with which freeing a group begins. The placer that frees the group
/// reads the status of the ranks again before its next attempt.
const FREE_HOLD_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the orders that prepare a map.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time limit for orders that may leave the group held if they are given up: the hold order and the
/// orders that undo a change. It ends the attempts at a rank that is gone. The group then forms
/// again without that rank, or another placer frees it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of attempts to undo a change; a new one begins when a rank refuses to prepare.
const MAX_UNDO_ATTEMPTS: u64 = 4;

/// Difference between the versions of consecutive attempts to undo a change. The lower bits
/// identify the placer, and a placer seldom creates more than a few versions during one change.
const UNDO_VERSION_STEP: u64 = 64 << VERSION_PLACER_BITS;

/// Number of low bits of a version that identify the placer; the bits above them are a counter.
pub const VERSION_PLACER_BITS: u32 = 16;

/// Returns the next version after `highest` for the placer that is identified by `placer_bits`, a
/// random number of [`VERSION_PLACER_BITS`] bits.
pub const fn version_after(highest: u64, placer_bits: u64) -> u64 {
    (((highest >> VERSION_PLACER_BITS) + 1) << VERSION_PLACER_BITS) | placer_bits
}

/// Number of passes by which a refused hold is moved to a later pass, and number of attempts.
const HOLD_PASS_STEP: u64 = 1;
const MAX_HOLD_ATTEMPTS: u32 = 6;

/// Number of ranks, from the first one, at which passes are held. A map change holds its pass at
/// the first rank; a placer that frees a group holds the pass at the other of these two.
pub const HOLDING_RANKS: usize = 2;

/// Number of a rank in its group, from 0.
pub type RankIndex = usize;

/// Order to the engine of a rank.
#[derive(Clone, Debug, PartialEq)]
pub enum RankOrder {
    /// Load the experts of a map, to be able to use it later.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Map whose experts are loaded.
        map: Arc<ExpertMap>,
    },
    /// Use the prepared map from a given pass on.
    Arm {
        /// Version of the map.
        version: u64,
        /// First pass with the map.
        pass: u64,
    },
    /// Cancel an arm order.
    Disarm {
        /// Version that may be armed; the order is refused if another one is.
        version: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// Number of the pass.
        pass: u64,
    },
    /// Let the group begin a held pass.
    Release {
        /// Number of the pass.
        pass: u64,
    },
}

/// Outcome of an order to the engine of a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order was carried out, or its effect was already there.
    Accepted,
    /// The order is not allowed in the state of the rank.
    Refused,
    /// There was no answer; the order may still be carried out later.
    Unanswered,
}

/// Sends orders to the engines of one formation of a group. Each order carries the number of the
/// formation.
pub trait RankControl {
    /// Returns the number of ranks in the group.
    fn ranks(&self) -> usize;

    /// Sends an order to a rank once and returns its outcome.
    fn order(&self, rank: RankIndex, order: RankOrder) -> impl Future<Output = OrderOutcome>;
}

/// Result of a map change or of freeing a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchResult {
    /// All ranks use the new map from this pass on.
    Switched {
        /// First pass with the new map.
        pass: u64,
    },
    /// No rank was armed, for this reason.
    NotStarted(&'static str),
    /// The change was undone, for this reason: every rank uses the old map, and the pass is
    /// released.
    Undone(&'static str),
    /// Undoing a change failed, for example because a rank did not answer. The group may still be
    /// held.
    Abandoned,
}

/// State of a change in which all ranks are loading or have loaded the map.
#[derive(Debug)]
pub struct PreparedMap;

/// State of a change in which a rank holds a pass, so that the group does not begin it.
#[derive(Debug)]
pub struct HeldPass {
    pass: u64,
}

/// Map change in the state `S`, [`PreparedMap`] or [`HeldPass`].
#[derive(Debug)]
pub struct MapSwitch<'a, C, S> {
    control: &'a C,
    version: u64,
    state: S,
}

impl<'a, C: RankControl> MapSwitch<'a, C, PreparedMap> {
    /// Orders every rank to prepare a map. Returns `None` if a rank refuses or does not answer in
    /// time.
    pub async fn prepare(control: &'a C, map: Arc<ExpertMap>) -> Option<Self> {
        let version = map.version();
        let order = RankOrder::Prepare { version, map };
        let prepared = order_all(control, &order, PREPARE_TIMEOUT).await;
        let state = PreparedMap;
        (prepared == OrderOutcome::Accepted).then_some(Self {
            control,
            version,
            state,
        })
    }

    /// Holds a pass at the first rank, or a later pass if that one has begun. Returns `None` if no
    /// pass could be held or the rank did not answer.
    ///
    /// A hold order without an answer may be in effect or take effect later, so it is repeated
    /// until it is answered. The pass is not released to cancel it: another placer may hold the
    /// same pass and be about to arm the ranks.
    pub async fn hold(self, pass: u64) -> Option<MapSwitch<'a, C, HeldPass>> {
        let Self {
            control, version, ..
        } = self;
        for attempt in 0..MAX_HOLD_ATTEMPTS {
            let pass = pass + HOLD_PASS_STEP * u64::from(attempt);
            let order = RankOrder::Hold { pass };
            match order_one(control, 0, order, SETTLE_TIMEOUT).await {
                OrderOutcome::Accepted => {
                    let state = HeldPass { pass };
                    return Some(MapSwitch {
                        control,
                        version,
                        state,
                    });
                }
                OrderOutcome::Refused => {}
                OrderOutcome::Unanswered => return None,
            }
        }
        None
    }
}

impl<C: RankControl> MapSwitch<'_, C, HeldPass> {
    /// Arms every rank and releases the pass. Undoes the change if a rank cannot be armed;
    /// `fallback` is then the map to prepare, which is the map in use with a newer version.
    pub async fn arm_and_release(self, fallback: Arc<ExpertMap>) -> SwitchResult {
        let Self {
            control,
            version,
            state: HeldPass { pass },
        } = self;
        let order = RankOrder::Arm { version, pass };
        let reason = match order_all(control, &order, ARM_TIMEOUT).await {
            OrderOutcome::Accepted => {
                release(control, 0, pass).await;
                return SwitchResult::Switched { pass };
            }
            OrderOutcome::Refused => "a rank refused to be armed",
            OrderOutcome::Unanswered => "a rank did not answer",
        };
        match undo(control, Some(version), fallback, pass, &[0]).await {
            true => SwitchResult::Undone(reason),
            false => SwitchResult::Abandoned,
        }
    }
}

/// Changes the map of a group to `map`. `fallback` is the map in use with a newer version, for
/// undoing the change. `loading` is the time to wait for the experts to load; after that,
/// `next_pass` returns the pass to hold, or `None` if the change cannot go on.
pub async fn switch_map<C: RankControl>(
    control: &C,
    map: Arc<ExpertMap>,
    fallback: Arc<ExpertMap>,
    loading: Duration,
    next_pass: impl Future<Output = Option<u64>>,
) -> SwitchResult {
    let Some(prepared) = MapSwitch::prepare(control, map).await else {
        return SwitchResult::NotStarted("a rank did not prepare the map");
    };
    sleep(loading).await;
    let Some(pass) = next_pass.await else {
        return SwitchResult::NotStarted("there is no pass to hold");
    };
    let Some(held) = prepared.hold(pass).await else {
        return SwitchResult::NotStarted("the pass could not be held");
    };
    held.arm_and_release(fallback).await
}

/// Frees a group after another placer has left it held at `pass` by the rank `holder`, and undoes
/// the change of that placer. `armed` is the highest version that a rank has armed, if any, and
/// `fallback` the map in use with a newer version.
pub async fn free_group<C: RankControl>(
    control: &C,
    holder: RankIndex,
    pass: u64,
    armed: Option<u64>,
    fallback: Arc<ExpertMap>,
) -> SwitchResult {
    let second = usize::from(holder == 0);
    if second >= control.ranks() {
        return SwitchResult::NotStarted("the group has one rank");
    }
    let order = RankOrder::Hold { pass };
    match order_one(control, second, order, FREE_HOLD_TIMEOUT).await {
        OrderOutcome::Accepted => {}
        OrderOutcome::Refused => return SwitchResult::NotStarted("the pass has begun"),
        OrderOutcome::Unanswered => return SwitchResult::Abandoned,
    }
    match undo(control, armed, fallback, pass, &[holder, second]).await {
        true => SwitchResult::Undone("left held by another placer"),
        false => SwitchResult::Abandoned,
    }
}

/// Disarms every rank, has every rank prepare a newer version so that it refuses arm orders that
/// are still in transit, and releases the pass at the ranks in `holders`. Returns false if the pass
/// was not released because a rank did not answer or kept refusing to prepare.
async fn undo<C: RankControl>(
    control: &C,
    armed: Option<u64>,
    fallback: Arc<ExpertMap>,
    pass: u64,
    holders: &[RankIndex],
) -> bool {
    let disarm = armed.map(|version| RankOrder::Disarm { version });
    for attempt in 0..MAX_UNDO_ATTEMPTS {
        // A rank that has a higher version from another placer refuses a lower one.
        let version = fallback.version() + UNDO_VERSION_STEP * attempt;
        let map = Arc::new(ExpertMap::clone(&fallback).with_version(version));
        let prepare = RankOrder::Prepare { version, map };
        if let Some(disarm) = &disarm {
            // A rank that is not armed with this version refuses, which has the same effect.
            let disarmed = order_each(control, disarm, SETTLE_TIMEOUT).await;
            if disarmed.contains(&OrderOutcome::Unanswered) {
                return false;
            }
        }
        match order_all(control, &prepare, SETTLE_TIMEOUT).await {
            OrderOutcome::Accepted => {
                for holder in holders {
                    release(control, *holder, pass).await;
                }
                return true;
            }
            // A late arm order has taken effect since, or another placer has armed the rank and
            // will release the pass itself.
            OrderOutcome::Refused => sleep(RETRY_DELAY).await,
            OrderOutcome::Unanswered => return false,
        }
    }
    false
}

async fn release<C: RankControl>(control: &C, rank: RankIndex, pass: u64) {
    order_one(control, rank, RankOrder::Release { pass }, SETTLE_TIMEOUT).await;
}

/// Sends an order to a rank until the rank answers or the time limit has passed.
async fn order_one<C: RankControl>(
    control: &C,
    rank: RankIndex,
    order: RankOrder,
    timeout: Duration,
) -> OrderOutcome {
    let deadline = Instant::now() + timeout;
    loop {
        let outcome = control.order(rank, order.clone()).await;
        if outcome != OrderOutcome::Unanswered || Instant::now() >= deadline {
            return outcome;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sends an order to all ranks at once and returns the worst outcome. A refusal takes precedence
/// over a missing answer.
async fn order_all<C: RankControl>(
    control: &C,
    order: &RankOrder,
    timeout: Duration,
) -> OrderOutcome {
    let outcomes = order_each(control, order, timeout).await;
    let worst = [OrderOutcome::Refused, OrderOutcome::Unanswered]
        .into_iter()
        .find(|outcome| outcomes.contains(outcome));
    worst.unwrap_or(OrderOutcome::Accepted)
}

/// Sends an order to all ranks at once, to each until it answers or the time limit has passed, and
/// returns the outcome for each rank.
async fn order_each<C: RankControl>(
    control: &C,
    order: &RankOrder,
    timeout: Duration,
) -> Vec<OrderOutcome> {
    let ranks = 0..control.ranks();
    let orders = ranks.map(|rank| order_one(control, rank, order.clone(), timeout));
    futures_util::future::join_all(orders).await
}
