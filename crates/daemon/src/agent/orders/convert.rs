//! Conversions between link messages and the map change protocol of `core::map_change`.

use {
    super::engine::EngineLoad,
    sassafrasslip_core::{
        map_change::{MapOrder, MapReply, OrderStep, ParticipantState},
        placement::ExpertMap,
    },
    sassafrasslip_proto::link,
};

/// Converts a link message to an order; `None` if its step is unknown.
pub fn order_from_link(message: &link::MapOrder) -> Option<MapOrder> {
    Some(MapOrder {
        fencing_token: message.fencing_token,
        change: message.change_id,
        step: step_from_link(message.step(), message.gate_step)?,
    })
}

/// Converts an order to a link message. `map` is the new map, which only a prepare order carries.
pub fn order_to_link(
    group: &str,
    order: &MapOrder,
    map: Option<link::ExpertMap>,
) -> link::MapOrder {
    let mut message = link::MapOrder {
        group: group.to_owned(),
        fencing_token: order.fencing_token,
        change_id: order.change,
        map,
        ..link::MapOrder::default()
    };
    message.set_step(step_to_link(order.step));
    if let OrderStep::Arm(gate) = order.step {
        message.gate_step = gate;
    }
    message
}

/// Converts a reply to a link message with the engine's load. `refusal` is empty if the order was
/// accepted.
pub fn reply_to_link(
    order: &link::MapOrder,
    reply: &MapReply,
    load: EngineLoad,
    refusal: String,
) -> link::MapReply {
    let layers = load.expert_tokens.into_iter();
    let mut message = link::MapReply {
        group: order.group.clone(),
        fencing_token: reply.fencing_token,
        change_id: reply.change,
        accepted: reply.accepted,
        map_version: reply.map_version,
        current_step: reply.current_step,
        step: order.step,
        expert_tokens: layers.map(|tokens| link::LayerCounts { tokens }).collect(),
        rank_step_us: load.rank_step_us,
        refusal,
        ..link::MapReply::default()
    };
    message.set_state(match reply.state {
        ParticipantState::Armed => link::ParticipantState::Armed,
        ParticipantState::Committed => link::ParticipantState::Committed,
        ParticipantState::Prepared => link::ParticipantState::Prepared,
        ParticipantState::Stepping => link::ParticipantState::Stepping,
    });
    message
}

/// Returns the reply to an order that did not reach a participant.
pub fn refusal_to_link(order: &link::MapOrder, refusal: String) -> link::MapReply {
    link::MapReply {
        group: order.group.clone(),
        change_id: order.change_id,
        step: order.step,
        refusal,
        ..link::MapReply::default()
    }
}

/// Converts a link message to a reply; `None` if the participant was not ready or a value is
/// unknown.
pub fn reply_from_link(message: &link::MapReply) -> Option<MapReply> {
    let state = match message.state() {
        link::ParticipantState::Armed => ParticipantState::Armed,
        link::ParticipantState::Committed => ParticipantState::Committed,
        link::ParticipantState::Prepared => ParticipantState::Prepared,
        link::ParticipantState::Stepping => ParticipantState::Stepping,
        link::ParticipantState::Unspecified => return None,
    };
    Some(MapReply {
        fencing_token: message.fencing_token,
        change: message.change_id,
        step: step_from_link(message.step(), 0)?,
        accepted: message.accepted,
        state,
        map_version: message.map_version,
        current_step: message.current_step,
    })
}

/// Converts an expert map to a link message.
pub fn map_to_link(map: &ExpertMap) -> link::ExpertMap {
    let replicas = |layer, expert| link::ExpertReplicas {
        ranks: map
            .replicas(layer, expert)
            .iter()
            .copied()
            .map(u32::from)
            .collect(),
    };
    let layer = |layer| link::LayerMap {
        experts: (0..map.experts())
            .map(|expert| replicas(layer, expert))
            .collect(),
    };
    link::ExpertMap {
        version: map.version(),
        layers: (0..map.layers()).map(layer).collect(),
    }
}

fn step_from_link(step: link::MapStep, gate: u64) -> Option<OrderStep> {
    match step {
        link::MapStep::Abort => Some(OrderStep::Abort),
        link::MapStep::Arm => Some(OrderStep::Arm(gate)),
        link::MapStep::Commit => Some(OrderStep::Commit),
        link::MapStep::Prepare => Some(OrderStep::Prepare),
        link::MapStep::Query => Some(OrderStep::Query),
        link::MapStep::Unspecified => None,
    }
}

fn step_to_link(step: OrderStep) -> link::MapStep {
    match step {
        OrderStep::Abort => link::MapStep::Abort,
        OrderStep::Arm(_) => link::MapStep::Arm,
        OrderStep::Commit => link::MapStep::Commit,
        OrderStep::Prepare => link::MapStep::Prepare,
        OrderStep::Query => link::MapStep::Query,
    }
}
