//! Drives claims against the table and the object store.

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

/// Non-idempotent call that asks for a claim.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// Scope of the key.
    pub scope: ClaimScope,
    /// Hash of method, path and body.
    pub body_hash: BodyHash,
    /// Nonce of the attempt.
    pub nonce: u64,
    /// Request.
    pub request_id: RequestId,
    /// Deadline by the agent's clock.
    pub deadline: Instant,
}

/// Claims of one agent.
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
    /// Creates the service and starts its queue of inserts.
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
