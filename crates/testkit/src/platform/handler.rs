//! HTTP routes of the platform's services and of the interface that administers them.

use {
    super::{
        counts::CountStore,
        faults::{FaultAction, FaultSource, PlatformFaults},
        instances::{InstanceBody, InstanceHistory},
        table::{ScanBody, TableStore, TransactBody, table_time},
    },
    crate::http::{
        Answer, ConnectionDropped, RequestHandler, ServerRequest, ServerResult, json_answer,
        text_answer,
    },
    bytes::Bytes,
    hyper::{Method, StatusCode},
    serde_json::json,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
    tokio::time::sleep,
};

/// HTTP handler of all services of the platform, with their state, faults and counters.
#[derive(Debug)]
pub struct PlatformHandler {
    table: Mutex<TableStore>,
    objects: Mutex<HashMap<String, Bytes>>,
    instances: Mutex<InstanceHistory>,
    counts: CountStore,
    table_faults: FaultSource,
    object_faults: FaultSource,
    list_faults: FaultSource,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformHandler {
    /// Creates empty services without faults. The seed determines which requests later faults hit;
    /// each service draws from a seed of its own.
    pub fn new(seed: u64) -> Self {
        Self {
            table: Mutex::default(),
            objects: Mutex::default(),
            instances: Mutex::default(),
            counts: CountStore::default(),
            table_faults: FaultSource::new(seed),
            object_faults: FaultSource::new(seed.wrapping_add(1)),
            list_faults: FaultSource::new(seed.wrapping_add(2)),
        }
    }

    /// Sets the instance list, which callers see after the lag of the list.
    pub fn set_instances(&self, body: InstanceBody) {
        lock(&self.instances).set(body);
    }

    fn set_faults(&self, plan: PlatformFaults) {
        let switches = [
            (&self.table_faults, plan.table),
            (&self.object_faults, plan.objects),
            (&self.list_faults, plan.instances),
        ];
        for (source, switch) in switches {
            if let Some(switch) = switch {
                source.set(switch);
            }
        }
    }

    /// Applies the fault of a service to a request, and serves the request unless the fault refuses
    /// it.
    async fn apply_fault(
        &self,
        faults: &FaultSource,
        serve: impl FnOnce() -> Answer + Send,
    ) -> ServerResult {
        match faults.draw() {
            FaultAction::Delay(delay) => {
                sleep(delay).await;
                Ok(serve())
            }
            FaultAction::LoseAnswer => {
                serve();
                self.counts.update(|counts| counts.lost_answers += 1);
                Err(ConnectionDropped)
            }
            FaultAction::Refuse => {
                self.counts.update(|counts| counts.refused += 1);
                Ok(text_answer(StatusCode::SERVICE_UNAVAILABLE, "down\n"))
            }
            FaultAction::Serve => Ok(serve()),
        }
    }

    fn read_item(&self, key: &str) -> Answer {
        self.counts.update(|counts| counts.table_reads += 1);
        let item = lock(&self.table).read(key);
        let (version, value, time_ms) = (item.version, item.value, table_time());
        let body = json!({"key": key, "version": version, "value": value, "time_ms": time_ms});
        json_answer(StatusCode::OK, &body)
    }

    fn scan(&self, request: &ServerRequest) -> Answer {
        self.counts.update(|counts| counts.table_scans += 1);
        match request.json::<ScanBody>() {
            Ok(body) => json_answer(StatusCode::OK, &lock(&self.table).scan(&body)),
            Err(answer) => *answer,
        }
    }

    fn transact(&self, request: &ServerRequest) -> Answer {
        self.counts.update(|counts| counts.table_transactions += 1);
        let body = match request.json::<TransactBody>() {
            Ok(body) => body,
            Err(answer) => return *answer,
        };
        let outcome = lock(&self.table).transact(body);
        let time_ms = table_time();
        match outcome {
            Ok(version) => {
                let body = json!({"committed": true, "version": version, "time_ms": time_ms});
                json_answer(StatusCode::OK, &body)
            }
            Err(conflicts) => {
                self.counts.update(|counts| counts.table_conflicts += 1);
                let body = json!({"committed": false, "conflicts": conflicts, "time_ms": time_ms});
                json_answer(StatusCode::CONFLICT, &body)
            }
        }
    }

    fn access_object(&self, request: &ServerRequest, key: &str) -> Answer {
        if request.method == Method::PUT {
            self.counts.update(|counts| counts.object_writes += 1);
            lock(&self.objects).insert(key.to_owned(), request.body.clone());
            return text_answer(StatusCode::OK, "");
        }
        self.counts.update(|counts| counts.object_reads += 1);
        match lock(&self.objects).get(key) {
            Some(value) => text_answer(StatusCode::OK, value.clone()),
            None => text_answer(StatusCode::NOT_FOUND, "no such object\n"),
        }
    }

    fn list(&self) -> Answer {
        self.counts.update(|counts| counts.list_reads += 1);
        let lag = self.list_faults.lag();
        json_answer(StatusCode::OK, &lock(&self.instances).read(lag))
    }

    fn handle_admin(&self, request: &ServerRequest) -> Answer {
        let applied = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/admin/counts") => {
                return json_answer(StatusCode::OK, &self.counts.read());
            }
            (&Method::POST, "/admin/faults") => request.json().map(|plan| self.set_faults(plan)),
            (&Method::POST, "/admin/instances") => {
                request.json().map(|body| self.set_instances(body))
            }
            (&Method::GET, "/healthz") => Ok(()),
            _ => return text_answer(StatusCode::NOT_FOUND, "not found\n"),
        };
        match applied {
            Ok(()) => json_answer(StatusCode::OK, &json!({"ok": true})),
            Err(answer) => *answer,
        }
    }
}

impl RequestHandler for PlatformHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResult {
        let path = request.path.as_str();
        if let Some(key) = path.strip_prefix("/v1/table/items/") {
            let serve = || self.read_item(key);
            return self.apply_fault(&self.table_faults, serve).await;
        }
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            let serve = || self.access_object(&request, key);
            return self.apply_fault(&self.object_faults, serve).await;
        }
        match path {
            "/v1/table/scan" => {
                let serve = || self.scan(&request);
                self.apply_fault(&self.table_faults, serve).await
            }
            "/v1/table/transact" => {
                let serve = || self.transact(&request);
                self.apply_fault(&self.table_faults, serve).await
            }
            "/v1/instances" => self.apply_fault(&self.list_faults, || self.list()).await,
            _ => Ok(self.handle_admin(&request)),
        }
    }
}
