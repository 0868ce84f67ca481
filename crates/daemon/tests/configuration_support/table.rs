//! In-memory table with fault injection for each of its clients.

use {
    error_stack::Report,
    sassafrasslip_daemon::platform::{
        PlatformError, PlatformFuture, PlatformStep, Result, TableItem, TableOutcome, TableRead,
        TableScan, TableService, TableTransaction,
    },
    std::{
        collections::BTreeMap,
        future::pending,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Fault that is injected into the calls of one client of the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum TableFault {
    /// Calls are answered.
    #[default]
    None,
    /// Calls are refused and take no effect.
    Down,
    /// Calls are never answered and take no effect.
    Hang,
    /// The next transaction that writes a change record takes effect, but its answer is lost.
    LoseOneAnswer,
    /// Transactions take effect after this delay, even if the client has given up by then.
    DelayWrites(Duration),
}

/// Table that all entries of a test share.
#[derive(Clone, Debug)]
pub(crate) struct MemoryTable {
    content: Arc<Mutex<TableContent>>,
    started: Instant,
}

#[derive(Debug, Default)]
struct TableContent {
    items: BTreeMap<String, TableItem>,
    version: u64,
}

impl MemoryTable {
    pub(crate) fn new() -> Self {
        Self {
            content: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Returns the time by the table's clock, which differs from the clocks of its clients.
    pub(crate) fn time_ms(&self) -> u64 {
        700_000_000 + u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.content.lock().unwrap();
        let keys = content.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub(crate) fn value(&self, key: &str) -> Option<String> {
        let content = self.content.lock().unwrap();
        content.items.get(key)?.value.clone()
    }

    fn read(&self, key: &str) -> TableRead {
        let content = self.content.lock().unwrap();
        let mut item = content.items.get(key).cloned().unwrap_or_default();
        key.clone_into(&mut item.key);
        TableRead {
            item,
            time_ms: self.time_ms(),
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> TableScan {
        let content = self.content.lock().unwrap();
        let matches = |key: &str| key.starts_with(prefix) && key > after;
        let all: Vec<_> = content
            .items
            .values()
            .filter(|item| matches(&item.key))
            .cloned()
            .collect();
        TableScan {
            more: all.len() > limit,
            items: all.into_iter().take(limit).collect(),
            time_ms: self.time_ms(),
        }
    }

    fn transact(&self, transaction: TableTransaction) -> TableOutcome {
        let mut content = self.content.lock().unwrap();
        let time_ms = self.time_ms();
        let mut conflicts = Vec::new();
        for condition in transaction.conditions {
            let mut item = content.items.get(&condition.key).cloned();
            let item = item.get_or_insert_default();
            if item.version != condition.version {
                item.key = condition.key;
                conflicts.push(item.clone());
            }
        }
        if !conflicts.is_empty() {
            return TableOutcome::Conflict { conflicts, time_ms };
        }
        content.version += 1;
        let version = content.version;
        for write in transaction.writes {
            let key = write.key.clone();
            match write.value {
                None => drop(content.items.remove(&key)),
                value => {
                    let item = TableItem {
                        key: write.key,
                        version,
                        value,
                    };
                    content.items.insert(key, item);
                }
            }
        }
        TableOutcome::Committed { version, time_ms }
    }
}

/// Access of one client to the table.
#[derive(Debug)]
pub(crate) struct TableClient {
    table: MemoryTable,
    fault: Mutex<TableFault>,
}

impl TableClient {
    pub(crate) fn new(table: &MemoryTable) -> Self {
        Self {
            table: table.clone(),
            fault: Mutex::default(),
        }
    }

    pub(crate) fn set_fault(&self, fault: TableFault) {
        *self.fault.lock().unwrap() = fault;
    }

    fn fault(&self) -> TableFault {
        *self.fault.lock().unwrap()
    }

    /// Applies the faults that keep a call from reaching the table.
    async fn apply_call_fault(&self) -> Result<()> {
        match self.fault() {
            TableFault::Down => Err(error(PlatformStep::Refused)),
            TableFault::Hang => pending().await,
            _ => Ok(()),
        }
    }

    async fn write(&self, transaction: TableTransaction) -> Result<TableOutcome> {
        match self.fault() {
            TableFault::LoseOneAnswer if writes_change_record(&transaction) => {
                self.set_fault(TableFault::None);
                self.table.transact(transaction);
                Err(error(PlatformStep::AwaitAnswer))
            }
            TableFault::DelayWrites(delay) => {
                let table = self.table.clone();
                let late = tokio::spawn(async move {
                    sleep(delay).await;
                    table.transact(transaction)
                });
                late.await.map_err(|_| error(PlatformStep::AwaitAnswer))
            }
            _ => Ok(self.table.transact(transaction)),
        }
    }
}

fn writes_change_record(transaction: &TableTransaction) -> bool {
    let mut writes = transaction.writes.iter();
    writes.any(|write| write.key.starts_with("config/change"))
}

fn error(step: PlatformStep) -> Report<PlatformError> {
    Report::new(PlatformError {
        step,
        peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        fault: "injected by the test".to_owned(),
    })
}

impl TableService for TableClient {
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead> {
        Box::pin(async move {
            self.apply_call_fault().await?;
            Ok(self.table.read(key))
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformFuture<'a, TableScan> {
        Box::pin(async move {
            self.apply_call_fault().await?;
            Ok(self.table.scan(prefix, after, limit))
        })
    }

    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome> {
        Box::pin(async move {
            self.apply_call_fault().await?;
            self.write(transaction).await
        })
    }
}
