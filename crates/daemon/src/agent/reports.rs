//! Reports to one entry: periodically, and when the agent's state changes.

use {
    super::{AgentContext, admission::offers::LinkNumber},
    crate::{constants::REPORT_INTERVAL, link::LinkSender},
    sassafrasslip_proto::link::{AgentReport, link_frame::Message},
    std::sync::Arc,
    tokio::{
        sync::Notify,
        time::{MissedTickBehavior, interval},
    },
};

/// Sends reports until the link closes: every [`REPORT_INTERVAL`], on each change of the admission
/// state, and when `offered` tells that a slot is offered to the entry.
pub async fn run(
    agent: Arc<AgentContext>,
    sender: LinkSender,
    link: LinkNumber,
    offered: Arc<Notify>,
) {
    let mut changes = agent.admission.changes();
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = changes.changed() => {}
            // Each refusal of this entry leads to at most one offer, which bounds the report rate.
            () = offered.notified() => {}
            () = sender.closed() => return,
        }
        // If the queue is full, the report is dropped: the queued frames tell the entry more.
        let _ = sender.try_send(Message::AgentReport(report(&agent, link)));
    }
}

/// Returns the current report for the entry of a link.
pub fn report(agent: &AgentContext, link: LinkNumber) -> AgentReport {
    let extras = agent.orders.report_extras();
    AgentReport {
        load: Some(agent.admission.load_for(link)),
        configuration_revision: agent.admission.revision(),
        kind_costs: extras.kind_costs,
        cached_prefixes: Vec::new(),
        mean_step_us: extras.mean_step_us,
        map_version: extras.map_version,
        target_healthy: agent.admission.is_healthy(),
    }
}
