//! Participant in expert map changes: forwards the placer's orders to the engine of this agent's
//! target.
//!
//! Orders to the engine are serialized here. An engine that ignores fencing tokens must not receive
//! an order with a lower token after a query under a higher one was answered.

pub mod convert;
pub mod engine;
pub mod figures;

use {
    super::placer::lease::{LeaseRecord, lease_key},
    crate::{agent::order_handler::ReportExtras, platform::TableService},
    convert::{order_from_link, reply_to_link},
    engine::{EngineClient, EngineLoad, OrderAnswer},
    figures::GroupFigures,
    sassafrasslip_core::{
        events::LogEvent::StaleOrderRefused,
        ids::GroupName,
        log_event,
        map_change::{MapOrder, MapParticipant, OrderRefusal, OrderStep},
        placement::{ExpertCounts, ExpertMap},
    },
    sassafrasslip_proto::link,
    std::{
        net::SocketAddr,
        result,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Mutex as AsyncMutex, time::sleep},
};

/// Result of an order; the error text is the reason of the refusal.
type Result<T> = result::Result<T, String>;

/// Executes the orders of the placer for one target. Clones share the state.
#[derive(Clone)]
pub struct OrderParticipant {
    shared: Arc<SharedState>,
}

struct SharedState {
    group: GroupName,
    engine: EngineClient,
    table: Arc<dyn TableService>,
    orders: AsyncMutex<OrderState>,
    figures: Mutex<GroupFigures>,
}

#[derive(Default)]
struct OrderState {
    /// `None` until the current fencing token was read from the table.
    participant: Option<MapParticipant>,
    /// Whether the participant knows the engine's state. It does not after an order without an
    /// answer, which may have taken effect.
    synced: bool,
    /// Step that the engine last reported as the next to execute.
    step: u64,
}

/// Outcome of an order: whether it was accepted, the reason if not, and the load for a query.
struct OrderOutcome {
    accepted: bool,
    reason: String,
    load: Option<EngineLoad>,
}

impl OrderOutcome {
    fn accepted() -> Self {
        Self {
            accepted: true,
            reason: String::new(),
            load: None,
        }
    }
}

