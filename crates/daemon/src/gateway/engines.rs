//! Reports of engines and orders to them, over channels of their own.

use {
    super::channels::TargetChannel,
    bytes::Bytes,
    http::{Method, header::CONTENT_TYPE, header::HOST},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode},
    sassafrasslip_core::{
        dispatch::{
            OrderOutcome, RankControl, RankOrder, RankStatus, TargetId, map_switch::RankIndex,
        },
        events::LogEvent::OrderGiven,
        ids::GroupName,
        log_event,
        placement::{ExpertMap, ExpertNumber, RankNumber},
    },
    sassafrasslip_platform::{
        ExpertPicks,
        caller::expected_target,
        engine::{
            COUNTS_PATH, HOLDINGS_PATH, ORDER_PATH, REPORT_PATH, decode_holdings,
            decode_order_outcome, decode_picks, decode_report, encode_order,
        },
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Time for an answer of an engine. It answers in some milliseconds; an order that is not answered
/// by then is given again. A held group waits for the slowest of its orders.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(35);

/// Largest answer of an engine, in bytes: the counts of some thousand experts.
const MOST_ANSWER_BYTES: usize = 1024 * 1024;

/// Rank of a group and where its engine is.
#[derive(Debug)]
pub struct EngineSeat {
    /// Name of the target.
    pub target: TargetId,
    /// Address.
    pub address: SocketAddr,
    channel: RefCell<Option<TargetChannel>>,
}

/// Engines of a group in one formation, in the order of their ranks.
#[derive(Debug)]
pub struct GroupEngines {
    /// Group.
    pub group: GroupName,
    /// Number of the formation.
    pub epoch: u64,
    seats: Vec<EngineSeat>,
    unanswered: Cell<u32>,
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
            unanswered: Cell::new(0),
        }
    }

    /// Returns the orders that were not answered.
    pub fn unanswered(&self) -> u32 {
        self.unanswered.get()
    }

    /// Reads the report of a rank; `None` if it does not answer or is in another formation.
    pub async fn status(&self, rank: RankIndex) -> Option<RankStatus> {
        let body = self.get(rank, REPORT_PATH).await?;
        let status = decode_report(&body).ok()?;
        (status.epoch == self.epoch).then_some(status)
    }

    /// Reads the choices of a rank's requests.
    pub async fn picks(&self, rank: RankIndex) -> Option<ExpertPicks> {
        let body = self.get(rank, COUNTS_PATH).await?;
        let picks = decode_picks(&body).ok()?;
        (picks.epoch == self.epoch).then_some(picks)
    }

    /// Reads the map in use from what every rank holds.
    pub async fn map_in_use(&self, sets: usize, experts: usize) -> Option<ExpertMap> {
        let mut holders = vec![vec![Vec::new(); experts]; sets];
        let bodies = (0..self.seats.len()).map(|rank| self.get(rank, HOLDINGS_PATH));
        let bodies = futures_util::future::join_all(bodies).await;
        for (rank, body) in bodies.into_iter().enumerate() {
            let body = body?;
            let held: Vec<Vec<ExpertNumber>> = decode_holdings(&body).ok()?;
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
        let exchange = async {
            let kept = seat.channel.borrow_mut().take();
            let mut channel = match kept {
                Some(channel) if channel.is_open() => channel,
                _ => TargetChannel::open(seat.address).await.ok()?,
            };
            let request = request(seat, method, path, body)?;
            let response = channel.exchange(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MOST_ANSWER_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            *seat.channel.borrow_mut() = Some(channel);
            Some((status, body))
        };
        timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()
    }
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
        if outcome == OrderOutcome::Unanswered {
            self.unanswered.set(self.unanswered.get() + 1);
        }
        log_event!(
            OrderGiven,
            group = self.group,
            epoch = self.epoch,
            rank = rank,
            order = name(&order),
            outcome = format_args!("{outcome:?}")
        );
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
