//! Guards against load reports that peers cannot decode, because many crashes make them larger than
//! the datagrams that gateways receive whole.

use {
    prost::Message,
    sassafrasslip_core::dispatch::{
        CrashEvidence, CrashId, PromptPart, RequestQuarantine, RequestTraits,
    },
    sassafrasslip_daemon::gateway::part_news::encode,
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
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
