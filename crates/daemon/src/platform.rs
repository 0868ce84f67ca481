//! Services of the platform behind narrow traits, because their real interfaces are not known
//! yet; each has one adapter.

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

/// Result of a platform call.
pub type Result<T> = result::Result<T, Report<PlatformError>>;

/// Future of a platform call.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Version of a table item; 0 means that the item is absent.
pub type ItemVersion = u64;

/// Step of a platform call that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformStep {
    /// No connection could be made, so the call did not take effect.
    Connect,
    /// The request was sent but its answer did not arrive; the call may have taken effect.
    AwaitAnswer,
    /// The service answered that it cannot serve; the call did not take effect.
    Refused,
    /// The answer is malformed.
    DecodeAnswer,
}

/// Failure of a platform call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformError {
    /// Step that failed.
    pub step: PlatformStep,
    /// Address of the service.
    pub peer: SocketAddr,
    /// Reason.
    pub fault: String,
}

impl PlatformError {
    /// Returns whether a write may have taken effect although the call failed.
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

/// Item of the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableItem {
    /// Key.
    #[serde(default)]
    pub key: String,
    /// Version at which the item was last written.
    pub version: ItemVersion,
    /// Value; absent if the item is.
    pub value: Option<String>,
}

/// Item that was read, with the time of the table's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRead {
    /// Item.
    #[serde(flatten)]
    pub item: TableItem,
    /// Time of the table's clock, in milliseconds.
    pub time_ms: u64,
}

/// Items with a prefix, read at one point in time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableScan {
    /// Items in the order of their keys.
    pub items: Vec<TableItem>,
    /// Whether there are more items behind the last one.
    pub more: bool,
    /// Time of the table's clock, in milliseconds.
    pub time_ms: u64,
}

/// Condition of a transaction: the item has this version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCondition {
    /// Key.
    pub key: String,
    /// Expected version; 0 means absent.
    pub version: ItemVersion,
}

/// Write of a transaction; without a value the item is deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableWrite {
    /// Key.
    pub key: String,
    /// New value.
    pub value: Option<String>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableTransaction {
    /// Conditions that all have to hold.
    pub conditions: Vec<TableCondition>,
    /// Writes.
    pub writes: Vec<TableWrite>,
}

impl TableTransaction {
    /// Writes or deletes one item if it has this version.
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

/// Result of a transaction that was decided.
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
    /// Reads one item.
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead>;

    /// Reads up to `limit` items whose keys start with `prefix` and are greater than `after`.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformFuture<'a, TableScan>;

    /// Runs a transaction.
    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome>;
}

/// Object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Bytes>>;

    /// Writes an object.
    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> PlatformFuture<'a, ()>;
}

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// Entry instance.
    Entry,
    /// Target instance.
    Target,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance is in service.
    Live,
    /// The instance will be taken away.
    Leaving,
}

/// Instance as the platform lists it; the list lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name.
    pub instance: InstanceName,
    /// Role.
    pub role: ListedRole,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Region.
    pub region: ZoneName,
    /// Service, for targets.
    pub service: Option<ServiceName>,
    /// Model group, for targets of a model service.
    pub group: Option<GroupName>,
    /// Address for links.
    pub link_address: SocketAddr,
    /// State.
    pub state: ListedState,
}

/// List of live and leaving instances.
pub trait InstanceList: Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> PlatformFuture<'_, Vec<ListedInstance>>;
}
