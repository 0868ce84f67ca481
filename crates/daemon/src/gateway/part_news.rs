//! Crashes, and quarantined prompt parts and requests, in the load reports of gateways.

use {
    super::{
        peers::{age_ms, time_of},
        state::GatewayState,
    },
    prost::Message,
    sassafrasslip_core::dispatch::{
        CrashId, CrashReport, PartChange, PartProof, PartQuarantine, PromptPart, QuarantinedPart,
        RequestChange, RequestQuarantine,
    },
    sassafrasslip_proto::peer::{
        CrashRecord, LoadReport, PartProofRecord, QuarantineRecord, RequestCrashRecord,
    },
    tokio::time::Instant,
};

/// Value of the log key `source` for what a peer has reported.
const PEER_SOURCE: &str = "peer";

/// Largest size of the crashes of one kind in a report, in bytes. Peers receive datagrams up to 16 kB
/// whole, and a report that is cut off cannot be decoded.
const MAX_CRASH_BYTES: usize = 3 * 1024;

/// Largest size of the answers of one kind in a report, in bytes.
const MAX_PROOF_BYTES: usize = 1024;

/// Largest size of the key and the length of a record in a report, in bytes.
const RECORD_OVERHEAD: usize = 4;

/// Returns a report that has only what this gateway knows of crashes.
pub fn encode(quarantine: &RequestQuarantine, now: Instant) -> LoadReport {
    let RequestQuarantine { parts, wholes } = quarantine;
    let crashes = parts.crash_news(now).map(|report| CrashRecord {
        crash: report.crash.hash(),
        suspects: hashes(&report.suspects),
        age_ms: age_ms(report.at, now),
        waiting: hashes(&report.waiting),
    });
    let request_crashes = wholes.crash_news(now).map(|report| RequestCrashRecord {
        crash: report.crash.hash(),
        begun: hashes(&report.suspects),
        waiting: hashes(&report.waiting),
        age_ms: age_ms(report.at, now),
    });
    LoadReport {
        crashes: latest(crashes, |record| record.age_ms, MAX_CRASH_BYTES),
        proofs: proof_records(parts, now),
        quarantined: quarantine_records(parts, now),
        request_crashes: latest(request_crashes, |record| record.age_ms, MAX_CRASH_BYTES),
        request_proofs: proof_records(wholes, now),
        quarantined_requests: quarantine_records(wholes, now),
        ..LoadReport::default()
    }
}

/// Returns the latest records that take at most `limit` bytes of a report. Peers have received the
/// older ones before.
pub(super) fn latest<R: Message>(
    records: impl Iterator<Item = R>,
    age_ms: impl Fn(&R) -> u32,
    limit: usize,
) -> Vec<R> {
    let mut records: Vec<_> = records.collect();
    records.sort_by_key(age_ms);
    let mut length = 0;
    let fits = |record: &R| {
        length += record.encoded_len() + RECORD_OVERHEAD;
        length <= limit
    };
    records.into_iter().take_while(fits).collect()
}

fn hashes(parts: &[PromptPart]) -> Vec<u64> {
    parts.iter().map(|part| part.hash()).collect()
}

fn proof_records(quarantine: &PartQuarantine, now: Instant) -> Vec<PartProofRecord> {
    let proofs = quarantine.proof_news().map(|proof| PartProofRecord {
        part: proof.part.hash(),
        age_ms: age_ms(proof.at, now),
    });
    latest(proofs, |record| record.age_ms, MAX_PROOF_BYTES)
}

fn quarantine_records(quarantine: &PartQuarantine, now: Instant) -> Vec<QuarantineRecord> {
    let quarantined = quarantine.quarantine_news().map(|part| QuarantineRecord {
        part: part.part.hash(),
        age_ms: age_ms(part.crashed_at, now),
        incidents: part.incidents,
    });
    quarantined.collect()
}

/// Applies what a peer knows of crashes. A peer of an earlier version reports less or nothing of it.
pub fn apply(state: &GatewayState, report: &LoadReport, now: Instant) {
    let mut quarantine = state.quarantine.borrow_mut();
    let known = quarantine.suspects();
    let RequestQuarantine { parts, wholes } = &mut *quarantine;
    let part_crashes = report.crashes.iter().filter_map(|record| {
        Some(CrashReport {
            crash: CrashId::from_hash(record.crash),
            at: time_of(record.age_ms, now)?,
            suspects: from_hashes(&record.suspects),
            waiting: from_hashes(&record.waiting),
        })
    });
    let changed = apply_to(
        parts,
        &report.quarantined,
        &report.proofs,
        part_crashes,
        now,
    );
    let mut changes: Vec<_> = changed.into_iter().map(RequestChange::Part).collect();
    let request_crashes = report.request_crashes.iter().filter_map(|record| {
        Some(CrashReport {
            crash: CrashId::from_hash(record.crash),
            at: time_of(record.age_ms, now)?,
            suspects: from_hashes(&record.begun),
            waiting: from_hashes(&record.waiting),
        })
    });
    let changed = apply_to(
        wholes,
        &report.quarantined_requests,
        &report.request_proofs,
        request_crashes,
        now,
    );
    changes.extend(changed.into_iter().map(RequestChange::Whole));
    let has_new_suspects = quarantine.suspects() > known;
    drop(quarantine);
    if has_new_suspects {
        // The answer that shows that a suspect is sound may be known only here.
        state.report_due.notify_one();
    }
    if has_new_suspects || !changes.is_empty() {
        state.note_request_changes(&changes, PEER_SOURCE);
    }
}

fn from_hashes(hashes: &[u64]) -> Vec<PromptPart> {
    hashes.iter().copied().map(PromptPart::from_hash).collect()
}

fn apply_to(
    quarantine: &mut PartQuarantine,
    quarantined: &[QuarantineRecord],
    proofs: &[PartProofRecord],
    crashes: impl Iterator<Item = CrashReport>,
    now: Instant,
) -> Vec<PartChange> {
    let mut changes = Vec::new();
    for record in quarantined {
        if let Some(crashed_at) = time_of(record.age_ms, now) {
            let news = QuarantinedPart {
                part: PromptPart::from_hash(record.part),
                crashed_at,
                incidents: record.incidents,
            };
            changes.extend(quarantine.note_quarantined(news, now));
        }
    }
    for record in proofs {
        if let Some(at) = time_of(record.age_ms, now) {
            let part = PromptPart::from_hash(record.part);
            changes.extend(quarantine.note_proof(PartProof { part, at }, now));
        }
    }
    for report in crashes {
        changes.extend(quarantine.note_crash(&report, now));
    }
    changes
}
