//! Exchange with the other gateways: load reports over UDP, and snapshots of the configuration and
//! the instance list over TCP.
//!
//! Load pattern: many gateways that share targets without a central balancer. Load reports let each
//! one count the requests of the others, and snapshots let a zone read the store only once.
//!
//! All gateways use the same ports, so that an IP address alone identifies a gateway.

use {
    super::{
        overload, part_news,
        peer_frames::{request_frames, snapshot_frames},
        retries,
        state::{GatewayState, NewerPeer, ipv4},
        target_pace,
    },
    crate::listen,
    bytes::{Bytes, BytesMut},
    error_stack::{Report, ResultExt},
    futures_util::{SinkExt, StreamExt, future::join_all},
    prost::Message,
    sassafrasslip_core::{
        dispatch::{
            DatedSlowdown, DatedView, DirectTarget, GroupMember, GroupNews, GroupView, LimitNews,
            PeerReport, RequestRate, Slowdown, StoreEra, TargetDeparture, TargetEntry, TargetList,
            TargetRoster, TargetState,
            peer_table::{PeerLoad, ZONE_INTERVAL, remote_interval},
        },
        events::LogEvent::{FrameDropped, PeerChanged},
        ids::GroupName,
        log_event,
    },
    sassafrasslip_platform::decode_configuration,
    sassafrasslip_proto::peer::{
        DepartureRecord, GroupNewsRecord, GroupRecord, LimitRecord, LoadReport, SlowdownRecord,
        Snapshot, SnapshotRequest, TargetRecord,
    },
    std::{
        error::Error,
        fmt, io,
        net::{Ipv4Addr, SocketAddr},
        rc::Rc,
        result,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream, UdpSocket},
        time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Result of a request to a peer.
pub type Result<T> = result::Result<T, Report<PeerError>>;

/// Report intervals within the zone after which an idle gateway sends a report as a heartbeat.
const INTERVALS_PER_HEARTBEAT: u64 = 5;

/// Smallest number of report intervals between two reports that name the known gateways.
const MIN_INTERVALS_PER_GOSSIP: u64 = 20;

/// Known gateways per report interval between two such reports, for large fleets. Every gateway
/// sends all addresses to all others, so that without it the traffic of one gateway would grow with
/// the square of their number.
const GATEWAYS_PER_GOSSIP_INTERVAL: u64 = 2;

/// Largest datagram that is received whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Timeout of fetching or sending a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which peers are polled while the store does not answer.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of polling peers, as a share of the time within which a configuration has to be in
/// force. A peer with a newer configuration is asked two intervals after its report at the latest.
const SNAPSHOT_INTERVAL_SHARE: f64 = 0.25;

/// Age of the instance list above which peers are polled. Normally the list is read more often.
const LIST_AGE_LIMIT: Duration = Duration::from_millis(1500);

/// Age of the instance list that indicates an outage of the store, during which the entries of live
/// targets may have expired. Entries expire after three heartbeats of more than a second each.
const OUTAGE_AGE: Duration = Duration::from_millis(2500);

/// Consecutive failed calls to the store from which on outdated data from a peer is accepted. A
/// single failed call may only have been lost.
const FAILURES_FOR_STALE_DATA: u32 = 2;

/// Number of peers that are polled each time.
const POLLED_PEERS: usize = 2;

/// Most rounds of questions in a row of an inquiry. Later ones follow at the interval of polling.
const INQUIRY_ROUNDS: usize = 3;

/// Pause after a failed receive on the datagram socket.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Step of a request to a peer that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStep {
    /// Opening the connection.
    Connect,
    /// Sending the request or receiving the response in time.
    Exchange,
    /// Decoding the response.
    Decode,
}

/// Failure of a request to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerError {
    /// Step that failed.
    pub step: PeerStep,
    /// Address of the peer.
    pub peer: SocketAddr,
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "peer {}: {:?} failed", self.peer, self.step)
    }
}

impl Error for PeerError {}

