//! Quarantine of prompt parts that crash the targets that begin to answer them.
//!
//! Load pattern: requests with one prompt part crash target after target, from whichever gateway
//! they come. Each crash also ends the sound requests at the target, and in a group those at all
//! other ranks. The part that is common to the crashes and has never been answered is the cause.

use {
    super::{prompt_part::PromptPart, target_entry::TargetEntry},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        result,
        time::Duration,
    },
    tokio::time::Instant,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Result of starting a request.
pub type Result<T> = result::Result<T, PartRestriction>;

/// Time for which requests with the only suspect of a crash are refused. Another crash would cost
/// several seconds of the work of a whole group, which is more than the requests with one new part.
const SUSPECT_HOLD: Duration = Duration::from_secs(30);

/// Time for which requests are refused whose part is one of several suspects, or was only waiting. It
/// is longer than [`INCIDENT_GAP`], so that a crash by a trial request counts as another incident.
const SHARED_HOLD: Duration = Duration::from_secs(2);

/// Time for which requests with a quarantined part are refused after the second crash. It doubles
/// with each further one, because each crash can end the requests of a whole group.
const QUARANTINE: Duration = Duration::from_secs(60);

/// Highest number of times that the quarantine doubles, to about half an hour.
const MAX_DOUBLINGS: u32 = 5;

/// Time for which a crash is kept as evidence.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Time for which an answer shows that a part is sound. Targets are replaced by other versions less
/// often.
const PROOF_RETENTION: Duration = Duration::from_secs(600);

/// Time between two crashes up to which they count as one incident. One fault can stop several
/// targets at the same moment, and the same requests may be in flight at all of them.
const INCIDENT_GAP: Duration = Duration::from_secs(1);

/// Number of incidents after which an unproven part is quarantined.
const INCIDENTS: usize = 2;

/// Number of incidents after which a part is quarantined although targets have answered requests
/// with it before. Parts in frequent use are near a crash by chance more often.
const PROVEN_INCIDENTS: usize = 3;

/// Time after the refusal of the only suspect in which only trial requests with it are sent.
const SUSPECT_TRIALS: Duration = Duration::from_secs(10);

/// Time after which the next trial request is sent although the latest one shows no result.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay for callers of requests whose part is on trial. A target begins to answer or crashes
/// within a second.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for which the suspects of other gateways are reported too. It ends long before
/// [`CRASH_RETENTION`], so that gateways do not remind each other of what they have forgotten.
const RELAY_TIME: Duration = SUSPECT_HOLD.saturating_add(SUSPECT_TRIALS);

/// Highest number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// Highest number of suspects of one crash.
const MAX_SUSPECTS: usize = 128;

/// Highest number of parts of one crash that were only waiting. They are in each load report for as
/// long as the crash is kept.
const MAX_WAITING: usize = 32;

/// Highest number of parts with a proof that are kept.
const MAX_PROOFS: usize = 4096;

/// Highest number of parts in quarantine.
const MAX_QUARANTINED: usize = 64;

/// What happens to a part that was only waiting at a target that has crashed, if no other suspect is
/// left.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WaitingRule {
    /// It is sent as before until another crash.
    #[default]
    Send,
    /// It is refused for a short time and then tried. This suits parts that many requests share: each
    /// of them could crash a target of its own before the second crash is known.
    Try,
}

/// Identifies a crash by a hash of the target's name and start time, because a process crashes only
/// once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId(u64);

impl CrashId {
    /// Creates the id of the crash of a target.
    pub fn of_target(entry: &TargetEntry) -> Self {
        Self(xxh3_64_with_seed(entry.id.as_bytes(), entry.started_at_ms))
    }

    /// Creates the id with the hash that a peer has sent.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Crash of a target, with the shared parts of the requests that it had not begun to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Crash that is reported.
    pub crash: CrashId,
    /// Time of the crash.
    pub at: Instant,
    /// Parts of the requests, each of which may be the cause.
    pub suspects: Vec<PromptPart>,
    /// Parts of requests that the target may not have begun at all. They count only if no other
    /// suspect is left.
    pub waiting: Vec<PromptPart>,
}

