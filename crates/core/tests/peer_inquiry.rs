//! Guards against a gateway that takes the copy from which the store was restored for the present,
//! because it asked no peer, or only peers that know as little.

use {
    sassafrasslip_core::dispatch::{
        PeerInquiry, PeerReport, PeerTable, peer_inquiry::START_WAIT,
        store_history::CONFIRMATION_LIMIT,
    },
    std::{collections::HashSet, net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

fn peer(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

fn peers(count: u8) -> impl Iterator<Item = Ipv4Addr> {
    (1..=count).map(peer)
}

#[test]
fn gateway_of_a_store_that_was_not_restored_asks_nobody() {
    let now = Instant::now();
    let inquiry = PeerInquiry::default();
    assert!(inquiry.next_peers(peers(3), now).is_empty());
    assert!(inquiry.is_informed(now));
    assert!(!inquiry.delays_start(now));
}

#[test]
fn answers_of_peers_that_know_nothing_do_not_end_the_inquiry() {
    let now = Instant::now();
    let mut inquiry = PeerInquiry::default();
    inquiry.begin(false, now);
    assert_eq!(inquiry.next_peers(peers(4), now), [peer(1), peer(2)]);
    inquiry.record_answer(peer(1), false);
    inquiry.record_answer(peer(2), false);
    assert!(inquiry.delays_start(now));
    assert_eq!(inquiry.next_peers(peers(4), now), [peer(3), peer(4)]);
    inquiry.record_answer(peer(3), true);
    assert!(inquiry.is_informed(now));
    assert!(!inquiry.delays_start(now));
    assert_eq!(inquiry.next_peers(peers(4), now), [peer(4)]);
    inquiry.record_answer(peer(4), true);
    assert!(!inquiry.is_open(now));
}

#[test]
fn gateway_that_read_the_store_before_asks_again_after_a_restore() {
    let now = Instant::now();
    let mut inquiry = PeerInquiry::default();
    inquiry.begin(false, now);
    inquiry.record_answer(peer(1), true);
    inquiry.record_answer(peer(2), true);
    inquiry.begin(true, now);
    assert!(inquiry.is_informed(now));
    assert!(!inquiry.delays_start(now));
    assert_eq!(inquiry.next_peers(peers(2), now), [peer(1), peer(2)]);
}

#[test]
fn start_without_informed_peers_is_delayed_for_a_limited_time() {
    let now = Instant::now();
    let mut inquiry = PeerInquiry::default();
    inquiry.begin(false, now);
    assert!(!inquiry.delays_start(now + START_WAIT));
    assert!(!inquiry.is_informed(now + START_WAIT));
    assert!(!inquiry.is_open(now + CONFIRMATION_LIMIT));
    assert!(inquiry.is_informed(now + CONFIRMATION_LIMIT));
}

#[test]
fn peers_are_polled_in_turn() {
    let now = Instant::now();
    let mut table = PeerTable::default();
    for address in peers(5) {
        let report = PeerReport {
            incarnation: 1,
            sequence: 1,
            availability_zone: None,
            loads: Vec::new(),
            leaving: false,
            settled: true,
            interval: Duration::from_millis(100),
        };
        table.record(address, report, now);
    }
    for first in [0, 1, 7, 1000] {
        let rounds = (0..3).map(|round| table.polled(first + round, 2, now));
        let rounds: Vec<_> = rounds.collect();
        assert!(rounds.iter().all(|round| round.len() == 2), "{rounds:?}");
        let polled: HashSet<_> = rounds.concat().into_iter().collect();
        assert_eq!(polled, peers(5).collect(), "{first}");
    }
    assert_eq!(table.polled(3, 8, now).len(), 5);
}
