//! Links between entries, on which they exchange team usage and configuration revisions.

pub mod table;

use {
    super::{configuration_exchange, context::EntryContext},
    crate::{
        constants::{LINK_RETRY_PAUSE, REPORT_INTERVAL},
        link::{LinkConnection, LinkSender, accept_link, open_link},
        platform::{ListedInstance, ListedRole},
    },
    sassafrasslip_core::{
        events::LogEvent::{InstanceJoined, InstanceLeft, LinkClosed, LinkOpened, ListenerFailed},
        ids::{InstanceName, ServiceName, TeamName, ZoneName},
        log_event,
    },
    sassafrasslip_proto::link::{
        PeerReport, ProcessRole, ServiceDigest, TeamUsage, link_frame::Message,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
    table::PeerKey,
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, sleep},
    },
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// Links that this entry opens to peers. Of two entries, the one whose instance name sorts first
/// opens the link, so that each pair has exactly one.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: HashMap<(InstanceName, SocketAddr), DropGuard>,
}

impl PeerLinks {
    /// Opens links to newly listed peers, and closes those to peers that are no longer listed or
    /// have another address.
    pub fn apply(&mut self, context: &Arc<EntryContext>, instances: &[ListedInstance]) {
        let own = &context.identity.instance;
        let entries = instances
            .iter()
            .filter(|instance| instance.role == ListedRole::Entry);
        let peers = entries.filter(|entry| entry.instance > *own);
        let listed: HashMap<_, _> = peers
            .map(|peer| {
                let link_key = (peer.instance.clone(), peer.link_address);
                (link_key, peer.availability_zone.clone())
            })
            .collect();
        self.links
            .retain(|link_key, _| listed.contains_key(link_key));
        for (link_key, zone) in listed {
            let (name, address) = link_key.clone();
            let start = || spawn_link(context, name, zone, address);
            self.links.entry(link_key).or_insert_with(start);
        }
    }
}

fn spawn_link(
    context: &Arc<EntryContext>,
    name: InstanceName,
    zone: ZoneName,
    address: SocketAddr,
) -> DropGuard {
    let (stop, context) = (CancellationToken::new(), Arc::clone(context));
    let guard = stop.clone().drop_guard();
    log_event!(InstanceJoined, instance = name, role = "entry");
    tokio::spawn(async move {
        let key = context.state().peers.insert(name.clone(), zone);
        tokio::select! {
            () = maintain_link(&context, &name, address, key) => {}
            () = stop.cancelled() => {}
        }
        context.state().peers.remove(key);
        log_event!(InstanceLeft, instance = name, role = "entry");
    });
    guard
}

/// Keeps a link to a peer open: reopens it whenever it closes or cannot be opened. Only the first
/// failure in a row is logged.
async fn maintain_link(
    context: &Arc<EntryContext>,
    name: &InstanceName,
    address: SocketAddr,
    key: PeerKey,
) {
    let mut is_failure_logged = false;
    loop {
        match open_link(address, context.hello()).await {
            Ok(connection) if connection.hello.instance == name.as_str() => {
                is_failure_logged = false;
                serve(context, connection, name, key).await;
            }
            result => {
                let fault = result.err().map(|error| error.to_string());
                if !is_failure_logged {
                    let fault = fault.unwrap_or_else(|| "wrong instance name in Hello".to_owned());
                    log_event!(LinkClosed, peer = name, fault = fault);
                }
                is_failure_logged = true;
            }
        }
        sleep(LINK_RETRY_PAUSE).await;
    }
}

/// Accepts links that peer entries open to this entry. Never returns.
pub async fn accept_peers(context: Arc<EntryContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(accept(Arc::clone(&context), stream, address));
            }
            Err(error) => {
                log_event!(ListenerFailed, key = "link_address", error = error);
                sleep(LINK_RETRY_PAUSE).await;
            }
        }
    }
}