/// Sends and receives load reports until the process ends. Reports go out at a fixed interval, to
/// gateways in other zones less often, and immediately when the state of a group has changed.
pub async fn exchange_loads(state: Rc<GatewayState>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive_reports(Rc::clone(&state), Rc::clone(&socket)));
    let incarnation = rand::random();
    let port = state.options.load_address.port();
    let mut ticks = interval(ZONE_INTERVAL);
    // After a pause of the process, one report replaces all that were missed.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_idle = true;
    let mut tick = 0_u64;
    for sequence in 0_u64.. {
        let is_news = tokio::select! {
            _ = ticks.tick() => false,
            () = state.report_due.notified() => true,
        };
        tick += u64::from(!is_news);
        let now = Instant::now();
        state.peers.borrow_mut().add_candidates(seeds(&state), now);
        remove_silent_peers(&state, now);
        target_pace::update(&state, now);
        let mut report = own_report(&state, incarnation, sequence);
        let is_idle = report.targets.is_empty() && report.demands.is_empty();
        let (known, remote) = {
            let peers = state.peers.borrow();
            let remote = peers.addresses(&state.own_zone, false);
            (peers.known().len() as u64, remote)
        };
        let gossip_ticks = MIN_INTERVALS_PER_GOSSIP.max(known / GATEWAYS_PER_GOSSIP_INTERVAL);
        let gossips = state.gossip_due.take() || tick.is_multiple_of(gossip_ticks);
        if gossips {
            report.gateways = state.peers.borrow().known().map(u32::from).collect();
        }
        // The first report without load is sent too, since peers would keep counting the old load.
        let is_due = is_news
            || gossips
            || !(is_idle && was_idle)
            || tick.is_multiple_of(INTERVALS_PER_HEARTBEAT);
        was_idle = is_idle;
        if is_due {
            report.interval_ms = ZONE_INTERVAL.as_millis() as u32;
            let local = state.peers.borrow().addresses(&state.own_zone, true);
            send_report(&socket, &report, &local, port);
        }
        // Idle gateways send these reports too, or gateways in other zones would take them for
        // gone.
        let interval = remote_interval(remote.len());
        let remote_ticks = interval.as_millis().div_ceil(ZONE_INTERVAL.as_millis()) as u64;
        // The first report makes the seeds answer at once.
        if is_news || gossips || sequence == 0 || tick.is_multiple_of(remote_ticks) {
            report.interval_ms = interval.as_millis() as u32;
            send_report(&socket, &report, &remote, port);
        }
    }
}

fn send_report(socket: &UdpSocket, report: &LoadReport, addresses: &[Ipv4Addr], port: u16) {
    let datagram = report.encode_to_vec();
    for address in addresses {
        // A send error counts as packet loss; the next report replaces the lost one.
        let _ = socket.try_send_to(&datagram, SocketAddr::from((*address, port)));
    }
}

/// Returns the addresses of the configured seeds, except that of this gateway.
fn seeds(state: &GatewayState) -> Vec<Ipv4Addr> {
    let own = state.own_address();
    let seeds = state.options.seeds.iter().map(SocketAddr::ip);
    seeds
        .filter_map(ipv4)
        .filter(|address| Some(*address) != own)
        .collect()
}

fn remove_silent_peers(state: &GatewayState, now: Instant) {
    let gone = state.peers.borrow_mut().forget_silent(now);
    for address in gone {
        state.refused_ranks.borrow_mut().remove(&address);
        log_event!(PeerChanged, peer = address, state = "gone");
    }
    state.drop_outdated_crashes(now);
    state.update_peer_loads(now);
}

