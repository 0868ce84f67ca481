//! Which bodies and answers of callers may take memory, and which give way when it is used up.
//!
//! Load pattern: callers outside the limits that send many large bodies at once, stop short of their
//! end and stay, or that do not read large answers. A caller inside the limits sends and reads
//! without a pause, so that what makes no progress gives way first.

use {
    slotmap::{SlotMap, new_key_type},
    std::{cmp::Reverse, collections::HashMap, net::IpAddr},
    tokio::time::{Duration, Instant},
};

/// Largest body that may use the reserve, in bytes. Most requests are far smaller.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Largest body that is always granted memory, in bytes. The number of connections bounds what such
/// bodies take together, and a crowd of larger ones cannot keep them out.
const TINY_BODY_BYTES: usize = 4 * 1024;

/// Time without progress after which a body or an answer gives way. A caller on a slow link still
/// makes progress within it.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Part of a body's memory that only small bodies may use: one in this number of bytes.
const RESERVE_SHARE: usize = 4;

/// Most memory of a connection apart from bodies and answers, in bytes: the buffer of the head.
pub const CONNECTION_BYTES: usize = 48 * 1024;

/// Highest number of connections, whatever the memory.
const CONNECTION_LIMIT: usize = 2048;

/// Highest number of bytes of answers of targets that are being read, whatever the memory.
const MAX_COLLECTED_BYTES: usize = 32 * 1024 * 1024;

/// Division of the memory limit of a process. A quarter of it is left for everything else. Without such
/// callers a gateway takes 30 MB at most in a fleet of 100 instances (docs/CAPACITY.md).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryPlan {
    /// Bytes of request bodies, from their first byte to the end of the request.
    pub bodies: usize,
    /// Bytes of answers of targets that are being read.
    pub collected: usize,
    /// Bytes of large answers that callers have not read yet, above which stalled ones give way.
    /// Above twice that, others give way too.
    pub answers: usize,
    /// Number of connections of callers.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides a limit, given in bytes.
    pub fn for_limit(limit: usize) -> Self {
        Self {
            bodies: limit / 16 * 3,
            collected: (limit / 32 * 3).min(MAX_COLLECTED_BYTES),
            answers: limit / 64 * 3,
            connections: (limit / 8 * 3 / CONNECTION_BYTES).min(CONNECTION_LIMIT),
        }
    }
}

new_key_type! {
    /// Identifies a body or an answer that holds memory.
    pub struct HoldKey;
}

/// Answer to a body that needs more memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemoryGrowth {
    /// The memory is granted.
    Granted,
    /// The memory is not free until holds have ended that give way. Those named here do so from now
    /// on.
    Waiting(Vec<HoldKey>),
    /// There is no memory, and nothing gives way.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct MemoryHold {
    owner: IpAddr,
    bytes: usize,
    progress_at: Instant,
    /// Whether the hold may give way. The body of a request that may run does not.
    can_yield: bool,
    is_displaced: bool,
}

impl MemoryHold {
    fn is_stalled(&self, now: Instant) -> bool {
        now >= self.progress_at + STALL_TIME
    }
}

/// Memory that callers hold, up to a limit.
#[derive(Debug)]
pub struct CallerMemory {
    holds: SlotMap<HoldKey, MemoryHold>,
    held: usize,
    limit: usize,
}

