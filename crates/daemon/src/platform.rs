//! Services of the platform, each behind a narrow trait with one adapter. The traits isolate the
//! rest of the daemon from the real interfaces, which are not known yet.

pub mod answers;
pub mod http;
pub mod table_time;

pub use {
    answers::{WholeAnswer, load_answer, store_answer},
    http::HttpPlatform,
    table_time::TableTime,
};

use {
    bytes::Bytes,
    error_stack::Report,
    sassafrasslip_core::ids::{GroupName, InstanceName, ServiceName, ZoneName},
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, future::Future, net::SocketAddr, pin::Pin, result},
};

/// Result of a call to a platform service.
pub type Result<T> = result::Result<T, Report<PlatformError>>;

/// Boxed future of a call to a platform service.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Version of a table item; 0 means that the item is absent.
pub type ItemVersion = u64;

/// Step at which a platform call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformStep {
    /// The request could not be built or no connection could be opened, so the call did not take
    /// effect.
    Connect,
    /// The request was sent, but its answer did not arrive completely; the call may have taken
    /// effect.
    AwaitAnswer,
    /// The service answered that it is unavailable; the call did not take effect.
    Refused,
    /// The answer is malformed or has an unexpected status; the call may have taken effect.
    DecodeAnswer,
}

/// Failure of a platform call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformError {
    /// Step at which the call failed.
    pub step: PlatformStep,
    /// Address of the service.
    pub peer: SocketAddr,
    /// Description of the failure.
    pub fault: String,
}

impl PlatformError {
    /// Returns whether a write may have taken effect even though its call failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self.step,
            PlatformStep::AwaitAnswer | PlatformStep::DecodeAnswer
        )
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "platform at {} ({:?}): {}",
            self.peer, self.step, self.fault
        )
    }
}

impl Error for PlatformError {}

/// Item of the table, or the absence of an item under a key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableItem {
    /// Key of the item.
    #[serde(default)]
    pub key: String,
    /// Version at which the item was last written; 0 if it is absent.
    pub version: ItemVersion,
    /// Value of the item; `None` if it is absent.
    pub value: Option<String>,
}

/// Result of reading one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRead {
    /// Item, or its absence.
    #[serde(flatten)]
    pub item: TableItem,
    /// Time of the table's clock, in milliseconds.
    pub time_ms: u64,
}

/// Page of items whose keys share a prefix, all read at the same time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableScan {
    /// Items, sorted by key.
    pub items: Vec<TableItem>,
    /// Whether the prefix has further items after the last one.
    pub more: bool,
    /// Time of the table's clock, in milliseconds.
    pub time_ms: u64,
}

/// Condition of a transaction on the version of an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCondition {
    /// Key of the item.
    pub key: String,
    /// Version that the item must have; 0 means that it must be absent.
    pub version: ItemVersion,
}

/// Write of a transaction, which sets or deletes one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableWrite {
    /// Key of the item.
    pub key: String,
    /// New value; `None` deletes the item.
    pub value: Option<String>,
}

/// Transaction: its writes take effect together if all conditions hold, and otherwise not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableTransaction {
    /// Conditions that must all hold.
    pub conditions: Vec<TableCondition>,
    /// Writes that take effect if all conditions hold.
    pub writes: Vec<TableWrite>,
}

impl TableTransaction {
    /// Creates a transaction that sets or deletes one item if the item has the given version.
    pub fn single(key: String, version: ItemVersion, value: Option<String>) -> Self {
        let condition = TableCondition {
            key: key.clone(),
            version,
        };
        Self {
            conditions: vec![condition],
            writes: vec![TableWrite { key, value }],
        }
    }
}

/// Result of a transaction that the table has decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableOutcome {
    /// The writes took effect.
    Committed {
        /// Version of all written items.
        version: ItemVersion,
        /// Time of the table's clock, in milliseconds.
        time_ms: u64,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// Current state of the items whose conditions failed.
        conflicts: Vec<TableItem>,
        /// Time of the table's clock, in milliseconds.
        time_ms: u64,
    },
}

/// Transactional table service.
pub trait TableService: Send + Sync + 'static {
    /// Reads one item; an absent one has version 0 and no value.
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead>;

    /// Reads up to `limit` items whose keys start with `prefix` and are greater than `after`.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformFuture<'a, TableScan>;

    /// Executes a transaction. A condition that does not hold is a [`TableOutcome::Conflict`], not
    /// an error.
    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome>;
}

/// Object store, for values that are too large for the table.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; returns `None` if there is none under the key.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Bytes>>;

    /// Writes an object under a key.
    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> PlatformFuture<'a, ()>;
}

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// Instance that runs an entry.
    Entry,
    /// Instance that runs a target and its agent.
    Target,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance is in service.
    Live,
    /// The instance is about to be removed and must get no new requests.
    Leaving,
}

/// Instance in the platform's list, which lags behind the real state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceName,
    /// Whether the instance is an entry or a target.
    pub role: ListedRole,
    /// Availability zone in which the instance runs.
    pub availability_zone: ZoneName,
    /// Region to which the availability zone belongs.
    pub region: ZoneName,
    /// Service that the target provides; `None` for entries.
    pub service: Option<ServiceName>,
    /// Model group of the target; `None` for entries and plain services.
    pub group: Option<GroupName>,
    /// Address at which the entry, or the target's agent, accepts links.
    pub link_address: SocketAddr,
    /// Whether the instance is in service or about to be removed.
    pub state: ListedState,
}

/// Service that lists the live and leaving instances.
pub trait InstanceList: Send + Sync + 'static {
    /// Reads the current list of instances.
    fn list(&self) -> PlatformFuture<'_, Vec<ListedInstance>>;
}