/// Answer that shows that a part is sound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartProof {
    /// Part of the answered request.
    pub part: PromptPart,
    /// Time at which a target began to answer.
    pub at: Instant,
}

/// Part in quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedPart {
    /// Part that crashes targets.
    pub part: PromptPart,
    /// Time of the latest crash.
    pub crashed_at: Instant,
    /// Number of incidents so far.
    pub incidents: u32,
}

impl QuarantinedPart {
    /// Returns the time after the latest crash for which requests with the part are refused.
    pub fn hold(&self) -> Duration {
        let doublings = self.incidents.saturating_sub(INCIDENTS as u32);
        QUARANTINE * 2_u32.pow(doublings.min(MAX_DOUBLINGS))
    }
}

/// Reason to refuse a request because of a part of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartRestriction {
    /// Part that has crashed targets.
    pub part: PromptPart,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Change of the known parts that crash targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// A part is the common cause of several crashes.
    Quarantined(QuarantinedPart),
    /// A target has begun to answer a request with a part that was refused.
    Released(PromptPart),
}

/// Period in which requests with a part are refused, followed by one of trials.
#[derive(Clone, Copy, Debug)]
struct HoldPeriod {
    refused_until: Instant,
    trials_until: Instant,
    /// Whether the part is only one of several suspects, or was only waiting. Any gateway may send
    /// trial requests with it, because most of such parts are sound.
    is_shared: bool,
}

/// Latest request that was sent to find out whether a part still crashes targets.
#[derive(Clone, Copy, Debug)]
struct PartTrial {
    part: PromptPart,
    started_at: Instant,
}

#[derive(Debug)]
struct Crash {
    at: Instant,
    suspects: BTreeSet<PromptPart>,
    /// Suspects of this gateway's own requests, which it reports to its peers.
    own_suspects: BTreeSet<PromptPart>,
    waiting: BTreeSet<PromptPart>,
    own_waiting: BTreeSet<PromptPart>,
}

impl Crash {
    /// Returns the suspects, those included that were only waiting.
    fn all(&self) -> impl Iterator<Item = PromptPart> + '_ {
        self.suspects.iter().chain(&self.waiting).copied()
    }

    fn has(&self, part: PromptPart) -> bool {
        self.suspects.contains(&part) || self.waiting.contains(&part)
    }
}

#[derive(Clone, Copy, Debug)]
struct Proof {
    at: Instant,
    /// Whether this gateway has seen the answer itself.
    is_own: bool,
}

/// Crashes, their suspects, and the parts that are known to be sound or to crash targets.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    waiting_rule: WaitingRule,
    crashes: BTreeMap<CrashId, Crash>,
    proofs: HashMap<PromptPart, Proof>,
    quarantined: BTreeMap<PromptPart, QuarantinedPart>,
    /// Times of refusal of all suspects and of all parts in quarantine.
    holds: HashMap<PromptPart, HoldPeriod>,
    /// Latest trial request, until a target has begun to answer it.
    trial: Option<PartTrial>,
}

impl PartQuarantine {
    /// Creates a quarantine without crashes.
    pub fn new(waiting_rule: WaitingRule) -> Self {
        Self {
            waiting_rule,
            ..Self::default()
        }
    }

