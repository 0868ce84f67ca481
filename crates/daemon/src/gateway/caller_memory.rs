//! Memory of the bodies and answers that this gateway holds for its callers.
//!
//! [`CallerMemory`] decides; a share tells it what a caller sends and reads, and ends when dropped.

use {
    super::metrics::{GatewayMetrics, HoldLabels},
    sassafrasslip_core::{
        dispatch::{CallerMemory, HoldKey, MemoryGrowth},
        events::LogEvent::{BodyRefused, CallerDisplaced},
        log_event,
    },
    slotmap::SecondaryMap,
    std::{cell::RefCell, error::Error, fmt, net::IpAddr, rc::Rc, result},
    tokio::{sync::Notify, time::Instant},
    tokio_util::sync::CancellationToken,
};

/// Result of asking for memory.
pub type Result<T> = result::Result<T, MemoryExceeded>;

/// The memory is used up, or the share has given way to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryExceeded;

impl fmt::Display for MemoryExceeded {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("memory for callers is used up")
    }
}

impl Error for MemoryExceeded {}

/// Caller of a share, and what ends the share.
#[derive(Clone, Debug)]
struct ShareOwner {
    address: IpAddr,
    displaced: CancellationToken,
}

/// Memory of the bodies or of the answers of all callers.
#[derive(Debug)]
pub struct HeldMemory {
    kind: &'static str,
    memory: RefCell<CallerMemory>,
    owners: RefCell<SecondaryMap<HoldKey, ShareOwner>>,
    /// Notified when a share has ended.
    released: Notify,
    metrics: GatewayMetrics,
}

impl HeldMemory {
    /// Creates a memory of `limit` bytes. `kind` names it in logs and metrics.
    pub fn new(kind: &'static str, limit: usize, metrics: GatewayMetrics) -> Rc<Self> {
        Rc::new(Self {
            kind,
            memory: RefCell::new(CallerMemory::new(limit)),
            owners: RefCell::default(),
            released: Notify::new(),
            metrics,
        })
    }

    /// Starts a share without bytes. `displaced` is cancelled when it has to give way.
    pub fn share(self: &Rc<Self>, address: IpAddr, displaced: CancellationToken) -> MemoryShare {
        let key = self.memory.borrow_mut().add(address, Instant::now());
        let owner = ShareOwner { address, displaced };
        self.owners.borrow_mut().insert(key, owner);
        MemoryShare {
            key,
            memory: Rc::clone(self),
        }
    }

    /// Makes the share give way that has made no progress for the longest time, if any is stalled.
    pub fn displace_stalled(&self) {
        let stalled = self.memory.borrow_mut().displace_stalled(Instant::now());
        self.end_shares(stalled.as_slice());
    }

    fn end_shares(&self, keys: &[HoldKey]) {
        for key in keys {
            let owner = self.owners.borrow().get(*key).cloned();
            if let Some(owner) = owner {
                log_event!(
                    CallerDisplaced,
                    kind = self.kind,
                    caller = owner.address,
                    bytes = self.memory.borrow().held_by(*key)
                );
                self.metrics.displaced.get_or_create(&self.labels()).inc();
                owner.displaced.cancel();
            }
        }
    }

    fn labels(&self) -> HoldLabels {
        HoldLabels { kind: self.kind }
    }

    fn note_held(&self) {
        let held = i64::try_from(self.memory.borrow().held());
        let gauge = self.metrics.held_bytes.get_or_create(&self.labels());
        gauge.set(held.unwrap_or(i64::MAX));
    }
}

/// Memory that one body or answer holds.
#[derive(Debug)]
pub struct MemoryShare {
    key: HoldKey,
    memory: Rc<HeldMemory>,
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.memory.borrow_mut().remove(self.key);
        self.memory.owners.borrow_mut().remove(self.key);
        self.memory.released.notify_waiters();
        self.memory.note_held();
    }
}

impl MemoryShare {
    /// Waits until the share may have `bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the memory is used up and nothing gives way, or if this share gives way itself.
    pub async fn grow(&self, bytes: usize) -> Result<()> {
        loop {
            let released = self.memory.released.notified();
            let growth = {
                let mut memory = self.memory.memory.borrow_mut();
                memory.grow(self.key, bytes, Instant::now())
            };
            match growth {
                MemoryGrowth::Granted => {
                    self.memory.note_held();
                    return Ok(());
                }
                MemoryGrowth::Waiting(displaced) => self.memory.end_shares(&displaced),
                MemoryGrowth::Refused => {
                    let held = self.memory.memory.borrow().held();
                    log_event!(BodyRefused, bytes = bytes, held = held);
                    let labels = self.memory.labels();
                    self.memory
                        .metrics
                        .memory_refusals
                        .get_or_create(&labels)
                        .inc();
                    return Err(MemoryExceeded);
                }
            }
            released.await;
        }
    }

    /// Adds `bytes` bytes that are held already. Other shares give way if needed.
    pub fn grow_always(&self, bytes: usize) {
        let displaced = {
            let mut memory = self.memory.memory.borrow_mut();
            memory.grow_always(self.key, bytes, Instant::now())
        };
        self.memory.end_shares(&displaced);
        self.memory.note_held();
    }

    /// Records that the caller has sent or read something.
    pub fn note_progress(&self) {
        let mut memory = self.memory.memory.borrow_mut();
        memory.note_progress(self.key, Instant::now());
    }

    /// Keeps the share from giving way until it ends.
    pub fn pin(&self) {
        self.memory.memory.borrow_mut().pin(self.key);
    }
}
