//! Reports of engines and orders to them, over channels of their own.

use {
    super::channels::TargetChannel,
    bytes::Bytes,
    http::{Method, header::CONTENT_TYPE, header::HOST},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode},
    sassafrasslip_core::{
        dispatch::{
            GroupView, OrderOutcome, RankControl, RankOrder, RankStatus, TargetId,
            channel_plan::idle_limit, map_switch::RankIndex,
        },
        events::LogEvent::OrderMissed,
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
            encode_order,
        },
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Time for an answer of an engine, besides that for sending the call. It answers in some
/// milliseconds; an order that is not answered by then is given again. A held group waits for the
/// slowest of its orders.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(35);

/// Rates at which a map is taken to leave this gateway and to reach an engine, in bytes a second.
/// Maps of large groups fill the link of a gateway for longer than an engine takes to answer.
const GATEWAY_RATE: f64 = 10e6;
const ENGINE_RATE: f64 = 700e3;

/// Largest answer of an engine, in bytes: the counts of some thousand experts.
const MOST_ANSWER_BYTES: usize = 1024 * 1024;

/// Rank of a group and where its engine is.
#[derive(Debug)]
pub struct EngineSeat {
    /// Name of the target.
    pub target: TargetId,
    /// Address.
    pub address: SocketAddr,
    channel: RefCell<Option<KeptChannel>>,
}

#[derive(Debug)]
struct KeptChannel {
    channel: TargetChannel,
    since: Instant,
}

/// Orders that were given since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderTally {
    /// All orders.
    pub given: u32,
    /// Orders that did not fit the state of the rank.
    pub refused: u32,
    /// Orders without an answer.
    pub unanswered: u32,
}

/// Engines of a group in one formation, in the order of their ranks.
#[derive(Debug)]
pub struct GroupEngines {
    /// Group.
    pub group: GroupName,
    /// Number of the formation.
    pub epoch: u64,
    seats: Vec<EngineSeat>,
    tally: Cell<OrderTally>,
}

impl GroupEngines {
    /// Creates the engines from their names and addresses, in the order of their ranks.
    pub fn new(group: GroupName, epoch: u64, seats: Vec<(TargetId, SocketAddr)>) -> Self {
        let seats = seats.into_iter().map(|(target, address)| EngineSeat {
            target,
            address,
            channel: RefCell::new(None),
        });
        Self {
            group,
            epoch,
            seats: seats.collect(),
            tally: Cell::default(),
        }
    }

    /// Returns whether these are the engines of a formation at the given targets.
    pub fn is_at<'a>(
        &self,
        epoch: u64,
        seats: impl ExactSizeIterator<Item = (&'a TargetId, SocketAddr)>,
    ) -> bool {
        let known = self.seats.iter();
        let is_same = |(known, (target, address)): (&EngineSeat, (&TargetId, SocketAddr))| {
            known.target == *target && known.address == address
        };
        self.epoch == epoch && known.len() == seats.len() && known.zip(seats).all(is_same)
    }

    /// Returns the orders since the tally was last taken.
    pub fn tally(&self) -> OrderTally {
        self.tally.get()
    }

    /// Takes the tally of orders.
    pub fn take_tally(&self) -> OrderTally {
        self.tally.take()
    }

    /// Reads the report of a rank; `None` if it does not answer or is in another formation.
    pub async fn status(&self, rank: RankIndex) -> Option<RankStatus> {
        let body = self.get(rank, REPORT_PATH).await?;
        let status = decode_report(&body).ok()?;
        (status.epoch == self.epoch).then_some(status)
    }

    /// Reads the state of the group from the report of a rank, in whichever formation it is.
    pub async fn formation(&self, rank: RankIndex) -> Option<GroupView> {
        let body = self.get(rank, REPORT_PATH).await?;
        decode_group_view(&body).ok()
    }

    /// Returns whether a rank answers at all, if only to say that another target has its address.
    pub async fn answers(&self, rank: RankIndex) -> bool {
        let answer = self.call(rank, Method::GET, REPORT_PATH, Bytes::new());
        answer.await.is_some()
    }