async fn accept(context: Arc<EntryContext>, stream: TcpStream, address: SocketAddr) {
    let accepted = accept_link(stream, address, context.hello()).await;
    let connection = match accepted {
        Ok(connection) => connection,
        Err(error) => {
            log_event!(LinkClosed, peer = address, fault = error);
            return;
        }
    };
    let hello = &connection.hello;
    let (name, zone) = (hello.instance.parse(), hello.availability_zone.parse());
    let (ProcessRole::Entry, Ok(name), Ok(zone)) = (hello.role(), name, zone) else {
        log_event!(
            LinkClosed,
            peer = address,
            fault = "the peer does not identify itself as an entry"
        );
        return;
    };
    let name: InstanceName = name;
    let key = context.state().peers.insert(name.clone(), zone);
    serve(&context, connection, &name, key).await;
    context.state().peers.remove(key);
}

/// Marks a peer as disconnected when its link closes for any reason, including cancellation of the
/// task.
struct LinkGuard<'a> {
    context: &'a EntryContext,
    key: PeerKey,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.context.state().peers.disconnected(self.key);
        self.context.metrics.link_gauge("entry").dec();
    }
}

async fn serve(
    context: &Arc<EntryContext>,
    connection: LinkConnection,
    name: &InstanceName,
    key: PeerKey,
) {
    let sender = connection.sender.clone();
    let revision = connection.hello.configuration_revision;
    context
        .state()
        .peers
        .connected(key, sender.clone(), revision);
    context.metrics.link_gauge("entry").inc();
    let _guard = LinkGuard { context, key };
    log_event!(LinkOpened, peer = name, address = sender.peer());
    configuration_exchange::request_newer_snapshot(context, &sender, revision);
    let reason = tokio::select! {
        reason = receive(context, connection, key) => reason,
        () = send_reports(context, &sender) => "send queue of the link is closed".to_owned(),
    };
    log_event!(LinkClosed, peer = name, fault = reason);
}

async fn receive(
    context: &Arc<EntryContext>,
    mut connection: LinkConnection,
    key: PeerKey,
) -> String {
    loop {
        match connection.receive().await {
            Ok(Some(Message::PeerReport(report))) => {
                let revision = report.configuration_revision;
                context.state().peers.reported(key, report);
                configuration_exchange::request_newer_snapshot(
                    context,
                    &connection.sender,
                    revision,
                );
            }
            Ok(Some(message)) => {
                configuration_exchange::handle(context, &connection.sender, message);
            }
            Ok(None) => return "peer closed the link".to_owned(),
            Err(error) => return error.to_string(),
        }
    }
}

/// Sends a report every [`REPORT_INTERVAL`], until the link closes.
async fn send_reports(context: &EntryContext, sender: &LinkSender) {
    loop {
        let report = Message::PeerReport(peer_report(context));
        if sender.send(report).await.is_err() {
            return;
        }
        sleep(REPORT_INTERVAL).await;
    }
}

fn peer_report(context: &EntryContext) -> PeerReport {
    let state = context.state();
    let teams = state.limiter.usage().map(|(team, in_flight)| TeamUsage {
        team: team.to_string(),
        in_flight,
    });
    let teams = teams.collect();
    let mut services: BTreeMap<&ServiceName, (u32, u32)> = BTreeMap::new();
    for (_, target) in state.membership.targets() {
        let (in_flight, concurrency) = services.entry(&target.listing.service).or_default();
        *in_flight += target.in_flight();
        *concurrency += target.status.load.concurrency;
    }
    let services = services.into_iter().map(|(service, sums)| ServiceDigest {
        service: service.to_string(),
        in_flight: sums.0,
        concurrency: sums.1,
    });
    PeerReport {
        availability_zone: context.identity.availability_zone.to_string(),
        configuration_revision: context.current_view().revision(),
        teams,
        services: services.collect(),
    }
}

/// Passes the team usage that peers have reported to the team limiter once a second, so that limits
/// count the requests at all entries. Never returns.
pub async fn apply_peer_usage(context: Arc<EntryContext>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let mut state = context.state();
        let usage: Vec<(TeamName, u32)> = state.peers.team_usage();
        state.limiter.set_peer_usage(usage, Instant::now());
    }
}