fn own_report(state: &GatewayState, incarnation: u64, sequence: u64) -> LoadReport {
    let now = Instant::now();
    let (revision, document_era) = state.configuration_rank();
    let roster = state.roster.borrow();
    let busy = roster.iter().filter(|(_, target)| target.own_in_flight > 0);
    let (targets, in_flight) = busy
        .map(|(_, target)| (target.name_hash, target.own_in_flight))
        .unzip();
    let mut report = LoadReport {
        incarnation,
        sequence,
        availability_zone: state.own_zone.to_string(),
        targets,
        in_flight,
        gateways: Vec::new(),
        leaving: state.leaving.get(),
        settled: state.is_settled(now),
        interval_ms: 0,
        groups: roster
            .group_news(now)
            .map(|(name, news)| group_record(name, &news, now))
            .collect(),
        slowdowns: roster
            .slowdown_news(now)
            .map(|(target, report)| slowdown_record(target, &report, now))
            .collect(),
        limits: roster
            .limit_news(now)
            .map(|(target, news)| limit_record(target, &news, now))
            .collect(),
        revision,
        document_era: document_era.value(),
        emptied_zones: state.reported_zones_record(now),
        ..part_news::encode(&state.quarantine.borrow(), now)
    };
    drop(roster);
    retries::add_usage(state, &mut report, now);
    target_pace::add_records(state, &mut report, now);
    report.demands = overload::records(state, now);
    report
}

/// Returns the age of a time in milliseconds, as reports give it.
pub(super) fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that was `age_ms` milliseconds ago; `None` if the clock does not reach back so
/// far.
pub(super) fn time_of(age_ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms.into()))
}

fn slowdown_record(target: u32, report: &DatedSlowdown, now: Instant) -> SlowdownRecord {
    SlowdownRecord {
        target,
        factor: report.slowdown.factor() as f32,
        age_ms: age_ms(report.as_of, now),
    }
}

fn note_slowdown(state: &GatewayState, record: &SlowdownRecord, now: Instant) {
    let slowdown = Slowdown::from_factor(record.factor.into());
    if let (Some(slowdown), Some(as_of)) = (slowdown, time_of(record.age_ms, now)) {
        let report = DatedSlowdown { slowdown, as_of };
        state.note_slowdown(record.target, report, "peer");
    }
}

fn limit_record(target: u32, news: &LimitNews, now: Instant) -> LimitRecord {
    LimitRecord {
        target,
        per_second: news.limit.map(RequestRate::per_second),
        age_ms: age_ms(news.as_of, now),
    }
}

fn note_limit(state: &GatewayState, record: &LimitRecord, now: Instant) {
    let limit = record.per_second.map(RequestRate::from_value);
    let as_of = time_of(record.age_ms, now);
    // A rate that cannot be is no news.
    if let (None | Some(Some(_)), Some(as_of)) = (limit, as_of) {
        let limit = limit.flatten();
        state.note_limit(record.target, LimitNews { limit, as_of });
    }
}

fn group_record(name: &GroupName, news: &GroupNews, now: Instant) -> GroupNewsRecord {
    let DatedView { view, as_of } = news.dated;
    GroupNewsRecord {
        name: name.to_string(),
        epoch: view.epoch,
        is_open: view.is_open,
        age_ms: age_ms(as_of, now),
        is_forming: news.is_forming,
    }
}

fn note_group_news(state: &GatewayState, record: &GroupNewsRecord, now: Instant) {
    let (Ok(name), Some(as_of)) = (record.name.parse(), time_of(record.age_ms, now)) else {
        return;
    };
    let view = GroupView {
        epoch: record.epoch,
        is_open: record.is_open,
    };
    state.note_group_view(&name, DatedView { view, as_of }, "peer");
    if record.is_forming {
        state.note_forming_group(&name, record.epoch, "peer");
    }
}

async fn receive_reports(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = BytesMut::zeroed(MAX_DATAGRAM_BYTES);
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An ICMP message says that a port is closed, because that peer is not running.
                log::debug!("cannot receive a load report: {error}");
                sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            }
        };
        match (LoadReport::decode(&buffer[..length]), ipv4(sender.ip())) {
            (Ok(report), Some(address)) => record_report(&state, address, report),
            (Err(error), _) => log_event!(
                FrameDropped,
                peer = sender,
                cause = "load report",
                fault = error,
                request_id = "",
                target = ""
            ),
            (Ok(_), None) => {}
        }
    }
}

