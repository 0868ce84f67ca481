//! Participant of expert map changes on the agent's side.
//!
//! All orders to the engine pass through here one after the other: an engine that ignores fencing
//! tokens must not get an order after a query under a higher token was answered.

pub mod convert;
pub mod engine;
pub mod figures;

use {
    super::placer::lease::{LeaseRecord, lease_key},
    crate::{agent::order_handler::ReportExtras, platform::TableService},
    convert::{order_from_link, reply_to_link},
    engine::{EngineClient, EngineLoad, OrderAnswer},
    figures::FigureBook,
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

/// Result of an order; the text tells why it was refused.
type Result<T> = result::Result<T, String>;

/// Takes the orders of the placer for one target. Clones share the state.
#[derive(Clone)]
pub struct OrderParticipant {
    shared: Arc<SharedState>,
}

struct SharedState {
    group: GroupName,
    engine: EngineClient,
    table: Arc<dyn TableService>,
    orders: AsyncMutex<OrderState>,
    figures: Mutex<FigureBook>,
}

#[derive(Default)]
struct OrderState {
    /// Absent until the current fencing token was read from the table.
    participant: Option<MapParticipant>,
    /// Whether the participant knows the engine's state; an order without an answer may have
    /// taken effect.
    synced: bool,
    /// Step that the engine reported last.
    step: u64,
}

/// Order whose target has answered.
struct SettledOrder {
    accepted: bool,
    reason: String,
    load: Option<EngineLoad>,
}

impl SettledOrder {
    fn accepted() -> Self {
        Self {
            accepted: true,
            reason: String::new(),
            load: None,
        }
    }
}

impl OrderParticipant {
    /// Creates a participant for the engine at an address.
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

    /// Carries out an order. The order is finished even if the caller stops waiting, because an
    /// answer to a later order must not overtake it.
    pub async fn handle(&self, order: link::MapOrder) -> link::MapReply {
        let (shared, echo) = (self.shared.clone(), order.clone());
        let task = tokio::spawn(async move { shared.obey(order).await });
        let reply = task.await;
        reply.unwrap_or_else(|error| convert::refusal_to_link(&echo, error.to_string()))
    }

    /// Returns the figures of the group for the agent's reports.
    pub fn report_extras(&self) -> ReportExtras {
        self.shared.figures().group_figures()
    }

    /// Sets the costs of request kinds that the reports carry; empty if this agent has no placer.
    pub fn publish_kind_costs(&self, costs: Vec<link::KindCost>) {
        self.shared.figures().set_kind_costs(costs);
    }

    /// Computes the costs of the request kinds that the engine has seen.
    pub fn kind_costs(
        &self,
        map: &ExpertMap,
        counts: &ExpertCounts,
        weights: &[f64],
    ) -> Vec<link::KindCost> {
        self.shared.figures().kind_costs(map, counts, weights)
    }

    /// Reads the engine's load at an interval, for the reports.
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
    fn figures(&self) -> MutexGuard<'_, FigureBook> {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn obey(&self, message: link::MapOrder) -> link::MapReply {
        let mut state = self.orders.lock().await;
        let settled = self.settle(&mut state, &message).await;
        let settled = settled.unwrap_or_else(|reason| SettledOrder {
            accepted: false,
            reason,
            load: None,
        });
        let (Some(participant), Some(order)) = (&state.participant, order_from_link(&message))
        else {
            return convert::refusal_to_link(&message, settled.reason);
        };
        let reply = participant.reply(&order, settled.accepted, state.step);
        let load = settled.load.unwrap_or_default();
        reply_to_link(&message, &reply, load, settled.reason)
    }

    async fn settle(
        &self,
        state: &mut OrderState,
        message: &link::MapOrder,
    ) -> Result<SettledOrder> {
        if message.group != self.group.as_str() {
            return Err(format!("this target belongs to the group {}", self.group));
        }
        let order = order_from_link(message).ok_or("unknown step")?;
        self.prepare_state(state, order.fencing_token).await?;
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
            return Ok(SettledOrder::accepted());
        }
        self.forward(state, &order, message).await
    }

    /// Reads the current fencing token after a start, and the engine's state when it is unknown.
    async fn prepare_state(&self, state: &mut OrderState, token: u64) -> Result<()> {
        if state.participant.is_none() {
            let current = self.read_token().await?;
            let participant = MapParticipant::new(current, 0);
            state.participant = Some(participant.map_err(|error| error.to_string())?);
        }
        if state.synced {
            return Ok(());
        }
        // A stale holder's token must not reach an engine that has seen no higher one yet.
        let highest = state
            .participant
            .as_ref()
            .map(MapParticipant::fencing_token);
        let token = token.max(highest.unwrap_or_default());
        let answer = self.engine.query(token).await;
        let answer = answer.map_err(|error| error.to_string())?;
        observe(state, &answer);
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

    async fn answer_query(&self, state: &mut OrderState, order: &MapOrder) -> Result<SettledOrder> {
        let answer = self.engine.query(order.fencing_token).await;
        let answer = answer.map_err(|error| error.to_string())?;
        observe(state, &answer);
        let load = self.engine.load().await.ok();
        if let Some(load) = &load {
            self.figures().observe(load);
        }
        Ok(SettledOrder {
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
    ) -> Result<SettledOrder> {
        state.synced = false;
        let answer = self.engine.order(order, message.map.as_ref()).await;
        let answer = answer.map_err(|error| error.to_string())?;
        if let Some(participant) = &mut state.participant
            && answer.accepted
        {
            participant.apply(order);
        }
        observe(state, &answer);
        state.synced = true;
        Ok(SettledOrder {
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

fn observe(state: &mut OrderState, answer: &OrderAnswer) {
    state.step = answer.step;
    if let Some(participant) = &mut state.participant {
        participant.observe(&answer.view());
        participant.promise(answer.fencing);
    }
}
