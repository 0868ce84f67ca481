//! Guards against load reports that peers cannot decode, because many crashes or restarts make them
//! larger than the datagrams that gateways receive whole.

use {
    prost::Message,
    sassafrasslip_core::dispatch::{
        CrashEvidence, CrashId, PromptPart, RequestQuarantine, RequestTraits, RetryHandover,
        RetryUsage, UsageReport,
    },
    sassafrasslip_daemon::gateway::{part_news::encode, retries::previous_records},
    sassafrasslip_testkit::test_cases,
    std::{net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

/// Largest size of what a report tells of crashes, in bytes: the half of a datagram of 16 kB. The
/// rest is for loads, groups and limits.
const MAX_NEWS_BYTES: usize = 8 * 1024;

fn traits(crash: u64, request: u64, shared: u64) -> RequestTraits {
    let part = |number: u64| PromptPart::from_name(&format!("{crash}-{request}-{number}"));
    RequestTraits {
        shared_parts: (0..shared).map(part).collect(),
        whole: part(shared),
    }
}

/// Records crashes, one each 10 ms. Answers to the waiting requests follow if `are_sound`.
fn check_crashes(crashes: u64, requests: u64, shared: u64, are_sound: bool) {
    let mut quarantine = RequestQuarantine::default();
    let start = Instant::now();
    let at = |crash| start + Duration::from_millis(10) * crash as u32;
    for crash in 0..crashes {
        for request in 0..requests {
            let evidence = match request {
                0 => CrashEvidence::Begun,
                _ => CrashEvidence::WaitingSince(start),
            };
            let traits = traits(crash, request, shared);
            let id = CrashId::from_hash(crash + 1);
            quarantine.record_crash(id, &traits, evidence, at(crash));
            if are_sound && request > 0 {
                quarantine.record_answer(&traits, at(crash));
            }
        }
    }
    let news = encode(&quarantine, at(crashes));
    let length = news.encoded_len();
    assert!(length <= MAX_NEWS_BYTES, "{length} bytes");
    let latest = CrashId::from_hash(crashes).hash();
    let mut reported = news.request_crashes.iter();
    assert!(reported.any(|record| record.crash == latest));
    let mut reported = news.crashes.iter();
    assert!(shared == 0 || reported.any(|record| record.crash == latest));
}

test_cases! {
    fn check_crashes(crashes: u64, requests: u64, shared: u64, are_sound: bool);
    one_crash: (1, 12, 3, false);
    crashes_of_a_group: (12, 12, 3, false);
    crashes_of_a_zone: (32, 12, 3, false);
    crashes_beside_sound_requests: (32, 12, 3, true);
    crashes_without_prompts: (64, 12, 0, false);
    as_many_crashes_as_are_kept: (64, 12, 3, false);
}

/// Size of what a report may tell of restarted gateways, in bytes: a quarter of a datagram, of which
/// crashes may take the half.
const MAX_RESTART_BYTES: usize = 4 * 1024;

/// All gateways of a fleet restart at once after retries of `services` services.
fn check_restarts(gateways: u32, services: u32) {
    let now = Instant::now();
    let mut handover = RetryHandover::new(Duration::from_secs(10));
    let usage = RetryUsage {
        first_tries: vec![200; 10],
        retries: vec![200; 10],
    };
    for incarnation in [1, 2] {
        for gateway in 0..gateways {
            let services = (0..services)
                .map(|service| (format!("service-{service}").parse().unwrap(), usage.clone()));
            let report = UsageReport {
                incarnation,
                sequence: 1,
                has_part: incarnation == 1,
                services: services.collect(),
            };
            let address = Ipv4Addr::from(0x0a00_0001 + gateway);
            handover.record(address, report, gateways, now);
        }
    }
    let records = previous_records(&handover, now);
    let length: usize = records.iter().map(Message::encoded_len).sum();
    assert!(length <= MAX_RESTART_BYTES, "{length} bytes");
    assert!(!records.is_empty());
    assert!(gateways > 4 || records.len() == gateways as usize);
}

test_cases! {
    fn check_restarts(gateways: u32, services: u32);
    restart_of_a_small_fleet: (4, 2);
    restart_of_a_large_fleet: (40, 2);
    restart_of_a_fleet_with_many_services: (300, 12);
}
