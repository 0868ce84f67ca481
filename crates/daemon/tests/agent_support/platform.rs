//! In-memory table, object store and instance list with fault injection.

use {
    bytes::Bytes,
    error_stack::Report,
    sassafrasslip_daemon::platform::{
        InstanceList, ListedInstance, ObjectStore, PlatformError, PlatformFuture, PlatformStep,
        TableItem, TableOutcome, TableRead, TableScan, TableService, TableTransaction,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Mutex,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Fault that is injected into one table transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableFault {
    /// The transaction is refused and takes no effect.
    Down,
    /// The transaction takes effect, but its answer is lost.
    LoseAnswer,
    /// The transaction is lost and takes no effect; the caller cannot tell this from a lost answer.
    LoseRequest,
    /// The transaction reaches the table after this delay, as if the process had been paused.
    Hold(Duration),
    /// The transaction takes effect at once; its answer arrives after this delay.
    Delay(Duration),
}

/// Contents of the platform, and the faults that are still to be injected.
#[derive(Default)]
pub struct MemoryState {
    /// Versions and values by key.
    pub items: BTreeMap<String, (u64, String)>,
    pub objects: BTreeMap<String, Bytes>,
    /// Whether writes to the object store fail.
    pub objects_down: bool,
    /// Whether reads of single table items fail.
    pub reads_down: bool,
    /// Faults of the next transactions, one for each.
    pub faults: VecDeque<TableFault>,
    /// Numbers of writes of the transactions that reached the table, in order of arrival.
    pub transactions: Vec<usize>,
    pub instances: Vec<ListedInstance>,
    pub time_ms: u64,
    version: u64,
}

/// In-memory platform with fault injection.
#[derive(Default)]
pub struct MemoryPlatform {
    pub state: Mutex<MemoryState>,
}

fn error(step: PlatformStep) -> Report<PlatformError> {
    Report::new(PlatformError {
        step,
        peer: super::LOOPBACK,
        fault: "injected by the test".to_owned(),
    })
}

impl MemoryState {
    pub fn put(&mut self, key: &str, value: String) {
        self.version += 1;
        self.items.insert(key.to_owned(), (self.version, value));
    }

    fn item(&self, key: &str) -> TableItem {
        let found = self.items.get(key).cloned();
        TableItem {
            key: key.to_owned(),
            version: found.as_ref().map_or(0, |(version, _)| *version),
            value: found.map(|(_, value)| value),
        }
    }

    fn transact(&mut self, transaction: TableTransaction) -> TableOutcome {
        let time_ms = self.time_ms;
        self.transactions.push(transaction.writes.len());
        let conditions = transaction.conditions.iter();
        let conflicts: Vec<_> = conditions
            .map(|condition| (condition.version, self.item(&condition.key)))
            .filter(|(version, item)| *version != item.version)
            .map(|(_, item)| item)
            .collect();
        if !conflicts.is_empty() {
            return TableOutcome::Conflict { conflicts, time_ms };
        }
        self.version += 1;
        for write in transaction.writes {
            match write.value {
                Some(value) => self.items.insert(write.key, (self.version, value)),
                None => self.items.remove(&write.key),
            };
        }
        let version = self.version;
        TableOutcome::Committed { version, time_ms }
    }
}

impl MemoryPlatform {
    /// Injects these faults into the next transactions, one into each.
    pub fn fail_next(&self, faults: impl IntoIterator<Item = TableFault>) {
        self.state.lock().unwrap().faults.extend(faults);
    }
}

impl TableService for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead> {
        let state = self.state.lock().unwrap();
        let result = match state.reads_down {
            true => Err(error(PlatformStep::Refused)),
            false => Ok(TableRead {
                item: state.item(key),
                time_ms: state.time_ms,
            }),
        };
        Box::pin(async move { result })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformFuture<'a, TableScan> {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys();
        let mut keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items = keys.by_ref().take(limit).map(|key| state.item(key));
        let scan = TableScan {
            items: items.collect(),
            more: keys.next().is_some(),
            time_ms: state.time_ms,
        };
        Box::pin(async move { Ok(scan) })
    }

    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome> {
        Box::pin(async move {
            let fault = self.state.lock().unwrap().faults.pop_front();
            if let Some(TableFault::Hold(delay)) = fault {
                sleep(delay).await;
            }
            let (fault, outcome) = {
                let mut state = self.state.lock().unwrap();
                match fault {
                    Some(TableFault::Down) => return Err(error(PlatformStep::Refused)),
                    Some(TableFault::LoseRequest) => return Err(error(PlatformStep::AwaitAnswer)),
                    _ => (fault, state.transact(transaction)),
                }
            };
            match fault {
                Some(TableFault::LoseAnswer) => return Err(error(PlatformStep::AwaitAnswer)),
                Some(TableFault::Delay(delay)) => sleep(delay).await,
                _ => {}
            }
            Ok(outcome)
        })
    }
}

impl ObjectStore for MemoryPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        let object = self.state.lock().unwrap().objects.get(key).cloned();
        Box::pin(async move { Ok(object) })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> PlatformFuture<'a, ()> {
        let mut state = self.state.lock().unwrap();
        let down = state.objects_down;
        if !down {
            state.objects.insert(key.to_owned(), value);
        }
        Box::pin(async move {
            if down {
                Err(error(PlatformStep::Refused))
            } else {
                Ok(())
            }
        })
    }
}

impl InstanceList for MemoryPlatform {
    fn list(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        let instances = self.state.lock().unwrap().instances.clone();
        Box::pin(async move { Ok(instances) })
    }
}
