//! Control channel to the engines of a model group: reads their reports and sends them orders.
//!
//! An engine runs one rank of a group. The connections here are separate from the pooled ones that
//! carry requests of callers.

use {
    super::{
        answer_budget::{AnswerBudget, SMALL_ANSWER_BYTES},
        channels::TargetChannel,
    },
    bytes::Bytes,
    http::{Method, header::CONTENT_TYPE, header::HOST},
    http_body_util::Full,
    hyper::{Request, StatusCode},
    sassafrasslip_core::{
        dispatch::{
            GroupView, OrderOutcome, RankControl, RankOrder, RankStatus, Slowdown, TargetId,
            channel_plan::idle_limit, map_switch::RankIndex,
        },
        events::LogEvent::{OrderMissed, SlowdownUnreadable},
        ids::GroupName,
        log_event,
        placement::{ExpertMap, ExpertNumber, RankNumber},
    },
    sassafrasslip_platform::{
        ExpertActivations,
        caller::expected_target,
        engine::{
            ACTIVATIONS_PATH, LOADED_EXPERTS_PATH, ORDER_PATH, REPORT_PATH, decode_activations,
            decode_group_view, decode_loaded_experts, decode_order_outcome, decode_report,
            decode_slowdown, encode_order,
        },
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Timeout of a call to an engine, not counting the time to send its body. Engines answer within a
/// few milliseconds. An order that is not answered by then is sent again, and meanwhile a held
/// group waits for the slowest of its orders.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(35);

/// Assumed rate at which a gateway sends maps, in bytes per second. Sending the maps of a large
/// group takes the gateway longer than an engine takes to answer.
const GATEWAY_RATE: f64 = 10e6;

/// Assumed rate at which one engine receives a map, in bytes per second.
const ENGINE_RATE: f64 = 700e3;

/// Largest list of experts or of their counts that an engine sends, in bytes. The longest ones are
/// the counts of some thousand experts. Other answers are small.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// Bytes that the answers of all ranks of a group may take together while they are read.
const MAX_COLLECTED_BYTES: usize = 8 * 1024 * 1024;

/// Engine of one rank, with the connection that is kept to it.
#[derive(Debug)]
pub struct EngineEndpoint {
    /// Id of the target that runs the engine.
    pub target: TargetId,
    /// Address of the engine.
    pub address: SocketAddr,
    channel: RefCell<Option<IdleChannel>>,
    /// Whether the log says that its reports have no usable slowdown.
    has_logged_slowdown: Cell<bool>,
}

#[derive(Debug)]
struct IdleChannel {
    channel: TargetChannel,
    since: Instant,
}

/// Numbers of orders that were sent to the engines of a group since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderStats {
    /// All orders, whatever their outcome.
    pub given: u32,
    /// Orders that the engine refused because they do not fit the rank's state, or that could not
    /// be encoded.
    pub refused: u32,
    /// Orders that were not answered before the timeout.
    pub unanswered: u32,
}

/// Engines of one formation of a group, in the order of their ranks.
#[derive(Debug)]
pub struct GroupEngines {
    /// Name of the group.
    pub group: GroupName,
    /// Epoch of the formation; it increases each time the group forms again.
    pub epoch: u64,
    endpoints: Vec<EngineEndpoint>,
    stats: Cell<OrderStats>,
    budget: AnswerBudget,
}

impl GroupEngines {
    /// Creates the engines from their target ids and addresses, in the order of their ranks. Opens
    /// no connection yet.
    pub fn new(group: GroupName, epoch: u64, endpoints: Vec<(TargetId, SocketAddr)>) -> Self {
        let endpoints = endpoints
            .into_iter()
            .map(|(target, address)| EngineEndpoint {
                target,
                address,
                channel: RefCell::new(None),
                has_logged_slowdown: Cell::new(false),
            });
        Self {
            group,
            epoch,
            endpoints: endpoints.collect(),
            stats: Cell::default(),
            budget: AnswerBudget::new(MAX_COLLECTED_BYTES),
        }
    }

    /// Returns whether these are the engines of formation `epoch` at exactly the given targets and
    /// addresses.
    pub fn matches<'a>(
        &self,
        epoch: u64,
        endpoints: impl ExactSizeIterator<Item = (&'a TargetId, SocketAddr)>,
    ) -> bool {
        let known = self.endpoints.iter();
        let is_same = |(known, (target, address)): (&EngineEndpoint, (&TargetId, SocketAddr))| {
            known.target == *target && known.address == address
        };
        self.epoch == epoch && known.len() == endpoints.len() && known.zip(endpoints).all(is_same)
    }

    /// Returns the numbers of orders since the last reset.
    pub fn stats(&self) -> OrderStats {
        self.stats.get()
    }

    /// Returns the numbers of orders and resets them to 0.
    pub fn take_stats(&self) -> OrderStats {
        self.stats.take()
    }

    /// Reads the report of a rank; `None` if the rank does not answer in time or is in another
    /// formation.
    pub async fn status(&self, rank: RankIndex) -> Option<RankStatus> {
        let body = self.get(rank, REPORT_PATH).await?;
        let status = decode_report(&body).ok()?;
        (status.epoch == self.epoch).then_some(status)
    }

    /// Reads how slow a rank is from its report; `None` if the rank does not answer in time, is in
    /// another formation, or reports no slowdown that can be used.
    pub async fn slowdown(&self, rank: RankIndex) -> Option<Slowdown> {
        let body = self.get(rank, REPORT_PATH).await?;
        match decode_slowdown(&body) {
            Ok((epoch, slowdown)) => (epoch == self.epoch).then_some(slowdown),
            Err(error) => {
                let endpoint = self.endpoints.get(rank)?;
                if !endpoint.has_logged_slowdown.replace(true) {
                    log_event!(
                        SlowdownUnreadable,
                        target = endpoint.target,
                        group = self.group,
                        rank = rank,
                        fault = error
                    );
                }
                None
            }
        }
    }

    /// Returns the target that runs a rank; `None` if there is no such rank.
    pub fn target(&self, rank: RankIndex) -> Option<&TargetId> {
        self.endpoints.get(rank).map(|endpoint| &endpoint.target)
    }

    /// Reads the state of the group from the report of a rank, whatever formation the rank is in;
    /// `None` if it does not answer in time.
    pub async fn formation(&self, rank: RankIndex) -> Option<GroupView> {
        let body = self.get(rank, REPORT_PATH).await?;
        decode_group_view(&body).ok()
    }

    /// Returns whether anything answers at the address of a rank, even if only to say that another
    /// target runs there.
    pub async fn answers(&self, rank: RankIndex) -> bool {
        let answer = self.call(rank, Method::GET, REPORT_PATH, Bytes::new());
        answer.await.is_some()
    }

    /// Reads how often the requests on a rank have chosen each expert; `None` if the rank does not
    /// answer in time or is in another formation.
    pub async fn activations(&self, rank: RankIndex) -> Option<ExpertActivations> {
        let body = self.get(rank, ACTIVATIONS_PATH).await?;
        let activations = decode_activations(&body).ok()?;
        (activations.epoch == self.epoch).then_some(activations)
    }

    /// Builds the map in use from the experts that every rank holds, with version 0; `None` unless
    /// all ranks answer and their experts make a valid map.
    pub async fn map_in_use(&self, sets: usize, experts: usize) -> Option<ExpertMap> {
        let mut holders = vec![vec![Vec::new(); experts]; sets];
        let bodies = (0..self.endpoints.len()).map(|rank| self.get(rank, LOADED_EXPERTS_PATH));
        let bodies = futures_util::future::join_all(bodies).await;
        for (rank, body) in bodies.into_iter().enumerate() {
            let body = body?;
            let held: Vec<Vec<ExpertNumber>> = decode_loaded_experts(&body).ok()?;
            for (set, held) in held.iter().enumerate() {
                for expert in held {
                    let holders = holders.get_mut(set)?.get_mut(usize::from(*expert))?;
                    holders.push(rank as RankNumber);
                }
            }
        }
        ExpertMap::from_layers(0, &holders).ok()
    }

    async fn get(&self, rank: RankIndex, path: &'static str) -> Option<Bytes> {
        let (status, body) = self.call(rank, Method::GET, path, Bytes::new()).await?;
        (status == StatusCode::OK).then_some(body)
    }

    /// Sends a request to the engine of a rank; `None` if it does not answer in time.
    async fn call(
        &self,
        rank: RankIndex,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let endpoint = self.endpoints.get(rank)?;
        let limit = call_timeout(body.len(), self.endpoints.len());
        let exchange = async {
            let mut channel = match endpoint.take_channel() {
                Some(channel) => channel,
                None => TargetChannel::open(endpoint.address).await.ok()?,
            };
            let request = build_request(endpoint, method, path, body)?;
            let response = channel.exchange(request).await.ok()?;
            let status = response.status();
            let body = response.into_body();
            let body = self.budget.collect(body, answer_limit(path)).await?;
            let since = Instant::now();
            *endpoint.channel.borrow_mut() = Some(IdleChannel { channel, since });
            Some((status, body))
        };
        timeout(limit, exchange).await.ok().flatten()
    }
}

impl EngineEndpoint {
    /// Takes the idle connection, unless it has been idle for so long that the engine may close it.
    fn take_channel(&self) -> Option<TargetChannel> {
        let idle = self.channel.borrow_mut().take()?;
        let is_fresh = idle.since.elapsed() < idle_limit(None);
        (is_fresh && idle.channel.is_open()).then_some(idle.channel)
    }
}

/// Returns the timeout of a call with a body of `bytes` that is sent to `ranks` engines at the same
/// time.
fn call_timeout(bytes: usize, ranks: usize) -> Duration {
    let bytes = bytes as f64;
    let sending = bytes * ranks as f64 / GATEWAY_RATE + bytes / ENGINE_RATE;
    ANSWER_TIMEOUT + Duration::from_secs_f64(sending)
}

/// Returns the largest body of an answer to a call, in bytes.
fn answer_limit(path: &str) -> usize {
    match path {
        ACTIVATIONS_PATH | LOADED_EXPERTS_PATH => MAX_LIST_BYTES,
        _ => SMALL_ANSWER_BYTES,
    }
}

fn build_request(
    endpoint: &EngineEndpoint,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let (name, value) = expected_target(&endpoint.target)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, endpoint.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(name, value);
    request.body(Full::from(body)).ok()
}

impl RankControl for GroupEngines {
    fn ranks(&self) -> usize {
        self.endpoints.len()
    }

    async fn order(&self, rank: RankIndex, order: RankOrder) -> OrderOutcome {
        let outcome = match encode_order(&order, self.epoch, self.endpoints.len()) {
            Ok(body) => {
                let answer = self.call(rank, Method::POST, ORDER_PATH, body).await;
                answer.map_or(OrderOutcome::Unanswered, |(status, _)| {
                    decode_order_outcome(status)
                })
            }
            Err(error) => {
                log::error!("cannot encode an order to an engine: {error}");
                OrderOutcome::Refused
            }
        };
        let mut stats = self.stats.get();
        stats.given += 1;
        match outcome {
            OrderOutcome::Accepted => {}
            OrderOutcome::Refused => stats.refused += 1,
            OrderOutcome::Unanswered => stats.unanswered += 1,
        }
        self.stats.set(stats);
        // A map change sends hundreds of orders. Accepted ones are only counted, in the log line of
        // the change.
        if outcome != OrderOutcome::Accepted {
            log_event!(
                OrderMissed,
                group = self.group,
                epoch = self.epoch,
                rank = rank,
                order = order_name(&order),
                outcome = format_args!("{outcome:?}")
            );
        }
        outcome
    }
}

fn order_name(order: &RankOrder) -> &'static str {
    match order {
        RankOrder::Arm { .. } => "arm",
        RankOrder::Disarm { .. } => "disarm",
        RankOrder::Hold { .. } => "hold",
        RankOrder::Prepare { .. } => "prepare",
        RankOrder::Release { .. } => "release",
    }
}
