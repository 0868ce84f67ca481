//! Replays of loads above the capacity of a service, at many gateways that know each other's demand
//! with a delay.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sassafrasslip_core::dispatch::{
        ArrivalRate, DemandNews, DemandReport, DispatchQueue, OverloadPlan, ServiceCapacity,
        ServiceDemand, WaitKey, WaitingRequest,
    },
    sassafrasslip_testkit::test_cases,
    std::{
        collections::{HashMap, VecDeque},
        net::Ipv4Addr,
        time::Duration,
    },
    tokio::time::Instant,
};

const SERVICE: u32 = 7;
const CAPACITY: ServiceCapacity = ServiceCapacity {
    limit: 480,
    length: Duration::from_millis(2_400),
};

/// Requests a second that the capacity serves.
const SERVED_PER_S: f64 = 200.0;

fn request(arrived_at: Instant, is_return: bool) -> WaitingRequest {
    let on_time = arrived_at + Duration::from_millis(150);
    let timeout = Duration::from_millis(if is_return { 5_000 } else { 8_000 });
    WaitingRequest {
        priority: 1,
        on_time_until: if is_return {
            arrived_at - Duration::from_nanos(1)
        } else {
            on_time
        },
        start_until: arrived_at + Duration::from_millis(1_750),
        arrived_at,
        deadline: arrived_at + timeout,
        can_return: !is_return,
    }
}

#[derive(Default)]
struct FakeGateway {
    queue: DispatchQueue,
    arrivals: ArrivalRate,
    news: DemandNews,
    late_running: u32,
}

impl FakeGateway {
    fn demand(&mut self, now: Instant) -> ServiceDemand {
        ServiceDemand {
            arrivals_per_s: self.arrivals.per_second(now),
            late_running: self.late_running,
            late_waiting: self.queue.late_count(now) as u32,
        }
    }
}

/// Requests by the second of their start or refusal.
#[derive(Clone, Copy, Default)]
struct SecondCount {
    on_time: u32,
    late: u32,
    refused_again: u32,
}

/// Replays a load, given as a multiple of the capacity by time, over `gateways` gateways whose
/// reports take a second. Refused callers return once, when they were told to.
fn replay(gateways: usize, is_planned: bool, load: impl Fn(f64) -> f64) -> Vec<SecondCount> {
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now() + Duration::from_secs(60);
    let mut random = StdRng::seed_from_u64(3);
    let mut fleet: Vec<_> = (0..gateways).map(|_| FakeGateway::default()).collect();
    let mut running: VecDeque<(Instant, usize, bool)> = VecDeque::new();
    let mut returns: Vec<Instant> = Vec::new();
    let mut seconds = vec![SecondCount::default(); 20];
    for step in 0_u32..2_000 {
        let now = start + STEP * step;
        let at = (now - start).as_secs_f64();
        let count = &mut seconds[at as usize];
        while running.front().is_some_and(|(end, _, _)| *end <= now) {
            let (_, gateway, is_late) = running.pop_front().unwrap();
            fleet[gateway].late_running -= u32::from(is_late);
        }
        let expected = SERVED_PER_S * load(at) * STEP.as_secs_f64();
        for _ in 0..(expected + random.random::<f64>()) as u32 {
            let gateway = &mut fleet[random.random_range(0..gateways)];
            gateway.arrivals.record(now);
            gateway.queue.push(request(now, false));
        }
        let due: Vec<_> = returns.extract_if(.., |at| *at <= now).collect();
        for _ in due {
            fleet[random.random_range(0..gateways)]
                .queue
                .push(request(now, true));
        }
        if step % 100 == 0 && is_planned {
            exchange_reports(&mut fleet, now);
        }
        let first = random.random_range(0..gateways);
        for offset in 0..gateways {
            let index = (first + offset) % gateways;
            let gateway = &mut fleet[index];
            if gateway.queue.is_empty() {
                continue;
            }
            if is_planned {
                let own = gateway.demand(now);
                let all = own.plus(gateway.news.total(SERVICE, now));
                let plan = OverloadPlan::new(&own, &all, &CAPACITY);
                gateway.queue.set_plan(plan);
            }
            for key in gateway.queue.order(now) {
                let is_late = gateway.queue.is_late(key, now);
                let allows = !is_late || gateway.queue.allows_late(key, gateway.late_running);
                if allows && running.len() < CAPACITY.limit as usize {
                    gateway.queue.start(key, now);
                    gateway.late_running += u32::from(is_late);
                    running.push_back((now + CAPACITY.length, index, is_late));
                    count.late += u32::from(is_late);
                    count.on_time += u32::from(!is_late);
                }
            }
            let requests: HashMap<WaitKey, WaitingRequest> = gateway
                .queue
                .requests()
                .map(|(key, request)| (key, *request))
                .collect();
            let mut refused = gateway.queue.refuse_unservable(None, now);
            refused.extend(gateway.queue.refuse_late(gateway.late_running, now));
            for (key, refusal) in refused {
                if requests[&key].can_return {
                    returns.push(now + refusal.retry_after);
                } else {
                    count.refused_again += 1;
                }
            }
        }
    }
    seconds
}