fn record_report(state: &GatewayState, address: Ipv4Addr, report: LoadReport) {
    let now = Instant::now();
    for news in &report.groups {
        note_group_news(state, news, now);
    }
    for record in &report.slowdowns {
        note_slowdown(state, record, now);
    }
    for record in &report.limits {
        note_limit(state, record, now);
    }
    part_news::apply(state, &report, now);
    retries::apply_usage(state, address, &report, now);
    target_pace::apply_records(state, &report, now);
    overload::apply(state, address, &report, now);
    note_configuration(state, address, &report, now);
    state.note_reported_zones(&report, now);
    let loads: Vec<PeerLoad> = report.targets.into_iter().zip(report.in_flight).collect();
    let mut peers = state.peers.borrow_mut();
    let own = state.own_address();
    let named = report.gateways.into_iter().map(Ipv4Addr::from);
    peers.add_candidates(named.filter(|named| Some(*named) != own), now);
    let report = PeerReport {
        incarnation: report.incarnation,
        sequence: report.sequence,
        availability_zone: report.availability_zone.parse().ok(),
        loads,
        leaving: report.leaving,
        settled: report.settled,
        interval: Duration::from_millis(report.interval_ms.into()),
    };
    let is_new = peers.record(address, report, now);
    drop(peers);
    if is_new {
        state.gossip_due.set(true);
        state.inquiry_due.notify_one();
        log_event!(PeerChanged, peer = address, state = "joined");
    }
    state.update_peer_loads(now);
}

/// Notes a peer whose configuration is newer than the one in force here.
fn note_configuration(state: &GatewayState, address: Ipv4Addr, report: &LoadReport, now: Instant) {
    let era = StoreEra::from_value(report.document_era);
    let rank = (report.revision, state.known_era.get().believed(era));
    let is_refused = state.refused_ranks.borrow().get(&address) == Some(&rank);
    let is_newer = rank > state.configuration_rank() && !is_refused;
    if is_newer && state.newer_peer.get().is_none() {
        state.newer_peer.set(Some(NewerPeer {
            address,
            rank,
            heard_at: now,
        }));
    }
}

/// Serves snapshots to peers until the process ends.
pub async fn serve_snapshots(state: Rc<GatewayState>, listener: TcpListener) {
    loop {
        let (stream, peer) = listen::accept(&listener, "peer_address").await;
        let sending = send_snapshot(Rc::clone(&state), stream);
        tokio::task::spawn_local(async move {
            let sent = timeout(SNAPSHOT_TIMEOUT, sending).await;
            if !matches!(sent, Ok(Ok(()))) {
                log::debug!("sending a snapshot to peer {peer} failed or timed out");
            }
        });
    }
}

async fn send_snapshot(state: Rc<GatewayState>, stream: TcpStream) -> io::Result<()> {
    let mut frames = request_frames(stream);
    let Some(request) = frames.next().await.transpose()? else {
        return Ok(());
    };
    let request = SnapshotRequest::decode(request.freeze()).map_err(io::Error::other)?;
    let answer = own_snapshot(&state, &request);
    let mut frames = snapshot_frames(frames.into_inner());
    frames.send(Bytes::from(answer.encode_to_vec())).await
}

fn own_snapshot(state: &GatewayState, request: &SnapshotRequest) -> Snapshot {
    let rank = state.configuration_rank();
    let requested_era = StoreEra::from_value(request.document_era);
    let document = if rank > (request.revision, requested_era) {
        state.document.borrow().clone()
    } else {
        Bytes::new()
    };
    let list_unchanged = request.list_digest != 0 && request.list_digest == state.list_digest.get();
    let targets = if list_unchanged {
        Vec::new()
    } else {
        // Targets that are only kept here although they are no longer listed are left out: the peer
        // may know that they have gone.
        let roster = state.roster.borrow();
        roster
            .listed_targets()
            .map(|target| target_record(&roster, target))
            .collect()
    };
    let departures = if request.wants_departures {
        let roster = state.roster.borrow();
        roster.departures().map(departure_record).collect()
    } else {
        Vec::new()
    };
    let now = Instant::now();
    let milliseconds = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Snapshot {
        document,
        targets,
        list_age_ms: milliseconds(state.list_age(now)),
        configuration_age_ms: milliseconds(state.configuration_age(now)),
        list_unchanged,
        list_era: state.list_era.get().value(),
        configuration_era: state.configuration_era.get().value(),
        document_era: rank.1.value(),
        departures,
        informed: state.is_informed(now),
        emptied_zones: state.emptied_zones_record(now),
    }
}