    /// Records that a target has crashed before it began to answer a request of this gateway with
    /// the given shared parts; returns the changes.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        parts: &[PromptPart],
        now: Instant,
    ) -> Vec<PartChange> {
        let report = CrashReport {
            crash,
            at: now,
            suspects: parts.to_vec(),
            waiting: Vec::new(),
        };
        self.add_suspects(&report, now);
        if let Some(crash) = self.crashes.get_mut(&report.crash) {
            crash.own_suspects.extend(parts);
        }
        self.review()
    }

    /// Records that a target has crashed while a request of this gateway with the given parts was
    /// waiting there, so that the target may not have begun it; returns the changes.
    pub fn record_waiting(
        &mut self,
        crash: CrashId,
        parts: &[PromptPart],
        now: Instant,
    ) -> Vec<PartChange> {
        let report = CrashReport {
            crash,
            at: now,
            suspects: Vec::new(),
            waiting: parts.to_vec(),
        };
        self.add_suspects(&report, now);
        if let Some(crash) = self.crashes.get_mut(&report.crash) {
            add_bounded(&mut crash.own_waiting, parts, MAX_WAITING);
        }
        // With [`WaitingRule::Send`], parts that are near one crash only are not refused.
        let changes_holds = self.waiting_rule == WaitingRule::Try
            || parts.iter().any(|part| self.is_near_another(*part, crash));
        if changes_holds {
            self.review()
        } else {
            Vec::new()
        }
    }

    fn is_near_another(&self, part: PromptPart, crash: CrashId) -> bool {
        let mut others = self.crashes.iter().filter(|(id, _)| **id != crash);
        self.quarantined.contains_key(&part) || others.any(|(_, other)| other.has(part))
    }

    /// Records a crash that a peer has reported; returns the changes.
    pub fn note_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<PartChange> {
        if self.add_suspects(report, now) {
            self.review()
        } else {
            Vec::new()
        }
    }

    /// Adds the suspects of a crash; returns whether one of them was not known.
    fn add_suspects(&mut self, report: &CrashReport, now: Instant) -> bool {
        self.crashes
            .retain(|_, crash| now < crash.at + CRASH_RETENTION);
        let is_outdated = now >= report.at + CRASH_RETENTION;
        let is_known = self.crashes.contains_key(&report.crash);
        if is_outdated || (!is_known && self.crashes.len() >= MAX_CRASHES) {
            return false;
        }
        let crash = self.crashes.entry(report.crash).or_insert_with(|| Crash {
            at: report.at,
            suspects: BTreeSet::new(),
            own_suspects: BTreeSet::new(),
            waiting: BTreeSet::new(),
            own_waiting: BTreeSet::new(),
        });
        let known = crash.suspects.len() + crash.waiting.len();
        add_bounded(&mut crash.suspects, &report.suspects, MAX_SUSPECTS);
        add_bounded(&mut crash.waiting, &report.waiting, MAX_WAITING);
        crash.suspects.len() + crash.waiting.len() > known
    }

    /// Records that a target has begun to answer a request of this gateway with the given shared
    /// parts; returns the changes.
    pub fn record_answer(&mut self, parts: &[PromptPart], now: Instant) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for part in parts {
            let proof = PartProof {
                part: *part,
                at: now,
            };
            changes.extend(self.add_proof(proof, true, now));
        }
        changes
    }

    /// Records a proof that a peer has reported; returns the changes.
    pub fn note_proof(&mut self, proof: PartProof, now: Instant) -> Vec<PartChange> {
        let known = self.proofs.get(&proof.part);
        if known.is_some_and(|known| known.at >= proof.at) {
            return Vec::new();
        }
        self.add_proof(proof, false, now)
    }

    fn add_proof(&mut self, proof: PartProof, is_own: bool, now: Instant) -> Vec<PartChange> {
        let PartProof { part, at } = proof;
        if !self.proofs.contains_key(&part) && self.proofs.len() >= MAX_PROOFS {
            self.drop_oldest_proofs(now);
        }
        self.proofs.insert(part, Proof { at, is_own });
        self.trial = self.trial.filter(|trial| trial.part != part);
        if !self.holds.contains_key(&part) {
            return Vec::new();
        }
        let is_cleared = self
            .quarantined
            .get(&part)
            .is_some_and(|known| known.crashed_at < at);
        if is_cleared {
            self.quarantined.remove(&part);
        }
        let mut changes = self.review();
        if !self.holds.contains_key(&part) {
            changes.push(PartChange::Released(part));
        }
        changes
    }

    /// Makes room for proofs. A part without a proof is only refused for longer after a crash.
    fn drop_oldest_proofs(&mut self, now: Instant) {
        let mut times: Vec<_> = self.proofs.values().map(|proof| proof.at).collect();
        let (_, median, _) = times.select_nth_unstable(MAX_PROOFS / 2);
        let oldest = *median;
        let known: BTreeSet<_> = self.crashes.values().flat_map(Crash::all).collect();
        self.proofs.retain(|part, proof| {
            let is_recent = proof.at > oldest && now < proof.at + PROOF_RETENTION;
            is_recent || known.contains(part)
        });
    }

    /// Records a part that a peer has in quarantine; returns the changes.
    pub fn note_quarantined(&mut self, news: QuarantinedPart, now: Instant) -> Vec<PartChange> {
        let is_over = now >= news.crashed_at + news.hold() * 2;
        if is_over || self.is_exonerated(news.part, news.crashed_at) {
            return Vec::new();
        }
        // The times are not compared: each transfer adds its delay to them, so that two gateways
        // would renew each other's quarantine forever.
        let known = self.quarantined.get(&news.part);
        let is_news = known.is_none_or(|known| known.incidents < news.incidents);
        if !is_news || (known.is_none() && self.quarantined.len() >= MAX_QUARANTINED) {
            return Vec::new();
        }
        self.quarantined.insert(news.part, news);
        let mut changes = vec![PartChange::Quarantined(news)];
        changes.extend(self.review());
        changes
    }

    /// Returns why a request with the given parts has to be refused; `None` if it may be sent.
    /// `runs_trials` says whether this gateway sends the trial requests of the fleet.
    pub fn restriction(
        &self,
        parts: &[PromptPart],
        runs_trials: bool,
        now: Instant,
    ) -> Option<PartRestriction> {
        let mut held: Vec<_> = self.held(parts, now).collect();
        held.sort_by_key(|(_, hold)| hold.refused_until);
        let (part, hold) = *held.last()?;
        let refused = |retry_after| Some(PartRestriction { part, retry_after });
        if now < hold.refused_until {
            return refused(hold.refused_until - now);
        }
        // A request with several held parts would not show which of them crashes a target.
        let is_trial = held.len() == 1
            && (hold.is_shared || runs_trials)
            && self
                .trial
                .is_none_or(|trial| now >= trial.started_at + TRIAL_TIMEOUT);
        if is_trial {
            None
        } else {
            refused(TRIAL_RETRY_DELAY)
        }
    }

    /// Starts a request with the given parts, as the trial of a part if it is time for one.
    ///
    /// # Errors
    ///
    /// Fails if the request has to be refused.
    pub fn start(&mut self, parts: &[PromptPart], runs_trials: bool, now: Instant) -> Result<()> {
        if let Some(restriction) = self.restriction(parts, runs_trials, now) {
            return Err(restriction);
        }
        let held = self.held(parts, now).next();
        if let Some((part, _)) = held {
            self.trial = Some(PartTrial {
                part,
                started_at: now,
            });
        }
        Ok(())
    }

    /// Returns the parts that are refused or on trial.
    fn held(
        &self,
        parts: &[PromptPart],
        now: Instant,
    ) -> impl Iterator<Item = (PromptPart, HoldPeriod)> {
        parts.iter().filter_map(move |part| {
            let hold = self.holds.get(part);
            let hold = hold.filter(|hold| now < hold.trials_until)?;
            Some((*part, *hold))
        })
    }

    /// Removes crashes and parts that no longer count. Proofs are removed when there are too many.
    pub fn drop_outdated(&mut self, now: Instant) {
        self.crashes
            .retain(|_, crash| now < crash.at + CRASH_RETENTION);
        self.quarantined
            .retain(|_, part| now < part.crashed_at + part.hold() * 2);
        self.holds.retain(|_, hold| now < hold.trials_until);
    }

    /// Returns the number of suspects of all known crashes.
    pub fn suspects(&self) -> usize {
        let crashes = self.crashes.values();
        crashes.map(|crash| crash.all().count()).sum()
    }

    /// Returns the number of parts that are known to be sound.
    pub fn proofs(&self) -> usize {
        self.proofs.len()
    }

    /// Returns the number of parts in quarantine.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns crashes without the suspects that are known to be sound, as they are sent to the
    /// peers: those of this gateway's own requests, and the suspects of all others that are refused,
    /// which a gateway that starts later has to know.
    pub fn crash_news(&self, now: Instant) -> impl Iterator<Item = CrashReport> {
        let recent = self
            .crashes
            .iter()
            .filter(move |(_, crash)| now < crash.at + CRASH_RETENTION);
        let reports = recent.map(move |(id, crash)| CrashReport {
            crash: *id,
            at: crash.at,
            suspects: self.reported_suspects(crash, now),
            waiting: self.open_suspects(crash, &crash.own_waiting).collect(),
        });
        reports.filter(|report| !report.suspects.is_empty() || !report.waiting.is_empty())
    }

    fn reported_suspects(&self, crash: &Crash, now: Instant) -> Vec<PromptPart> {
        let is_relayed = now < crash.at + RELAY_TIME;
        let suspects = self.open_suspects(crash, &crash.suspects);
        let reported = suspects.filter(|part| {
            let is_own = crash.own_suspects.contains(part);
            is_own || (is_relayed && !self.was_sound(*part, crash.at))
        });
        reported.collect()
    }

    /// Returns the latest answers to this gateway's requests with parts that are suspects of a
    /// crash, as they are sent to the peers.
    pub fn proof_news(&self) -> impl Iterator<Item = PartProof> {
        let suspects = self.crashes.values().flat_map(Crash::all);
        let suspects: BTreeSet<_> = suspects.chain(self.holds.keys().copied()).collect();
        suspects.into_iter().filter_map(|part| {
            let proof = self.proofs.get(&part).filter(|proof| proof.is_own)?;
            Some(PartProof { part, at: proof.at })
        })
    }

    /// Returns the parts in quarantine, as they are sent to the peers.
    pub fn quarantine_news(&self) -> impl Iterator<Item = QuarantinedPart> {
        self.quarantined.values().copied()
    }

    fn is_exonerated(&self, part: PromptPart, crashed_at: Instant) -> bool {
        let proof = self.proofs.get(&part);
        proof.is_some_and(|proof| proof.at >= crashed_at)
    }

    /// Returns whether a part is a suspect of a crash before `until`.
    pub fn was_suspect(&self, part: PromptPart, until: Instant) -> bool {
        let mut crashes = self
            .crashes
            .values()
            .filter(|crash| crash.at < until && crash.has(part));
        crashes.any(|crash| self.counted_suspects(crash).contains(&part))
    }

    /// Returns whether a target answered a request with a part not long before a crash.
    fn was_sound(&self, part: PromptPart, crashed_at: Instant) -> bool {
        let proof = self.proofs.get(&part);
        proof.is_some_and(|proof| crashed_at < proof.at + PROOF_RETENTION)
    }

    /// Returns the suspects among `parts` that have not been answered since a crash.
    fn open_suspects<'a>(
        &'a self,
        crash: &'a Crash,
        parts: &'a BTreeSet<PromptPart>,
    ) -> impl Iterator<Item = PromptPart> + 'a {
        let parts = parts.iter().copied();
        parts.filter(|part| !self.is_exonerated(*part, crash.at))
    }

    /// Returns the suspects of a crash that have not been answered since. Those that were waiting
    /// count only if there is no other.
    fn counted_suspects(&self, crash: &Crash) -> Vec<PromptPart> {
        let begun: Vec<_> = self.open_suspects(crash, &crash.suspects).collect();
        if begun.is_empty() {
            self.open_suspects(crash, &crash.waiting).collect()
        } else {
            begun
        }
    }

    /// Puts parts in quarantine that explain several crashes, and computes the times of refusal.
    fn review(&mut self) -> Vec<PartChange> {
        let mut changes = Vec::new();
        self.extend_quarantines(&mut changes);
        while self.quarantined.len() < MAX_QUARANTINED
            && let Some(culprit) = self.find_culprit()
        {
            self.quarantined.insert(culprit.part, culprit);
            changes.push(PartChange::Quarantined(culprit));
        }
        self.holds = self.hold_periods();
        changes
    }

    /// Counts further crashes against the parts that are already in quarantine.
    fn extend_quarantines(&mut self, changes: &mut Vec<PartChange>) {
        let crashes = self.crashes.values();
        let mut crashes: Vec<_> = crashes
            .map(|crash| (crash.at, self.counted_suspects(crash)))
            .collect();
        crashes.sort_by_key(|(at, _)| *at);
        for (at, suspects) in crashes {
            for part in &suspects {
                if let Some(known) = self.quarantined.get_mut(part)
                    && at > known.crashed_at + INCIDENT_GAP
                {
                    known.crashed_at = at;
                    known.incidents = known.incidents.saturating_add(1);
                    changes.push(PartChange::Quarantined(*known));
                }
            }
        }
    }

    /// Returns the part that explains the most crashes for which no part in quarantine is a
    /// suspect; `None` if there is none or several explain the same number.
    fn find_culprit(&self) -> Option<QuarantinedPart> {
        let mut times: BTreeMap<PromptPart, Vec<Instant>> = BTreeMap::new();
        for crash in self.unexplained() {
            for part in self.counted_suspects(crash) {
                times.entry(part).or_default().push(crash.at);
            }
        }
        let mut candidates: Vec<_> = times
            .into_iter()
            .filter_map(|(part, mut times)| {
                times.sort();
                let incidents = count_incidents(&times);
                let first = *times.first()?;
                let required = match self.was_sound(part, first) {
                    true => PROVEN_INCIDENTS,
                    false => INCIDENTS,
                };
                let is_candidate = incidents >= required;
                is_candidate.then_some((incidents, times.len(), part, *times.last()?))
            })
            .collect();
        candidates.sort_by_key(|(incidents, crashes, ..)| (*incidents, *crashes));
        let (incidents, crashes, part, crashed_at) = candidates.pop()?;
        let is_tied = candidates
            .last()
            .is_some_and(|(next, next_crashes, ..)| (*next, *next_crashes) == (incidents, crashes));
        (!is_tied).then_some(QuarantinedPart {
            part,
            crashed_at,
            incidents: u32::try_from(incidents).unwrap_or(u32::MAX),
        })
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.values();
        crashes.filter(|crash| {
            let suspects = match crash.suspects.is_empty() {
                true => &crash.waiting,
                false => &crash.suspects,
            };
            let mut suspects = suspects.iter();
            !suspects.any(|part| self.quarantined.contains_key(part))
        })
    }

    fn hold_periods(&self) -> HashMap<PromptPart, HoldPeriod> {
        let mut holds: HashMap<PromptPart, HoldPeriod> = HashMap::new();
        for crash in self.unexplained() {
            let begun: Vec<_> = self.open_suspects(crash, &crash.suspects).collect();
            let was_waiting = begun.is_empty() && self.waiting_rule == WaitingRule::Try;
            let open = match was_waiting {
                true => self.open_suspects(crash, &crash.waiting).collect(),
                false => begun,
            };
            let open = open.into_iter();
            let unproven: Vec<_> = open
                .filter(|part| !self.was_sound(*part, crash.at))
                .collect();
            let hold = match unproven.len() {
                0 => continue,
                1 if !was_waiting => HoldPeriod {
                    refused_until: crash.at + SUSPECT_HOLD,
                    trials_until: crash.at + SUSPECT_HOLD + SUSPECT_TRIALS,
                    is_shared: false,
                },
                _ => HoldPeriod {
                    refused_until: crash.at + SHARED_HOLD,
                    trials_until: crash.at + CRASH_RETENTION,
                    is_shared: true,
                },
            };
            for part in unproven {
                let known = holds.entry(part).or_insert(hold);
                if known.refused_until < hold.refused_until {
                    *known = hold;
                }
            }
        }
        for part in self.quarantined.values() {
            let hold = HoldPeriod {
                refused_until: part.crashed_at + part.hold(),
                trials_until: part.crashed_at + part.hold() * 2,
                is_shared: false,
            };
            holds.insert(part.part, hold);
        }
        holds
    }
}

/// Adds parts to the suspects of a crash, up to the limit.
fn add_bounded(suspects: &mut BTreeSet<PromptPart>, parts: &[PromptPart], limit: usize) {
    let room = limit.saturating_sub(suspects.len());
    suspects.extend(parts.iter().take(room));
}

/// Returns the number of incidents in sorted times of crashes.
fn count_incidents(times: &[Instant]) -> usize {
    let gaps = times
        .windows(2)
        .filter(|pair| pair[1] > pair[0] + INCIDENT_GAP);
    gaps.count() + usize::from(!times.is_empty())
}