fn exchange_reports(fleet: &mut [FakeGateway], now: Instant) {
    let reports: Vec<_> = fleet
        .iter_mut()
        .map(|gateway| DemandReport {
            demand: gateway.demand(now),
            capacity: Some(CAPACITY),
        })
        .collect();
    for (index, gateway) in fleet.iter_mut().enumerate() {
        for (peer, report) in reports
            .iter()
            .enumerate()
            .filter(|(peer, _)| *peer != index)
        {
            let address = Ipv4Addr::from(peer as u32);
            gateway.news.record(address, [(SERVICE, *report)], now);
        }
    }
}

fn sum(seconds: &[SecondCount], figure: impl Fn(&SecondCount) -> u32) -> f64 {
    f64::from(seconds.iter().map(figure).sum::<u32>())
}

/// While the load is above the capacity, nine tenths of the starts are on time; otherwise places
/// are lost to late requests of other gateways.
fn check_goodput(gateways: usize, multiple: f64) {
    let seconds = replay(gateways, true, |at| {
        if (4.0..12.0).contains(&at) {
            multiple
        } else {
            0.7
        }
    });
    let on_time = sum(&seconds[5..12], |second| second.on_time);
    assert!(on_time >= 0.9 * 7.0 * SERVED_PER_S, "{on_time}");
    // The demand is below the capacity from 12 s on, and one length later all of it is on time.
    let after = sum(&seconds[15..20], |second| second.on_time);
    assert!(after >= 0.95 * 5.0 * 0.7 * SERVED_PER_S, "{after}");
}

test_cases! {
    fn check_goodput(gateways: usize, multiple: f64);
    one_gateway_at_twice_the_capacity: (1, 2.0);
    sixty_four_gateways_a_little_above_the_capacity: (64, 1.2);
    sixty_four_gateways_at_three_times_the_capacity: (64, 3.0);
}

/// A wave of demand whose top is above the capacity. The trough has room for callers that return,
/// and uses it.
#[test]
fn returning_callers_are_served_in_the_trough_of_a_wave() {
    let wave = |at: f64| 0.9 + 0.5 * (at * std::f64::consts::TAU / 10.0).sin();
    let seconds = replay(64, true, wave);
    let late = sum(&seconds, |second| second.late);
    let again = sum(&seconds, |second| second.refused_again);
    assert!(late > again, "late {late}, refused again {again}");
}