impl CallerMemory {
    /// Creates a memory of `limit` bytes, none of which is held.
    pub fn new(limit: usize) -> Self {
        Self {
            holds: SlotMap::default(),
            held: 0,
            limit,
        }
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of bytes of a hold.
    pub fn held_by(&self, key: HoldKey) -> usize {
        self.holds.get(key).map_or(0, |hold| hold.bytes)
    }

    /// Adds a hold without bytes for a caller at `owner`.
    pub fn add(&mut self, owner: IpAddr, now: Instant) -> HoldKey {
        self.holds.insert(MemoryHold {
            owner,
            bytes: 0,
            progress_at: now,
            can_yield: true,
            is_displaced: false,
        })
    }

    /// Ends a hold and frees its bytes.
    pub fn remove(&mut self, key: HoldKey) {
        if let Some(hold) = self.holds.remove(key) {
            self.held -= hold.bytes;
        }
    }

    /// Records that the caller has sent or read something.
    pub fn note_progress(&mut self, key: HoldKey, now: Instant) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.progress_at = now;
        }
    }

    /// Keeps a hold from giving way until it ends.
    pub fn pin(&mut self, key: HoldKey) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.can_yield = false;
        }
    }

    /// Decides whether a body may grow to `bytes` bytes, which a tiny one always may. Stalled bodies give way to it, and those
    /// that are not small to a small one. Nothing gives way if that would not free enough.
    pub fn grow(&mut self, key: HoldKey, bytes: usize, now: Instant) -> MemoryGrowth {
        let Some(hold) = self.holds.get(key).filter(|hold| !hold.is_displaced) else {
            return MemoryGrowth::Refused;
        };
        let is_small = bytes <= SMALL_BODY_BYTES;
        let limit = match is_small {
            true => self.limit,
            false => self.limit - self.limit / RESERVE_SHARE,
        };
        let further = bytes.saturating_sub(hold.bytes);
        if bytes <= TINY_BODY_BYTES || self.held + further <= limit {
            self.held += further;
            if let Some(hold) = self.holds.get_mut(key) {
                hold.bytes += further;
                hold.progress_at = now;
            }
            return MemoryGrowth::Granted;
        }
        let candidates = self.candidates(key, now, |hold| {
            hold.is_stalled(now) || is_small && hold.bytes > SMALL_BODY_BYTES
        });
        let goal = limit.checked_sub(further);
        let chosen = goal.and_then(|goal| self.choose(candidates, goal));
        chosen.map_or(MemoryGrowth::Refused, |chosen| {
            self.displace(&chosen);
            MemoryGrowth::Waiting(chosen)
        })
    }

    /// Counts `bytes` bytes of an answer, which is always granted because the request has run, and
    /// returns the answers that give way.
    pub fn grow_always(&mut self, key: HoldKey, bytes: usize, now: Instant) -> Vec<HoldKey> {
        if let Some(hold) = self.holds.get_mut(key) {
            self.held += bytes;
            hold.bytes += bytes;
            hold.progress_at = now;
        }
        let stalled = self.candidates(key, now, |hold| hold.is_stalled(now));
        let mut chosen = self.choose_some(stalled, self.limit);
        self.displace(&chosen);
        let further = self.choose_some(self.candidates(key, now, |_| true), 2 * self.limit);
        self.displace(&further);
        chosen.extend(further);
        chosen
    }

    /// Returns the hold that has made no progress for the longest time, which gives way from now on;
    /// `None` if none is stalled.
    pub fn displace_stalled(&mut self, now: Instant) -> Option<HoldKey> {
        let stalled = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.can_yield && !hold.is_displaced && hold.is_stalled(now));
        let (key, _) = stalled.min_by_key(|(_, hold)| hold.progress_at)?;
        self.displace(&[key]);
        Some(key)
    }

    /// Returns the holds that may give way: stalled ones first, among them those of the address that
    /// holds most, and among these those with the oldest progress.
    fn candidates(
        &self,
        except: HoldKey,
        now: Instant,
        filter: impl Fn(&MemoryHold) -> bool,
    ) -> Vec<HoldKey> {
        let candidates = self.holds.iter().filter(|(key, hold)| {
            *key != except && hold.can_yield && !hold.is_displaced && hold.bytes > 0 && filter(hold)
        });
        let mut by_owner: HashMap<IpAddr, usize> = HashMap::new();
        for hold in self.holds.values() {
            *by_owner.entry(hold.owner).or_default() += hold.bytes;
        }
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by_key(|(_, hold)| {
            let owner_bytes = Reverse(by_owner[&hold.owner]);
            (!hold.is_stalled(now), owner_bytes, hold.progress_at)
        });
        candidates.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns the first candidates without which at most `goal` bytes are held; `None` if there are
    /// too few.
    fn choose(&self, candidates: Vec<HoldKey>, goal: usize) -> Option<Vec<HoldKey>> {
        let chosen = self.choose_some(candidates, goal);
        let freed: usize = chosen.iter().map(|key| self.held_by(*key)).sum();
        (self.remaining() <= goal + freed).then_some(chosen)
    }

    /// Like [`Self::choose`], but returns all candidates if there are too few.
    fn choose_some(&self, candidates: Vec<HoldKey>, goal: usize) -> Vec<HoldKey> {
        let mut remaining = self.remaining();
        let needed = candidates.into_iter().take_while(|key| {
            let is_needed = remaining > goal;
            remaining = remaining.saturating_sub(self.held_by(*key));
            is_needed
        });
        needed.collect()
    }

    /// Returns the number of bytes that are held apart from holds that give way.
    fn remaining(&self) -> usize {
        let staying = self.holds.values().filter(|hold| !hold.is_displaced);
        staying.map(|hold| hold.bytes).sum()
    }

    fn displace(&mut self, keys: &[HoldKey]) {
        for key in keys {
            if let Some(hold) = self.holds.get_mut(*key) {
                hold.is_displaced = true;
            }
        }
    }
}