fn departure_record(departure: TargetDeparture) -> DepartureRecord {
    DepartureRecord {
        id: departure.id.to_string(),
        started_at_ms: departure.started_at_ms,
    }
}

/// Returns a digest of the listed targets that does not depend on their order; 0 without targets.
///
/// Load pattern: a hundred gateways of a zone that each fetch a list of thousands of targets from
/// the zone's reader 1.7 times a second, while the list changes a few times a minute. With the
/// digest, an unchanged list costs only a few bytes.
pub fn list_digest(roster: &TargetRoster) -> u64 {
    let records = roster.listed_targets();
    let records = records.map(|target| target_record(roster, target));
    let digests = records.map(|record| xxh3_64(&record.encode_to_vec()));
    digests.fold(0, u64::wrapping_add)
}

fn target_record(roster: &TargetRoster, target: &DirectTarget) -> TargetRecord {
    let entry = &target.entry;
    TargetRecord {
        id: entry.id.to_string(),
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        availability_zone: entry.availability_zone.to_string(),
        slots: entry.slots,
        draining: entry.state == TargetState::Draining,
        started_at_ms: entry.started_at_ms,
        group: entry.group.as_ref().map(|member| GroupRecord {
            name: member.name.to_string(),
            epoch: member.epoch,
            rank: member.rank,
            size: member.size,
            is_open: member.is_open,
        }),
        unconfirmed: target.is_unconfirmed,
        cold_for_ms: target_pace::cold_remaining(roster, target),
    }
}

fn target_entry(record: TargetRecord) -> Option<TargetEntry> {
    let group = match record.group {
        None => None,
        Some(group) => Some(GroupMember {
            name: group.name.parse().ok()?,
            epoch: group.epoch,
            rank: group.rank,
            size: group.size,
            is_open: group.is_open,
        }),
    };
    Some(TargetEntry {
        id: record.id.into(),
        service: record.service.parse().ok()?,
        address: record.address.parse().ok()?,
        availability_zone: record.availability_zone.parse().ok()?,
        slots: record.slots,
        state: if record.draining {
            TargetState::Draining
        } else {
            TargetState::Ready
        },
        started_at_ms: record.started_at_ms,
        group,
        cold_for: record.cold_for_ms.map(target_pace::milliseconds),
    })
}

/// Returns the list of a snapshot. Entries of a list that may be from before a restore of the store
/// are unconfirmed.
fn target_list(records: Vec<TargetRecord>, is_covered: bool) -> TargetList {
    let records = records.into_iter();
    let entries = records.filter_map(|record| {
        let is_unconfirmed = record.unconfirmed || !is_covered;
        Some((target_entry(record)?, is_unconfirmed))
    });
    entries.collect()
}

/// Polls peers for snapshots until the process ends: while this gateway has no configuration or no
/// recent instance list, when the store was restored, and when a peer has had a newer configuration
/// for some time.
pub async fn poll_peers(state: Rc<GatewayState>) {
    let limit = state.options.operator_limit();
    let interval = SNAPSHOT_INTERVAL.min(limit.mul_f64(SNAPSHOT_INTERVAL_SHARE));
    let mut next_poll = Instant::now() + interval;
    // Gateways that are cut off together do not all poll the same peers.
    let mut round: usize = rand::random_range(0..usize::from(u16::MAX));
    loop {
        let is_poll = tokio::select! {
            () = sleep_until(next_poll) => true,
            () = state.inquiry_due.notified() => false,
        };
        let now = Instant::now();
        let mut polled = Vec::new();
        if is_poll {
            next_poll = now + interval;
            let newer = state.newer_peer.get();
            let newer = newer.filter(|peer| now >= peer.heard_at + interval);
            if let Some(peer) = newer {
                state.newer_peer.set(None);
                ask_newer_peer(&state, peer).await;
            }
            if state.table().is_none() || state.list_age(now) >= LIST_AGE_LIMIT {
                polled.extend(state.peers.borrow().polled(round, POLLED_PEERS, now));
                round = round.wrapping_add(1);
            }
        }
        fetch_snapshots(&state, polled).await;
        ask_peers(&state).await;
    }
}

