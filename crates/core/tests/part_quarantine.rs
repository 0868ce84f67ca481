//! Tests which prompt parts get the blame when targets crash as they begin to answer, on the crashes
//! that the gateways of a fleet observe.

use {
    sassafrasslip_core::dispatch::{
        CrashId, CrashReport, PartChange, PartProof, PartQuarantine, PromptPart, QuarantinedPart,
    },
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
    tokio::time::Instant,
};

const SECOND: Duration = Duration::from_secs(1);

/// Sends news from one gateway to another, as load reports do.
fn tell(from: &PartQuarantine, to: &mut PartQuarantine, now: Instant) {
    for news in from.quarantine_news() {
        to.note_quarantined(news, now);
    }
    for proof in from.proof_news() {
        to.note_proof(proof, now);
    }
    for crash in from.crash_news(now) {
        to.note_crash(&crash, now);
    }
}

fn part(name: &str) -> PromptPart {
    PromptPart::from_name(name)
}

fn crash(number: u64) -> CrashId {
    CrashId::from_hash(number)
}

fn is_refused(quarantine: &PartQuarantine, names: &[&str], now: Instant) -> bool {
    let parts: Vec<_> = names.iter().map(|name| part(name)).collect();
    quarantine.restriction(&parts, true, now).is_some()
}

/// The second incident of an unproven part puts it in quarantine, and its sound neighbours not.
#[test]
fn part_common_to_two_crashes_is_quarantined() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    quarantine.record_crash(crash(1), &[part("a"), part("bad")], start);
    let later = start + SECOND * 4;
    let changes = quarantine.record_crash(crash(2), &[part("b"), part("bad")], later);
    let expected = QuarantinedPart {
        part: part("bad"),
        crashed_at: later,
        incidents: 2,
    };
    assert_eq!(changes, [PartChange::Quarantined(expected)]);
    let end = later + SECOND * 59;
    assert!(is_refused(&quarantine, &["c", "bad"], end));
    assert!(!is_refused(&quarantine, &["a"], later));
    assert!(!is_refused(&quarantine, &["b"], later));
}

/// A crash with the only unproven part must not be followed by another request with it, although
/// one crash is no proof: a group would be down for seconds again.
#[test]
fn only_suspect_is_refused_after_one_crash() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(&[part("a"), part("b")], start);
    quarantine.record_crash(crash(1), &[part("a"), part("bad")], start + SECOND);
    quarantine.record_crash(crash(1), &[part("b")], start + SECOND);
    assert!(!is_refused(&quarantine, &["a"], start + SECOND));
    assert!(!is_refused(&quarantine, &["b"], start + SECOND));
    assert!(is_refused(&quarantine, &["a", "bad"], start + SECOND * 20));
}

/// Part that is in frequent use is near several crashes of another cause; the answers between them
/// show that it is sound.
#[test]
fn part_that_is_answered_between_crashes_gets_no_blame() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for number in 0..8 {
        quarantine.record_answer(&[part("sound")], now);
        now += SECOND;
        let changes = quarantine.record_crash(crash(number), &[part("sound")], now);
        assert_eq!(changes, []);
        assert!(!is_refused(&quarantine, &["sound"], now));
        now += SECOND;
    }
}

/// One fault stops several targets at once while requests with the same new part are in flight at
/// all of them. That is one coincidence and not several.
#[test]
fn simultaneous_crashes_are_one_incident() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for number in 0..4 {
        let at = start + Duration::from_millis(50) * number as u32;
        let changes = quarantine.record_crash(crash(number), &[part("new")], at);
        assert_eq!(changes, []);
    }
    assert_eq!(quarantine.quarantined(), 0);
}

/// A part that was sound, such as one that a new version of the engine cannot handle, is recognized
/// before the users' bound of five crashes.
#[test]
fn part_that_was_sound_before_is_quarantined_too() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(&[part("bad")], start);
    let mut changes = Vec::new();
    for number in 1..=3 {
        let at = start + SECOND * 5 * number as u32;
        changes = quarantine.record_crash(crash(number), &[part("bad")], at);
    }
    assert_eq!(changes.len(), 1);
    assert!(is_refused(&quarantine, &["bad"], start + SECOND * 20));
}

/// Two parts that explain the same crashes are not both guilty; neither is put in quarantine until
/// a crash tells them apart, but none is sent freely either.
#[test]
fn tied_parts_are_told_apart_by_trials() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for number in 0..2 {
        let at = start + SECOND * 4 * number as u32;
        quarantine.record_crash(crash(number), &[part("a"), part("bad")], at);
    }
    assert_eq!(quarantine.quarantined(), 0);
    let now = start + SECOND * 7;
    // A request with both would show nothing.
    assert!(is_refused(&quarantine, &["a", "bad"], now));
    quarantine.start(&[part("a")], false, now).unwrap();
    assert!(quarantine.start(&[part("bad")], false, now).is_err());
    quarantine.record_answer(&[part("a")], now);
    assert_eq!(quarantine.quarantined(), 1);
    assert!(!is_refused(&quarantine, &["a"], now));
    assert!(is_refused(&quarantine, &["bad"], now));
}

