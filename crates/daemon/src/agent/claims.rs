//! Claims of non-idempotent calls: records in the table, and stored answers in the object store,
//! that let each call run at most once.

mod conclusion;
pub mod inserts;
pub mod run;
pub mod sweeper;

pub use run::{ClaimOutcome, ClaimRun};

use {
    super::{clock::AgentClock, metrics::AgentMetrics},
    crate::platform::{ObjectStore, TableService, TableTime},
    inserts::InsertQueue,
    kameo::actor::{ActorRef, Spawn},
    sassafrasslip_core::{
        claim::{BodyHash, ClaimScope},
        ids::RequestId,
    },
    std::sync::Arc,
    tokio::time::Instant,
};

/// Identity and deadline of a non-idempotent call that needs a claim.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// Service, team and idempotency key that identify the claim.
    pub scope: ClaimScope,
    /// Hash of method, path and body, which detects a key that is reused for another call.
    pub body_hash: BodyHash,
    /// Nonce that identifies this attempt in the claim record.
    pub nonce: u64,
    /// Request that the call belongs to.
    pub request_id: RequestId,
    /// Deadline of the request by the agent's clock.
    pub deadline: Instant,
}

/// Clients and clocks that the claims of one agent share.
pub struct ClaimService {
    table: Arc<dyn TableService>,
    objects: Arc<dyn ObjectStore>,
    inserts: ActorRef<InsertQueue>,
    clock: AgentClock,
    table_time: TableTime,
    incarnation: u64,
    metrics: AgentMetrics,
}

impl ClaimService {
    /// Creates the service and spawns its insert queue.
    pub fn new(
        table: Arc<dyn TableService>,
        objects: Arc<dyn ObjectStore>,
        clock: AgentClock,
        incarnation: u64,
        metrics: AgentMetrics,
    ) -> Self {
        let inserts = InsertQueue::spawn(InsertQueue::new(table.clone()));
        Self {
            table,
            objects,
            inserts,
            clock,
            table_time: TableTime::default(),
            incarnation,
            metrics,
        }
    }
}