    /// Reads the choices of a rank's requests.
    pub async fn picks(&self, rank: RankIndex) -> Option<ExpertActivations> {
        let body = self.get(rank, ACTIVATIONS_PATH).await?;
        let picks = decode_activations(&body).ok()?;
        (picks.epoch == self.epoch).then_some(picks)
    }

    /// Reads the map in use from what every rank holds.
    pub async fn map_in_use(&self, sets: usize, experts: usize) -> Option<ExpertMap> {
        let mut holders = vec![vec![Vec::new(); experts]; sets];
        let bodies = (0..self.seats.len()).map(|rank| self.get(rank, LOADED_EXPERTS_PATH));
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

    /// Calls an engine; `None` if it does not answer in time.
    async fn call(
        &self,
        rank: RankIndex,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let seat = self.seats.get(rank)?;
        let limit = answer_limit(body.len(), self.seats.len());
        let exchange = async {
            let mut channel = match seat.take_channel() {
                Some(channel) => channel,
                None => TargetChannel::open(seat.address).await.ok()?,
            };
            let request = request(seat, method, path, body)?;
            let response = channel.exchange(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MOST_ANSWER_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            let since = Instant::now();
            *seat.channel.borrow_mut() = Some(KeptChannel { channel, since });
            Some((status, body))
        };
        timeout(limit, exchange).await.ok().flatten()
    }
}

impl EngineSeat {
    /// Takes the kept channel, unless it has been idle for so long that the engine may close it.
    fn take_channel(&self) -> Option<TargetChannel> {
        let kept = self.channel.borrow_mut().take()?;
        let is_fresh = kept.since.elapsed() < idle_limit(None);
        (is_fresh && kept.channel.is_open()).then_some(kept.channel)
    }
}

/// Returns the time for a call with a body of `bytes` that goes to `ranks` engines at once.
fn answer_limit(bytes: usize, ranks: usize) -> Duration {
    let bytes = bytes as f64;
    let sending = bytes * ranks as f64 / GATEWAY_RATE + bytes / ENGINE_RATE;
    ANSWER_TIMEOUT + Duration::from_secs_f64(sending)
}

fn request(
    seat: &EngineSeat,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let (name, value) = expected_target(&seat.target)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, seat.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(name, value);
    request.body(Full::from(body)).ok()
}

impl RankControl for GroupEngines {
    fn ranks(&self) -> usize {
        self.seats.len()
    }

    async fn order(&self, rank: RankIndex, order: RankOrder) -> OrderOutcome {
        let outcome = match encode_order(&order, self.epoch, self.seats.len()) {
            Ok(body) => {
                let answer = self.call(rank, Method::POST, ORDER_PATH, body).await;
                answer.map_or(OrderOutcome::Unanswered, |(status, _)| {
                    decode_order_outcome(status)
                })
            }
            Err(error) => {
                log::error!("order cannot be encoded: {error}");
                OrderOutcome::Refused
            }
        };
        let mut tally = self.tally.get();
        tally.given += 1;
        match outcome {
            OrderOutcome::Accepted => {}
            OrderOutcome::Refused => tally.refused += 1,
            OrderOutcome::Unanswered => tally.unanswered += 1,
        }
        self.tally.set(tally);
        // A change gives hundreds of orders; those that are carried out are counted in its line.
        if outcome != OrderOutcome::Accepted {
            log_event!(
                OrderMissed,
                group = self.group,
                epoch = self.epoch,
                rank = rank,
                order = name(&order),
                outcome = format_args!("{outcome:?}")
            );
        }
        outcome
    }
}

fn name(order: &RankOrder) -> &'static str {
    match order {
        RankOrder::Arm { .. } => "arm",
        RankOrder::Disarm { .. } => "disarm",
        RankOrder::Hold { .. } => "hold",
        RankOrder::Prepare { .. } => "prepare",
        RankOrder::Release { .. } => "release",
    }
}
