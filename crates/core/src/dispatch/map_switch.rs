//! Change of the expert map of a group whose engines take orders directly.
//!
//! In every pass all ranks must use the same map, although orders are lost, carried out seconds
//! later, or given by two placers at once. The engines guarantee four things on which the order of
//! steps rests:
//!
//! - A rank that holds pass S keeps the whole group from beginning it until it is released.
//! - A version is armed only while it is the one that the rank has prepared, and a rank that is
//!   armed prepares nothing.
//! - Versions only rise, and a pass that has begun is neither armed nor held any more.
//! - An order for another formation of the group is refused.
//!
//! A placer holds pass S at one rank, arms every rank for S and releases the pass only after each
//! rank has acknowledged. If that fails it disarms every rank and makes each prepare a newer
//! version, which voids whatever arms are still under way, and releases the pass only then. Another
//! placer that finds a group held does the same, after it has held the pass at a second rank, which
//! the first placer does not release. Versions are unique to a placer, so that two placers never
//! mean different maps by one version.

use {
    super::super::placement::ExpertMap,
    std::{future::Future, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Pause before an order that was not answered is given again.
const REPEAT_PAUSE: Duration = Duration::from_millis(5);

/// Time for arming. With every order answered it takes some milliseconds; after this time the
/// change is undone, since a held pass stalls the group.
const ARM_LIMIT: Duration = Duration::from_millis(700);

/// Time for the hold with which a group is freed. Whoever frees it tries again after a look at the
/// ranks.
const FREE_HOLD_LIMIT: Duration = Duration::from_millis(400);

/// Time for the orders that prepare a map.
const PREPARE_LIMIT: Duration = Duration::from_millis(600);

/// Time for orders that leave the group held if they are given up: the hold and the orders that
/// undo a change. Without it a placer would keep trying at a rank that is gone; the group forms
/// anew without that rank, or another placer goes on.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// How often undoing starts over when a rank refuses to prepare.
const UNDO_TRIES: u64 = 4;

/// Distance of the versions that are tried one after the other. The bits below tell placers apart,
/// and a placer seldom gives more than a few versions in the time of one change.
const UNDO_VERSION_STEP: u64 = 64 << VERSION_PLACER_BITS;

/// Bits of a version that tell placers apart; the bits above them count.
pub const VERSION_PLACER_BITS: u32 = 16;

/// Returns the version of a placer that follows `highest`; `draw` are the bits that tell it apart.
pub const fn version_after(highest: u64, draw: u64) -> u64 {
    (((highest >> VERSION_PLACER_BITS) + 1) << VERSION_PLACER_BITS) | draw
}

/// Passes by which a refused hold is moved on, and how often it is.
const HOLD_STRIDE: u64 = 1;
const HOLD_TRIES: u32 = 6;

/// Ranks at which passes are held: a change holds at the first one, and whoever frees a group at
/// the other of the first two.
pub const HOLDING_RANKS: usize = 2;

/// Rank of a group.
pub type RankIndex = usize;

/// Order to the engine of a rank.
#[derive(Clone, Debug, PartialEq)]
pub enum RankOrder {
    /// Load the experts of a map.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Map.
        map: Arc<ExpertMap>,
    },
    /// Use a prepared map from a pass on.
    Arm {
        /// Version of the map.
        version: u64,
        /// First pass with the map.
        pass: u64,
    },
    /// Forget what is armed.
    Disarm {
        /// Version that may be armed.
        version: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// Pass.
        pass: u64,
    },
    /// Let the group begin a held pass.
    Release {
        /// Pass.
        pass: u64,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is carried out, or its effect is there already.
    Accepted,
    /// It does not fit the state of the rank.
    Refused,
    /// No answer; it may be carried out later.
    Unanswered,
}

/// Way to the engines of a group. Orders carry the formation of the group.
pub trait RankControl {
    /// Number of ranks.
    fn ranks(&self) -> usize;

    /// Gives an order to a rank.
    fn order(&self, rank: RankIndex, order: RankOrder) -> impl Future<Output = OrderOutcome>;
}

/// How a change ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchResult {
    /// All ranks use the new map from this pass on.
    Switched {
        /// First pass with the new map.
        pass: u64,
    },
    /// No rank was armed.
    NotStarted(&'static str),
    /// Every rank uses the old map, and nothing is held.
    Undone(&'static str),
    /// A rank could not be reached while the change was undone; the group may still be held.
    Abandoned,
}

/// Map that all ranks are loading or have loaded.
#[derive(Debug)]
pub struct PreparedMap;

/// Pass that the group does not begin.
#[derive(Debug)]
pub struct HeldPass {
    pass: u64,
}

/// Change of a map in one of the states of its life cycle.
#[derive(Debug)]
pub struct MapSwitch<'a, C, S> {
    control: &'a C,
    version: u64,
    state: S,
}

impl<'a, C: RankControl> MapSwitch<'a, C, PreparedMap> {
    /// Has every rank prepare a map; `None` if a rank refuses or does not answer.
    pub async fn prepare(control: &'a C, map: Arc<ExpertMap>) -> Option<Self> {
        let version = map.version();
        let order = RankOrder::Prepare { version, map };
        let prepared = order_all(control, &order, PREPARE_LIMIT).await;
        let state = PreparedMap;
        (prepared == OrderOutcome::Accepted).then_some(Self {
            control,
            version,
            state,
        })
    }

    /// Holds a pass at the first rank, or a later one if that pass has begun.
    ///
    /// A hold that is not answered may be in force or come into force, so the order is given until
    /// it is answered. It is not taken back by releasing the pass: another placer may hold the same
    /// one and be about to arm the ranks.
    pub async fn hold(self, pass: u64) -> Option<MapSwitch<'a, C, HeldPass>> {
        let Self {
            control, version, ..
        } = self;
        for attempt in 0..HOLD_TRIES {
            let pass = pass + HOLD_STRIDE * u64::from(attempt);
            let order = RankOrder::Hold { pass };
            match order_one(control, 0, order, SETTLE_LIMIT).await {
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
    /// Arms every rank and releases the pass; undoes the change if a rank cannot be armed.
    /// `fallback` is the map in use under a newer version.
    pub async fn arm_and_release(self, fallback: Arc<ExpertMap>) -> SwitchResult {
        let Self {
            control,
            version,
            state: HeldPass { pass },
        } = self;
        let order = RankOrder::Arm { version, pass };
        let reason = match order_all(control, &order, ARM_LIMIT).await {
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

/// Changes the map of a group. `next_pass` estimates the pass to hold, once the experts are
/// loaded; `loading` is the time that this takes.
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
        return SwitchResult::NotStarted("the map is not loaded everywhere");
    };
    let Some(held) = prepared.hold(pass).await else {
        return SwitchResult::NotStarted("the pass could not be held");
    };
    held.arm_and_release(fallback).await
}

/// Frees a group that another placer has left held at `pass` by the rank `holder`. `armed` is the
/// highest version that a rank has armed, `fallback` the map in use under a newer one.
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
    match order_one(control, second, order, FREE_HOLD_LIMIT).await {
        OrderOutcome::Accepted => {}
        OrderOutcome::Refused => return SwitchResult::NotStarted("the pass has begun"),
        OrderOutcome::Unanswered => return SwitchResult::Abandoned,
    }
    match undo(control, armed, fallback, pass, &[holder, second]).await {
        true => SwitchResult::Undone("left held by another placer"),
        false => SwitchResult::Abandoned,
    }
}

/// Disarms every rank, voids arms that are still under way, and releases the pass at the ranks in
/// `holders`. Returns whether all of it was acknowledged.
async fn undo<C: RankControl>(
    control: &C,
    armed: Option<u64>,
    fallback: Arc<ExpertMap>,
    pass: u64,
    holders: &[RankIndex],
) -> bool {
    let disarm = armed.map(|version| RankOrder::Disarm { version });
    for attempt in 0..UNDO_TRIES {
        // A rank to which another placer has given a higher version refuses ours.
        let version = fallback.version() + UNDO_VERSION_STEP * attempt;
        let map = Arc::new(ExpertMap::clone(&fallback).with_version(version));
        let prepare = RankOrder::Prepare { version, map };
        if let Some(disarm) = &disarm {
            // A rank that is not armed with this version refuses, which is as good.
            let disarmed = outcomes(control, disarm, SETTLE_LIMIT).await;
            if disarmed.contains(&OrderOutcome::Unanswered) {
                return false;
            }
        }
        match order_all(control, &prepare, SETTLE_LIMIT).await {
            OrderOutcome::Accepted => {
                for holder in holders {
                    release(control, *holder, pass).await;
                }
                return true;
            }
            // A late arm has come into force since, or the rank is armed by another placer, which
            // then releases the pass itself.
            OrderOutcome::Refused => sleep(REPEAT_PAUSE).await,
            OrderOutcome::Unanswered => return false,
        }
    }
    false
}

async fn release<C: RankControl>(control: &C, rank: RankIndex, pass: u64) {
    order_one(control, rank, RankOrder::Release { pass }, SETTLE_LIMIT).await;
}

/// Gives an order to a rank until it answers.
async fn order_one<C: RankControl>(
    control: &C,
    rank: RankIndex,
    order: RankOrder,
    limit: Duration,
) -> OrderOutcome {
    let until = Instant::now() + limit;
    loop {
        let outcome = control.order(rank, order.clone()).await;
        if outcome != OrderOutcome::Unanswered || Instant::now() >= until {
            return outcome;
        }
        sleep(REPEAT_PAUSE).await;
    }
}

/// Gives an order to all ranks at once. A refusal counts before a missing answer.
async fn order_all<C: RankControl>(
    control: &C,
    order: &RankOrder,
    limit: Duration,
) -> OrderOutcome {
    let outcomes = outcomes(control, order, limit).await;
    let worst = [OrderOutcome::Refused, OrderOutcome::Unanswered]
        .into_iter()
        .find(|outcome| outcomes.contains(outcome));
    worst.unwrap_or(OrderOutcome::Accepted)
}

/// Gives an order to all ranks at once, to each until it answers.
async fn outcomes<C: RankControl>(
    control: &C,
    order: &RankOrder,
    limit: Duration,
) -> Vec<OrderOutcome> {
    let ranks = 0..control.ranks();
    let orders = ranks.map(|rank| order_one(control, rank, order.clone(), limit));
    futures_util::future::join_all(orders).await
}