/// Without demand above the capacity nothing is refused, although some requests come back late.
#[test]
fn nothing_is_refused_below_the_capacity() {
    let capacity = CAPACITY;
    let own = ServiceDemand {
        arrivals_per_s: 100.0,
        late_running: 0,
        late_waiting: 1,
    };
    let plan = OverloadPlan::new(&own, &own, &capacity);
    assert!(!plan.is_overloaded);
    let now = Instant::now() + Duration::from_secs(60);
    let mut queue = DispatchQueue::default();
    queue.set_plan(plan);
    queue.push(request(now, true));
    assert!(queue.refuse_late(0, now).is_empty());
    assert_eq!(plan.late_wait(0, 0.99), Some(Duration::ZERO));
}

/// A caller without any expected place is told the latest time that it honours, a third of its
/// remaining time, and not the earliest.
#[test]
fn hopeless_requests_are_refused_at_once_and_return_late() {
    let now = Instant::now() + Duration::from_secs(60);
    let own = ServiceDemand {
        arrivals_per_s: 400.0,
        late_running: 0,
        late_waiting: 1,
    };
    let mut queue = DispatchQueue::default();
    queue.set_plan(OverloadPlan::new(&own, &own, &CAPACITY));
    queue.push(request(now, false));
    assert!(queue.refuse_late(0, now).is_empty());
    let later = now + Duration::from_millis(151);
    let refused = queue.refuse_late(0, later);
    let (_, refusal) = refused.first().expect("the late request is refused");
    assert_eq!(refusal.retry_after, Duration::from_millis(7_849) / 3);
}

/// A gateway that has stopped reporting must not keep others from starting late requests, and one of
/// an older version, which names no demand, counts as idle.
#[test]
fn silent_and_older_peers_do_not_count() {
    let now = Instant::now();
    let demand = ServiceDemand {
        arrivals_per_s: 50.0,
        late_running: 2,
        late_waiting: 3,
    };
    let report = DemandReport {
        demand,
        capacity: None,
    };
    let (first, second) = (Ipv4Addr::from(1), Ipv4Addr::from(2));
    let mut news = DemandNews::default();
    news.record(first, [(SERVICE, report)], now);
    news.record(second, [(SERVICE, report)], now + Duration::from_secs(2));
    assert_eq!(news.total(SERVICE, now), demand.plus(demand));
    let later = now + Duration::from_secs(4);
    assert_eq!(news.total(SERVICE, later), demand);
    news.record(second, [], later);
    assert_eq!(news.total(SERVICE, later), ServiceDemand::default());
}

/// Without a known capacity, a queue must refuse what it refused before the gateways shared their
/// demand, and for the same reasons.
#[test]
fn queue_without_a_plan_refuses_nothing_for_being_late() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut queue = DispatchQueue::default();
    queue.push(request(now - Duration::from_secs(2), false));
    queue.push(request(now - Duration::from_millis(500), false));
    assert_eq!(queue.refuse_late(3, now), []);
}

/// The figures of the gateways vary, and each end of an overload changes the order of starts.
#[test]
fn overload_ends_below_the_capacity() {
    let plan = |arrivals_per_s| {
        let demand = ServiceDemand {
            arrivals_per_s,
            ..ServiceDemand::default()
        };
        OverloadPlan::new(&demand, &demand, &CAPACITY)
    };
    assert!(!plan(SERVED_PER_S * 0.98).following(false).is_overloaded);
    assert!(plan(SERVED_PER_S * 0.98).following(true).is_overloaded);
    assert!(!plan(SERVED_PER_S * 0.94).following(true).is_overloaded);
}

/// A gateway whose own streams have not ended yet uses what its peers have measured.
#[test]
fn length_is_known_from_peers() {
    let now = Instant::now();
    let mut news = DemandNews::default();
    assert_eq!(news.mean_length(SERVICE, now), None);
    let report = DemandReport {
        demand: ServiceDemand::default(),
        capacity: Some(CAPACITY),
    };
    news.record(Ipv4Addr::LOCALHOST, [(SERVICE, report)], now);
    assert_eq!(news.mean_length(SERVICE, now), Some(CAPACITY.length));
}
