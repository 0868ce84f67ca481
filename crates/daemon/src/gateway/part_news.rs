//! Crashes and quarantined prompt parts in the load reports of gateways.

use {
    super::{
        peers::{age_ms, time_of},
        state::GatewayState,
    },
    sassafrasslip_core::dispatch::{
        CrashId, CrashReport, PartProof, PartQuarantine, PromptPart, QuarantinedPart,
    },
    sassafrasslip_proto::peer::{CrashRecord, LoadReport, PartProofRecord, QuarantineRecord},
    tokio::time::Instant,
};

/// Value of the log key `source` for what a peer has reported.
const PEER_SOURCE: &str = "peer";

/// Returns a report that has only what this gateway knows of crashes.
pub fn encode(quarantine: &PartQuarantine, now: Instant) -> LoadReport {
    let crashes = quarantine.crash_news(now).map(|report| CrashRecord {
        crash: report.crash.hash(),
        suspects: report.suspects.iter().map(|part| part.hash()).collect(),
        age_ms: age_ms(report.at, now),
    });
    let proofs = quarantine.proof_news().map(|proof| PartProofRecord {
        part: proof.part.hash(),
        age_ms: age_ms(proof.at, now),
    });
    let quarantined = quarantine.quarantine_news().map(|part| QuarantineRecord {
        part: part.part.hash(),
        age_ms: age_ms(part.crashed_at, now),
        incidents: part.incidents,
    });
    LoadReport {
        crashes: crashes.collect(),
        proofs: proofs.collect(),
        quarantined: quarantined.collect(),
        ..LoadReport::default()
    }
}

/// Applies what a peer knows of crashes. A peer of an earlier version reports nothing of it.
pub fn apply(state: &GatewayState, report: &LoadReport, now: Instant) {
    let mut quarantine = state.quarantine.borrow_mut();
    let mut changes = Vec::new();
    for record in &report.quarantined {
        if let Some(crashed_at) = time_of(record.age_ms, now) {
            let news = QuarantinedPart {
                part: PromptPart::from_hash(record.part),
                crashed_at,
                incidents: record.incidents,
            };
            changes.extend(quarantine.note_quarantined(news, now));
        }
    }
    for record in &report.proofs {
        if let Some(at) = time_of(record.age_ms, now) {
            let part = PromptPart::from_hash(record.part);
            changes.extend(quarantine.note_proof(PartProof { part, at }, now));
        }
    }
    let known = quarantine.suspects();
    for record in &report.crashes {
        if let Some(at) = time_of(record.age_ms, now) {
            let suspects = record.suspects.iter().copied();
            let report = CrashReport {
                crash: CrashId::from_hash(record.crash),
                at,
                suspects: suspects.map(PromptPart::from_hash).collect(),
            };
            changes.extend(quarantine.note_crash(&report, now));
        }
    }
    let has_new_suspects = quarantine.suspects() > known;
    drop(quarantine);
    if has_new_suspects {
        // The answer that shows that a suspect is sound may be known only here.
        state.report_due.notify_one();
    }
    if has_new_suspects || !changes.is_empty() {
        state.note_part_changes(&changes, PEER_SOURCE);
    }
}