impl OrderParticipant {
    /// Creates a participant for the engine at an address. The fencing token and the state of the
    /// engine are read on the first order.
    pub fn new(group: GroupName, engine: SocketAddr, table: Arc<dyn TableService>) -> Self {
        let shared = SharedState {
            group,
            engine: EngineClient::new(engine),
            table,
            orders: AsyncMutex::default(),
            figures: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Executes an order and returns the reply. The order is completed even if the caller drops the
    /// future, because a later order must not be answered before it.
    pub async fn handle(&self, order: link::MapOrder) -> link::MapReply {
        let (shared, original) = (self.shared.clone(), order.clone());
        let task = tokio::spawn(async move { shared.execute(order).await });
        let reply = task.await;
        reply.unwrap_or_else(|error| convert::refusal_to_link(&original, error.to_string()))
    }

    /// Returns the group's values for the agent's reports.
    pub fn report_extras(&self) -> ReportExtras {
        self.shared.figures().report_extras()
    }

    /// Sets the costs of request kinds that the reports carry; empty if this agent does not hold
    /// the placement lease.
    pub fn publish_kind_costs(&self, costs: Vec<link::KindCost>) {
        self.shared.figures().set_kind_costs(costs);
    }

    /// Computes the costs of the request kinds that the engine has served: the load that one more
    /// request of each adds to the hottest rank.
    pub fn kind_costs(
        &self,
        map: &ExpertMap,
        counts: &ExpertCounts,
        weights: &[f64],
    ) -> Vec<link::KindCost> {
        self.shared.figures().kind_costs(map, counts, weights)
    }

    /// Polls the engine's load at an interval, for the reports. Never returns.
    pub async fn watch_engine(&self, interval: Duration) {
        loop {
            if let Ok(load) = self.shared.engine.load().await {
                self.shared.figures().observe(&load);
            }
            sleep(interval).await;
        }
    }
}

impl SharedState {
    fn figures(&self) -> MutexGuard<'_, GroupFigures> {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, message: link::MapOrder) -> link::MapReply {
        let mut state = self.orders.lock().await;
        let outcome = self.process(&mut state, &message).await;
        let outcome = outcome.unwrap_or_else(|reason| OrderOutcome {
            accepted: false,
            reason,
            load: None,
        });
        let (Some(participant), Some(order)) = (&state.participant, order_from_link(&message))
        else {
            return convert::refusal_to_link(&message, outcome.reason);
        };
        let reply = participant.reply(&order, outcome.accepted, state.step);
        let load = outcome.load.unwrap_or_default();
        reply_to_link(&message, &reply, load, outcome.reason)
    }

    async fn process(
        &self,
        state: &mut OrderState,
        message: &link::MapOrder,
    ) -> Result<OrderOutcome> {
        if message.group != self.group.as_str() {
            return Err(format!("this target belongs to the group {}", self.group));
        }
        let order = order_from_link(message).ok_or("unknown step")?;
        self.sync_state(state, order.fencing_token).await?;
        let OrderState {
            participant, step, ..
        } = state;
        let participant = participant.as_mut().ok_or("not ready")?;
        let action = participant.check(&order, *step).map_err(|refusal| {
            self.log_stale(&order, &refusal);
            refusal.to_string()
        })?;
        if order.step == OrderStep::Query {
            return self.answer_query(state, &order).await;
        }
        if action.is_none() {
            return Ok(OrderOutcome::accepted());
        }
        self.forward(state, &order, message).await
    }

    /// Reads the current fencing token after the agent starts, and the engine's state when it is
    /// unknown.
    async fn sync_state(&self, state: &mut OrderState, token: u64) -> Result<()> {
        if state.participant.is_none() {
            let current = self.read_token().await?;
            let participant = MapParticipant::new(current, 0);
            state.participant = Some(participant.map_err(|error| error.to_string())?);
        }
        if state.synced {
            return Ok(());
        }
        // Queries with the highest known token: an engine that has seen no higher one would accept
        // the token of a stale lease holder.
        let highest = state
            .participant
            .as_ref()
            .map(MapParticipant::fencing_token);
        let token = token.max(highest.unwrap_or_default());
        let answer = self.engine.query(token).await;
        let answer = answer.map_err(|error| error.to_string())?;
        record_answer(state, &answer);
        state.synced = true;
        Ok(())
    }

    async fn read_token(&self) -> Result<u64> {
        let key = lease_key(&self.group);
        let read = self.table.read(&key).await;
        let read = read.map_err(|error| format!("current fencing token is unknown: {error}"))?;
        let Some(value) = read.item.value else {
            return Ok(0);
        };
        let record: LeaseRecord = serde_json::from_str(&value)
            .map_err(|error| format!("table item {key} is malformed: {error}"))?;
        Ok(record.fencing_token)
    }

    async fn answer_query(&self, state: &mut OrderState, order: &MapOrder) -> Result<OrderOutcome> {
        let answer = self.engine.query(order.fencing_token).await;
        let answer = answer.map_err(|error| error.to_string())?;
        record_answer(state, &answer);
        let load = self.engine.load().await.ok();
        if let Some(load) = &load {
            self.figures().observe(load);
        }
        Ok(OrderOutcome {
            accepted: answer.accepted,
            reason: answer.reason.unwrap_or_default(),
            load,
        })
    }

    async fn forward(
        &self,
        state: &mut OrderState,
        order: &MapOrder,
        message: &link::MapOrder,
    ) -> Result<OrderOutcome> {
        state.synced = false;
        let answer = self.engine.order(order, message.map.as_ref()).await;
        let answer = answer.map_err(|error| error.to_string())?;
        if let Some(participant) = &mut state.participant
            && answer.accepted
        {
            participant.apply(order);
        }
        record_answer(state, &answer);
        state.synced = true;
        Ok(OrderOutcome {
            accepted: answer.accepted,
            reason: answer.reason.unwrap_or_default(),
            load: None,
        })
    }

    fn log_stale(&self, order: &MapOrder, refusal: &OrderRefusal) {
        if let OrderRefusal::StaleToken { token, highest } = refusal {
            log_event!(
                StaleOrderRefused,
                group = self.group,
                change = order.change,
                token = token,
                highest = highest
            );
        }
    }
}

/// Updates the state from the engine's answer.
fn record_answer(state: &mut OrderState, answer: &OrderAnswer) {
    state.step = answer.step;
    if let Some(participant) = &mut state.participant {
        participant.observe(&answer.view());
        participant.promise(answer.fencing);
    }
}
