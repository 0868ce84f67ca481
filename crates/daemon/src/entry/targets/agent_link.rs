//! Link from the entry to the agent of one target.

use {
    crate::{
        constants::{LINK_RETRY_PAUSE, REPORT_INTERVAL},
        entry::{
            configuration_exchange,
            context::EntryContext,
            dispatcher::pending::{self, AnswerFrame},
        },
        link::{LinkConnection, LinkSender, open_link},
    },
    sassafrasslip_core::{
        events::LogEvent::{LinkClosed, LinkOpened, TargetDraining, TargetUnhealthy},
        ids::KindName,
        log_event,
        membership::{AgentFacts, AgentStatus, ServiceKind, TargetKey, TargetListing, TargetLoad},
    },
    sassafrasslip_proto::link::{self, AgentReport, Hello, link_frame::Message},
    std::sync::Arc,
    tokio::time::sleep,
};

/// Keeps a link to the agent of a target open: reopens it after [`LINK_RETRY_PAUSE`] whenever it
/// closes or cannot be opened. Never returns; dropping the future closes the link.
pub async fn maintain_link(context: &Arc<EntryContext>, key: TargetKey, listing: &TargetListing) {
    let mut is_failure_logged = false;
    loop {
        match open_and_serve(context, key, listing).await {
            Ok(()) => is_failure_logged = false,
            Err(fault) if !is_failure_logged => {
                log_event!(LinkClosed, target = listing.name, fault = fault);
                is_failure_logged = true;
            }
            // Only the first failure in a row is logged, so that an unreachable agent does not
            // write a line every half second.
            Err(_) => {}
        }
        sleep(LINK_RETRY_PAUSE).await;
    }
}

/// Marks the target as disconnected and fails its attempts when the link closes for any reason,
/// including cancellation of the task.
struct LinkGuard<'a> {
    context: &'a Arc<EntryContext>,
    key: TargetKey,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.context.state();
        state.links.remove(self.key);
        state.membership.disconnected(self.key);
        pending::fail_attempts(&mut state, self.key);
        drop(state);
        self.context.metrics.link_gauge("agent").dec();
        self.context.wake_all();
    }
}

/// Opens the link and serves it until it closes.
///
/// Fails with a message if the link cannot be opened, or if the agent's `Hello` contradicts the
/// instance list.
async fn open_and_serve(
    context: &Arc<EntryContext>,
    key: TargetKey,
    listing: &TargetListing,
) -> Result<(), String> {
    let opened = open_link(listing.link_address, context.hello()).await;
    let connection = opened.map_err(|error| error.to_string())?;
    let facts = check_hello(&connection.hello, listing)?;
    let sender = connection.sender.clone();
    {
        let mut state = context.state();
        state.membership.connected(key, facts);
        state.links.insert(key, sender.clone());
    }
    context.metrics.link_gauge("agent").inc();
    let _guard = LinkGuard { context, key };
    log_event!(
        LinkOpened,
        target = listing.name,
        address = listing.link_address
    );
    context.wake(&listing.service);
    let reason = tokio::select! {
        reason = receive(context, key, listing, connection) => reason,
        () = send_notices(context, key, &sender) => "send queue of the link is closed".to_owned(),
    };
    log_event!(LinkClosed, target = listing.name, fault = reason);
    Ok(())
}

/// Checks the agent's `Hello` against the listing of its target, and returns the service facts.
fn check_hello(hello: &Hello, listing: &TargetListing) -> Result<AgentFacts, String> {
    if hello.instance != listing.name.as_str() {
        return Err(format!(
            "agent reports the instance name {}",
            hello.instance
        ));
    }
    let facts = hello.service.as_ref();
    let facts = facts.ok_or("agent reports no service facts")?;
    if facts.service != listing.service.as_str() {
        return Err(format!("agent reports the service {}", facts.service));
    }
    let kind = match facts.kind() {
        link::ServiceKind::Model => ServiceKind::Model,
        link::ServiceKind::Plain => ServiceKind::Plain,
        link::ServiceKind::Unspecified => return Err("agent reports no service kind".to_owned()),
    };
    Ok(AgentFacts {
        kind,
        concurrency: facts.concurrency,
        idempotent_methods: facts.idempotent_methods.clone(),
        revision: hello.configuration_revision,
    })
}

/// Sends the configuration revision in force to an agent every second, with a full snapshot while
/// the agent has an older one. The notices also serve as heartbeats: the agent closes a link that
/// stays silent.
async fn send_notices(context: &EntryContext, key: TargetKey, sender: &LinkSender) {
    loop {
        let view = context.current_view();
        let known = context
            .state()
            .membership
            .target(key)
            .map(|target| target.status.revision);
        let notice = if known < Some(view.revision()) {
            configuration_exchange::notice_with_snapshot(&view)
        } else {
            configuration_exchange::notice(&view)
        };
        if sender.send(notice).await.is_err() {
            return;
        }
        sleep(REPORT_INTERVAL).await;
    }
}

async fn receive(
    context: &Arc<EntryContext>,
    key: TargetKey,
    listing: &TargetListing,
    mut connection: LinkConnection,
) -> String {
    loop {
        let message = match connection.receive().await {
            Ok(Some(message)) => message,
            Ok(None) => return "agent closed the link".to_owned(),
            Err(error) => return error.to_string(),
        };
        match AnswerFrame::from_message(message) {
            Ok(frame) => pending::deliver(context, key, &listing.name, frame),
            Err(other) => match *other {
                Message::AgentReport(report) => {
                    apply_report(context, key, listing, report);
                }
                other => configuration_exchange::handle(context, &connection.sender, other),
            },
        }
    }
}

/// Applies a report to the target's state, and wakes requests that wait for its service.
fn apply_report(
    context: &Arc<EntryContext>,
    key: TargetKey,
    listing: &TargetListing,
    report: AgentReport,
) {
    let status = agent_status(report);
    let healthy = status.healthy;
    let mut state = context.state();
    let was_healthy = state
        .membership
        .target(key)
        .is_none_or(|target| target.status.healthy);
    let is_newly_draining = state.membership.reported(key, status);
    drop(state);
    if is_newly_draining {
        log_event!(TargetDraining, target = listing.name, source = "agent");
    }
    if was_healthy && !healthy {
        log_event!(TargetUnhealthy, target = listing.name);
    }
    context.wake(&listing.service);
}

fn agent_status(report: AgentReport) -> AgentStatus {
    let load = report.load.unwrap_or_default();
    let costs = report.kind_costs.into_iter().filter_map(|cost| {
        let kind: KindName = cost.kind.parse().ok()?;
        Some((kind, cost.hot_rank_cost))
    });
    AgentStatus {
        load: TargetLoad {
            in_flight: load.in_flight,
            concurrency: load.concurrency,
            draining: load.draining,
        },
        healthy: report.target_healthy,
        revision: report.configuration_revision,
        kind_costs: costs.collect(),
        cached_prefixes: report.cached_prefixes,
        mean_step_us: report.mean_step_us,
        map_version: report.map_version,
    }
}
