//! Drives claims against the table and the object store.

mod conclusion;
pub mod inserts;
pub mod run;
pub mod store;
pub mod sweeper;
pub mod table_time;

pub use {
    run::{ClaimOutcome, ClaimRun},
    store::WholeAnswer,
};

use {
    super::{clock::AgentClock, metrics::AgentMetrics},
    crate::platform::{ObjectStore, TableService},
    inserts::InsertQueue,
    kameo::actor::{ActorRef, Spawn},
    sassafrasslip_core::{
        claim::{BodyHash, ClaimScope},
        ids::RequestId,
    },
    sha2::{Digest, Sha256},
    std::sync::Arc,
    table_time::TableTime,
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

/// Returns the hash by which calls of one key are compared: SHA-256 of method, path and body,
/// separated by a zero byte.
pub fn call_hash(method: &str, path: &str, body: &[u8]) -> BodyHash {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        hasher.update(part);
        hasher.update([0]);
    }
    hasher.update(body);
    BodyHash(hasher.finalize().into())
}