/// Asks a peer for its newer configuration. A peer whose configuration cannot be used here is not
/// asked for the same one again.
async fn ask_newer_peer(state: &GatewayState, newer: NewerPeer) {
    let peer = SocketAddr::from((newer.address, state.options.peer_address.port()));
    let fetched = fetch_snapshot(state, peer).await;
    let was_answered = match &fetched {
        Ok(()) => true,
        Err(report) => report.current_context().step == PeerStep::Decode,
    };
    // Without a configuration, one that is not current may be refused now and accepted later.
    let is_useless = state.table().is_some() && state.configuration_rank() < newer.rank;
    if was_answered && is_useless {
        let mut refused = state.refused_ranks.borrow_mut();
        refused.insert(newer.address, newer.rank);
    }
    if let Err(report) = fetched {
        log::debug!("{}", crate::describe(&report));
    }
}

/// Asks peers which targets have left, as long as the inquiry needs more answers.
async fn ask_peers(state: &GatewayState) {
    let mut asked = Vec::new();
    for _ in 0..INQUIRY_ROUNDS {
        let now = Instant::now();
        let unasked = {
            let peers = state.peers.borrow();
            let live = peers.live(now).filter(|address| !asked.contains(address));
            state.inquiry.borrow().next_peers(live, now)
        };
        if unasked.is_empty() {
            return;
        }
        asked.extend_from_slice(&unasked);
        fetch_snapshots(state, unasked).await;
    }
}

async fn fetch_snapshots(state: &GatewayState, addresses: Vec<Ipv4Addr>) {
    let port = state.options.peer_address.port();
    let fetches = addresses.into_iter().map(|address| async move {
        let fetched = fetch_snapshot(state, SocketAddr::from((address, port))).await;
        if let Err(report) = fetched {
            log::debug!("{}", crate::describe(&report));
        }
    });
    join_all(fetches).await;
}

/// Returns the peer address of the gateway that reads the store for this gateway's zone; `None` if
/// this gateway does.
pub fn zone_reader(state: &GatewayState, now: Instant) -> Option<SocketAddr> {
    let own = state.own_address()?;
    let reader = state
        .peers
        .borrow()
        .zone_reader(&state.own_zone, own, now)?;
    Some(SocketAddr::from((
        reader,
        state.options.peer_address.port(),
    )))
}

/// Fetches a snapshot from a peer and applies the parts that are newer than this gateway's state.
///
/// # Errors
///
/// Fails if the peer does not answer in time or sends a snapshot that cannot be decoded.
pub async fn fetch_snapshot(state: &GatewayState, peer: SocketAddr) -> Result<()> {
    let (revision, document_era) = state.configuration_rank();
    let list_digest = state.list_digest.get();
    let requested_at = Instant::now();
    let exchange = async {
        let failed = |step| PeerError { step, peer };
        let stream = TcpStream::connect(peer).await;
        let mut frames = snapshot_frames(stream.change_context(failed(PeerStep::Connect))?);
        let request = SnapshotRequest {
            revision,
            list_digest,
            document_era: document_era.value(),
            wants_departures: state.listed_at.get().is_none()
                || state.inquiry.borrow().is_open(requested_at),
        };
        let request = request.encode_to_vec();
        let sent = frames.send(Bytes::from(request)).await;
        sent.change_context(failed(PeerStep::Exchange))?;
        let answer = frames.next().await;
        let answer = answer.ok_or_else(|| Report::new(failed(PeerStep::Exchange)))?;
        let answer = answer.change_context(failed(PeerStep::Exchange))?;
        Snapshot::decode(answer.freeze()).change_context(failed(PeerStep::Decode))
    };
    let step = PeerStep::Exchange;
    let answer = timeout(SNAPSHOT_TIMEOUT, exchange).await;
    let snapshot = answer.map_err(|_| Report::new(PeerError { step, peer }))??;
    apply_snapshot(state, snapshot, list_digest, requested_at, peer)
}