/// After a quarantine, only one gateway of the fleet tries the part again, with one request at a
/// time, and an answer ends the quarantine everywhere.
#[test]
fn quarantine_ends_with_an_answered_trial() {
    let start = Instant::now();
    let (mut first, mut second) = (PartQuarantine::default(), PartQuarantine::default());
    for number in 0..2 {
        let at = start + SECOND * 4 * number as u32;
        first.record_crash(crash(number), &[part("bad")], at);
    }
    let crashed_at = start + SECOND * 4;
    tell(&first, &mut second, crashed_at);
    assert!(
        second
            .restriction(&[part("bad")], true, crashed_at)
            .is_some()
    );
    let trial_at = crashed_at + SECOND * 61;
    assert!(second.start(&[part("bad")], false, trial_at).is_err());
    first.start(&[part("bad")], true, trial_at).unwrap();
    assert!(first.start(&[part("bad")], true, trial_at).is_err());
    let answered_at = trial_at + SECOND;
    let changes = first.record_answer(&[part("bad")], answered_at);
    assert_eq!(changes, [PartChange::Released(part("bad"))]);
    tell(&first, &mut second, answered_at);
    assert!(second.start(&[part("bad")], false, answered_at).is_ok());
    // A late report of a peer that has not heard of the answer changes nothing.
    let outdated = QuarantinedPart {
        part: part("bad"),
        crashed_at,
        incidents: 2,
    };
    assert_eq!(first.note_quarantined(outdated, answered_at), []);
}

/// Each further incident doubles the quarantine; without one, the part is forgotten.
#[test]
fn failed_trials_become_rarer_and_old_crashes_are_forgotten() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    let mut at = start;
    let mut holds = Vec::new();
    for number in 0..9 {
        for change in quarantine.record_crash(crash(number), &[part("bad")], at) {
            if let PartChange::Quarantined(news) = change {
                holds.push(news.hold().as_secs());
            }
        }
        at += SECOND * 2;
    }
    assert_eq!(holds, [60, 120, 240, 480, 960, 1920, 1920, 1920]);
    let end = at + SECOND * 2 * 1920;
    quarantine.drop_outdated(end);
    assert_eq!(quarantine.quarantined(), 0);
    assert!(!is_refused(&quarantine, &["bad"], end));
}

/// The reports of a fleet pass the same news on and on. Neither its delay nor its repetition may
/// prolong a quarantine.
#[test]
fn repeated_reports_do_not_prolong_a_quarantine() {
    let start = Instant::now();
    let (mut first, mut second) = (PartQuarantine::default(), PartQuarantine::default());
    first.record_crash(crash(1), &[part("bad")], start);
    first.record_crash(crash(2), &[part("bad")], start + SECOND * 4);
    for step in 0..600 {
        let now = start + SECOND * 4 + Duration::from_millis(100) * step;
        // The delay of a transfer makes a crash look later than it was.
        let late = |at: Instant| at + Duration::from_millis(40);
        for (from, to) in [(0, 1), (1, 0)] {
            let news: Vec<_> = [&first, &second][from].quarantine_news().collect();
            let crashes: Vec<_> = [&first, &second][from].crash_news(now).collect();
            let receiver = [&mut first, &mut second].into_iter().nth(to).unwrap();
            for part in news {
                let crashed_at = late(part.crashed_at);
                receiver.note_quarantined(QuarantinedPart { crashed_at, ..part }, now);
            }
            for report in crashes {
                let at = late(report.at);
                receiver.note_crash(&CrashReport { at, ..report }, now);
            }
        }
    }
    let news: Vec<_> = first.quarantine_news().collect();
    assert_eq!(news[0].incidents, 2);
    assert!(news[0].crashed_at < start + SECOND * 5);
}

/// Crashes that different gateways have seen count together, and an answer that one of them has
/// seen clears a suspect for all.
#[test]
fn gateways_put_their_observations_together() {
    let start = Instant::now();
    let (mut first, mut second) = (PartQuarantine::default(), PartQuarantine::default());
    second.record_answer(&[part("a")], start);
    first.record_crash(crash(1), &[part("a"), part("bad")], start + SECOND);
    tell(&first, &mut second, start + SECOND);
    tell(&second, &mut first, start + SECOND);
    assert!(!is_refused(&first, &["a"], start + SECOND));
    assert!(is_refused(&first, &["bad"], start + SECOND));
    second.record_crash(crash(2), &[part("bad")], start + SECOND * 5);
    tell(&second, &mut first, start + SECOND * 5);
    assert_eq!((first.quarantined(), second.quarantined()), (1, 1));
}

/// Callers choose the names of parts, so that their number must not grow without bound.
fn check_bound(count: u32) {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for number in 0..count {
        let now = start + Duration::from_millis(1) * number;
        let parts = [part(&format!("p{number}"))];
        quarantine.record_answer(&parts, now);
        quarantine.record_crash(crash(number.into()), &parts, now);
        let proof = PartProof {
            part: part(&format!("q{number}")),
            at: now,
        };
        quarantine.note_proof(proof, now);
    }
    let now = start + Duration::from_millis(1) * count;
    assert!(quarantine.suspects() <= 64);
    assert!(quarantine.proof_news().count() <= 64);
    assert!(quarantine.crash_news(now).count() <= 64);
}

test_cases! {
    fn check_bound(count: u32);
    many_parts_and_crashes_stay_bounded: (5_000);
}

/// Guards against a gateway that ends because a peer has reported a number of incidents that cannot
/// be.
#[test]
fn crash_by_a_part_with_the_highest_number_of_incidents() {
    let start = Instant::now();
    let deadly = part("deadly");
    let mut quarantine = PartQuarantine::default();
    let news = QuarantinedPart {
        part: deadly,
        crashed_at: start,
        incidents: u32::MAX,
    };
    quarantine.note_quarantined(news, start);
    let changes = quarantine.record_crash(crash(1), &[deadly], start + SECOND * 5);
    assert!(matches!(changes.as_slice(), [PartChange::Quarantined(_)]));
}
