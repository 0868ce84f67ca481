//! Server for the links that entries and placers open to this agent.

use {
    super::{
        AgentContext,
        admission::{AdmissionError, AdmissionRequest, DrainReason, offers::LinkNumber},
        answers::AnswerSender,
        calls::{AdmittedCall, decline},
        reports,
    },
    crate::{
        constants::{LINK_CLOSE_TIMEOUT, LINK_QUEUE_LENGTH},
        link::{
            LinkConnection, LinkSender, accept_link,
            convert::{request_id_from_link, snapshot_from_link},
        },
    },
    sassafrasslip_core::{
        events::LogEvent::{
            DispatchReceived, FrameDropped, LinkClosed, LinkOpened, ListenerFailed,
            RevisionApplied, RevisionIgnored,
        },
        ids::InstanceName,
        log_event,
    },
    sassafrasslip_proto::link::{
        ConfigurationRequest, ConfigurationSnapshot, Dispatch, DrainOrder, MapOrder,
        RevisionNotice, link_frame::Message,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::AbortOnDropHandle},
};

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Accepts links until the process ends.
pub async fn run(agent: Arc<AgentContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let agent = agent.clone();
                let links = agent.links.clone();
                links.spawn(serve_link(agent, stream, peer));
            }
            Err(error) => {
                log_event!(ListenerFailed, error = error);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_link(agent: Arc<AgentContext>, stream: TcpStream, peer: SocketAddr) {
    let connection = match accept_link(stream, peer, agent.hello()).await {
        Ok(connection) => connection,
        Err(error) => {
            log_event!(LinkClosed, peer = peer, cause = error);
            return;
        }
    };
    let instance = &connection.hello.instance;
    log_event!(LinkOpened, peer = peer, instance = instance);
    agent
        .admission
        .observe_revision(connection.hello.configuration_revision);
    let closed = CancellationToken::new();
    let session = LinkSession::new(agent.clone(), &connection, closed.clone());
    let link = session.link;
    let (connection, cause) = session.run(connection).await;
    closed.cancel();
    agent.admission.close_link(link);
    log_event!(LinkClosed, peer = peer, cause = cause);
    // Writes the queued frames, unless the peer does not read them in time.
    let _ = timeout(LINK_CLOSE_TIMEOUT, connection.finish()).await;
}

/// Receiving side of one link, with the tasks that send reports and replies on it.
struct LinkSession {
    agent: Arc<AgentContext>,
    link: LinkNumber,
    sender: LinkSender,
    orders: mpsc::Sender<MapOrder>,
    closed: CancellationToken,
    _tasks: [AbortOnDropHandle<()>; 2],
}

impl LinkSession {
    fn new(agent: Arc<AgentContext>, link: &LinkConnection, closed: CancellationToken) -> Self {
        let sender = link.sender.clone();
        let (orders, queue) = mpsc::channel(LINK_QUEUE_LENGTH);
        let (link, offered) = agent.admission.open_link();
        let reports = reports::run(agent.clone(), sender.clone(), link, offered);
        let answers = reply_to_orders(agent.clone(), queue, sender.clone());
        let tasks = [tokio::spawn(reports), tokio::spawn(answers)];
        Self {
            agent,
            link,
            sender,
            orders,
            closed,
            _tasks: tasks.map(AbortOnDropHandle::new),
        }
    }

    /// Handles messages until the link closes or the process has finished its work; returns the
    /// connection and the cause of the end.
    async fn run(self, mut connection: LinkConnection) -> (LinkConnection, String) {
        let finished = self.agent.finished.clone();
        loop {
            let received = tokio::select! {
                () = finished.cancelled() => return (connection, "process is stopping".to_owned()),
                received = connection.receive() => received,
            };
            match received {
                Ok(Some(message)) => self.handle(message).await,
                Ok(None) => return (connection, "closed by the peer".to_owned()),
                Err(error) => return (connection, error.to_string()),
            }
        }
    }

    async fn handle(&self, message: Message) {
        match message {
            Message::Dispatch(dispatch) => self.dispatch(dispatch).await,
            Message::Cancel(cancel) => {
                if let Some(request_id) = cancel.request_id {
                    self.agent
                        .admission
                        .cancel(request_id_from_link(request_id));
                }
            }
            Message::RevisionNotice(notice) => self.handle_notice(&notice).await,
            Message::ConfigurationSnapshot(snapshot) => self.apply_snapshot(&snapshot),
            Message::DrainOrder(order) => self.handle_drain_order(&order),
            Message::MapOrder(order) => {
                let _ = self.orders.send(order).await;
            }
            _ => self.drop_frame("unexpected message"),
        }
    }

    fn drop_frame(&self, cause: &str) {
        self.agent.metrics.count_dropped_frame();
        log_event!(FrameDropped, peer = self.sender.peer(), cause = cause);
    }

    async fn dispatch(&self, dispatch: Dispatch) {
        let Some(link_id) = dispatch.request_id else {
            return self.drop_frame("dispatch without a request id");
        };
        let agent = &self.agent;
        let request_id = request_id_from_link(link_id);
        let remaining = Duration::from_millis(dispatch.remaining_ms);
        let deadline = agent.clock.deadline(remaining);
        let request = AdmissionRequest {
            request_id,
            attempt: dispatch.attempt,
            revision: dispatch.configuration_revision,
            target_concurrency: dispatch.target_concurrency,
            deadline,
            link: self.link,
        };
        let mut answers = AnswerSender::new(self.sender.clone(), link_id, dispatch.attempt);
        match agent
            .admission
            .admit(&request, agent.clock.now(), &self.closed)
        {
            Ok(permit) => {
                log_event!(
                    DispatchReceived,
                    request_id = request_id,
                    attempt = dispatch.attempt,
                    revision = dispatch.configuration_revision
                );
                let call = AdmittedCall {
                    agent: agent.clone(),
                    dispatch,
                    request_id,
                    deadline,
                    permit,
                    link: self.link,
                    answers,
                };
                tokio::spawn(call.run());
            }
            Err(AdmissionError::Duplicate) => self.drop_frame("attempt is running already"),
            Err(AdmissionError::Refused(reason)) => {
                decline(agent, request_id, self.link, &mut answers, reason).await;
            }
        }
    }

    async fn handle_notice(&self, notice: &RevisionNotice) {
        self.agent.admission.observe_revision(notice.revision);
        if let Some(snapshot) = &notice.snapshot {
            self.apply_snapshot(snapshot);
        }
        let known_revision = self.agent.configuration.borrow().revision;
        if notice.revision > known_revision {
            let request = ConfigurationRequest { known_revision };
            let message = Message::ConfigurationRequest(request);
            let _ = self.sender.send(message).await;
        }
    }

    fn apply_snapshot(&self, message: &ConfigurationSnapshot) {
        let snapshot = match snapshot_from_link(message) {
            Ok(snapshot) => Arc::new(snapshot),
            Err(error) => return self.drop_frame(&error.to_string()),
        };
        let revision = snapshot.revision;
        self.agent.admission.observe_revision(revision);
        let applied = self.agent.configuration.send_if_modified(|held| {
            let newer = revision > held.revision;
            if newer {
                *held = snapshot;
            }
            newer
        });
        if applied {
            log_event!(RevisionApplied, revision = revision);
        } else {
            let held = self.agent.configuration.borrow().revision;
            if revision < held {
                log_event!(RevisionIgnored, revision = revision, held = held);
            }
        }
    }

    fn handle_drain_order(&self, order: &DrainOrder) {
        let own: &InstanceName = &self.agent.instance.name;
        if order.instance != own.as_str() {
            return self.drop_frame("drain order for another instance");
        }
        let admission = &self.agent.admission;
        admission.set_draining(DrainReason::Operator, order.draining);
    }
}

async fn reply_to_orders(
    agent: Arc<AgentContext>,
    mut orders: mpsc::Receiver<MapOrder>,
    sender: LinkSender,
) {
    while let Some(order) = orders.recv().await {
        let reply = agent.orders.handle(order).await;
        let _ = sender.send(Message::MapReply(reply)).await;
    }
}