fn apply_snapshot(
    state: &GatewayState,
    snapshot: Snapshot,
    requested_digest: u64,
    requested_at: Instant,
    peer: SocketAddr,
) -> Result<()> {
    for value in [snapshot.list_era, snapshot.configuration_era] {
        state.note_claimed_era(StoreEra::from_value(value));
    }
    let known_era = state.known_era.get();
    let believed = |value| known_era.believed(StoreEra::from_value(value));
    let list_era = believed(snapshot.list_era);
    let configuration_era = believed(snapshot.configuration_era);
    let configuration_age = Duration::from_millis(snapshot.configuration_age_ms);
    let is_current = configuration_age <= state.options.configuration_limit;
    // A peer that is cut off from the store may hold a configuration with API keys that have been
    // revoked. A gateway without a configuration accepts it only if the store cannot be reached from
    // here either. For others, a newer one is better than the one in force: a store restored from a
    // copy may hold an older one than the peers.
    let mut is_document_current = true;
    let is_stuck = state.configuration_failures.get() >= FAILURES_FOR_STALE_DATA;
    if !snapshot.document.is_empty() && (is_current || is_stuck || state.table().is_some()) {
        match decode_configuration(&snapshot.document) {
            Ok(table) => {
                let document_era = believed(snapshot.document_era);
                state.apply_table(table, snapshot.document, document_era, "peer");
            }
            Err(report) => {
                state.note_rejected_document(peer, &snapshot.document, &report);
                is_document_current = false;
            }
        }
    }
    let zones = snapshot.emptied_zones.as_ref();
    state.note_snapshot_zones(zones, is_current || is_stuck, is_stuck, requested_at);
    let ago = |age_ms| requested_at.checked_sub(Duration::from_millis(age_ms));
    let configured_at = ago(snapshot.configuration_age_ms);
    let is_confirmed = is_document_current && known_era.covers(configuration_era);
    if is_confirmed && configured_at > state.configured_at.get() {
        state.configured_at.set(configured_at);
        state.configuration_era.set(configuration_era);
    }
    // The list's age counts from when it was read from the store, not from this request.
    let read_at = ago(snapshot.list_age_ms);
    // An old list shows targets that have left. A gateway that has just started accepts it only if
    // the store cannot be reached.
    let is_covered = known_era.covers(list_era);
    let is_recent = Duration::from_millis(snapshot.list_age_ms) <= OUTAGE_AGE;
    let is_usable = is_recent && is_covered || state.list_failures.get() >= FAILURES_FOR_STALE_DATA;
    let own_era = state.list_era.get();
    let is_newer = match (read_at, state.listed_at.get()) {
        (_, None) => true,
        (_, Some(_)) if list_era.is_named() && own_era.is_named() && list_era != own_era => {
            list_era > own_era
        }
        (Some(read_at), Some(listed_at)) => read_at > listed_at,
        (None, Some(_)) => false,
    };
    // The reply refers to the digest that was sent. If this gateway's list has been replaced since,
    // the reply says nothing about the new one; the next request will.
    let is_unchanged = snapshot.list_unchanged && state.list_digest.get() == requested_digest;
    let list = target_list(snapshot.targets, is_covered);
    if is_usable && is_newer && (is_unchanged || !list.entries.is_empty()) {
        if state.list_age(requested_at) > OUTAGE_AGE {
            let regained_at = read_at.unwrap_or(requested_at);
            state.roster.borrow_mut().note_list_regained(regained_at);
        }
        let read_at = read_at.unwrap_or(requested_at);
        let era = list_era.max(own_era);
        if is_unchanged {
            state.renew_listing(era, read_at, "peer");
        } else {
            state.apply_listing(list, era, read_at, "peer");
        }
    }
    let departures = snapshot.departures.into_iter();
    let departures = departures.map(|record| TargetDeparture {
        id: record.id.into(),
        started_at_ms: record.started_at_ms,
    });
    state.note_departures(departures.collect(), requested_at);
    if let Some(address) = ipv4(peer.ip()) {
        state.note_inquiry_answer(address, snapshot.informed);
    }
    Ok(())
}
