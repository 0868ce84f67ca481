//! Tests the lease holder: its revision never falls, and no change is accepted while a holder with
//! a live lease has not applied it.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    sassafrasslip_core::configuration::{
        ConfigurationSnapshot, HolderEffect, KnownRecord, LeaseGrant, LeaseHolder,
        LeaseObservation, LeaseRecord, LeaseRenewal, RenewalDecision, RenewalKind, Revision,
        acceptance_report,
    },
    std::{
        sync::{Arc, LazyLock},
        time::Duration,
    },
    tokio::time::Instant,
};

const LEASE: Duration = Duration::from_millis(3_000);
const HOLDERS: usize = 3;

fn snapshot(revision: Revision) -> Arc<ConfigurationSnapshot> {
    Arc::new(ConfigurationSnapshot {
        revision,
        ..ConfigurationSnapshot::default()
    })
}

fn grant(kind: RenewalKind, started: Instant) -> LeaseGrant {
    LeaseGrant {
        kind,
        expires_at: started + LEASE,
    }
}

#[test]
fn lease_counts_from_before_the_renewal_was_sent() {
    let (mut holder, started) = (LeaseHolder::new().unwrap(), Instant::now());
    let answered = started + Duration::from_millis(2_900);
    let effect = holder.on_granted(grant(RenewalKind::Acquire, started), answered);
    assert_eq!(effect, HolderEffect::BecameLive);
    assert_eq!(holder.expire(started + LEASE), HolderEffect::BecameCutOff);
}

#[test]
fn answer_to_a_renewal_does_not_revive_a_lapsed_lease() {
    let (mut holder, started) = (LeaseHolder::new().unwrap(), Instant::now());
    holder.on_granted(grant(RenewalKind::Acquire, started), started);
    let sent = started + Duration::from_millis(2_900);
    let late = grant(RenewalKind::Renew, sent);
    let now = started + LEASE;
    assert_eq!(holder.on_granted(late, now), HolderEffect::BecameCutOff);
    assert_eq!(holder.on_granted(late, now), HolderEffect::Nothing);
    assert!(!holder.view(now).lease_live);
}

/// Guards against an entry that was frozen for longer than its lease, and that answers operators
/// from its old revision as if the lease were live until its timer fires.
#[test]
fn lease_is_not_live_after_its_end_even_if_the_timer_is_late() {
    let (mut holder, started) = (LeaseHolder::new().unwrap(), Instant::now());
    holder.on_granted(grant(RenewalKind::Acquire, started), started);
    let before = started + LEASE - Duration::from_millis(1);
    assert!(holder.view(before).lease_live);
    assert!(!holder.view(started + LEASE).lease_live);
}

#[test]
fn snapshot_of_a_peer_is_ignored_while_the_lease_is_held() {
    let (mut holder, started) = (LeaseHolder::new().unwrap(), Instant::now());
    holder.on_granted(grant(RenewalKind::Acquire, started), started);
    let effect = holder.on_snapshot_received(snapshot(5));
    assert_eq!(effect, HolderEffect::Ignored(5));
    let effect = holder.on_revision_read(snapshot(5));
    assert_eq!(effect, HolderEffect::Applied(5));
}

#[test]
fn lease_of_another_incarnation_is_replaced_only_after_its_end() {
    let record = LeaseRecord {
        incarnation: 1,
        applied_revision: 4,
        expires_ms: 1_000,
    };
    let renewal = LeaseRenewal {
        incarnation: 2,
        kind: RenewalKind::Acquire,
        published: Some(4),
    };
    let decide = |time_ms| renewal.decide(4, time_ms, KnownRecord::Read(Some(&record)), LEASE);
    assert_eq!(decide(999), RenewalDecision::Superseded);
    assert!(matches!(decide(1_000), RenewalDecision::Write { .. }));
}

/// Step of the simulated fleet. A `usize` is the index of a holder.
#[derive(Clone, Copy, Debug)]
enum FleetStep {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A change is committed, which raises the head revision.
    Change,
    /// The fleet evaluates whether the head revision is accepted.
    EvaluateAcceptance,
    SendRenewal(usize),
    CommitRenewal(usize),
    ReceiveAnswer(usize),
    LoseAnswer(usize),
    ReadHead(usize),
    /// The holder reads a revision that is behind the head by this many.
    ReadOld(usize, Revision),
    /// The holder receives a snapshot from a peer that is behind the head by this many.
    ReceiveSnapshot(usize, Revision),
    Publish(usize),
    Restart(usize),
}

fn fleet_step() -> impl Strategy<Value = FleetStep> {
    let holder = || 0..HOLDERS;
    prop_oneof![
        3 => (1_u64..2_000).prop_map(FleetStep::Advance),
        2 => Just(FleetStep::Change),
        3 => Just(FleetStep::EvaluateAcceptance),
        6 => holder().prop_map(FleetStep::SendRenewal),
        6 => holder().prop_map(FleetStep::CommitRenewal),
        6 => holder().prop_map(FleetStep::ReceiveAnswer),
        1 => holder().prop_map(FleetStep::LoseAnswer),
        4 => holder().prop_map(FleetStep::ReadHead),
        1 => (holder(), 0_u64..8).prop_map(|(holder, lag)| FleetStep::ReadOld(holder, lag)),
        1 => (holder(), 0_u64..8).prop_map(|(holder, lag)| FleetStep::ReceiveSnapshot(holder, lag)),
        5 => holder().prop_map(FleetStep::Publish),
        1 => holder().prop_map(FleetStep::Restart),
    ]
}

/// Renewal that is on its way to the table, or whose answer is on its way back.
#[derive(Clone, Debug)]
struct RenewalInFlight {
    kind: RenewalKind,
    started: Instant,
    head: Revision,
    version: u64,
    decision: RenewalDecision,
    /// Whether the table has committed the renewal; `None` if it has not served it yet.
    committed: Option<bool>,
}

struct TestHolder {
    holder: LeaseHolder,
    incarnation: u64,
    in_flight: Option<RenewalInFlight>,
    /// Renewals that the holder has abandoned but that the table may still commit.
    late: Vec<RenewalInFlight>,
}

/// Parsing the state chart takes most of the time of a case, so it is parsed only once.
static NEW_HOLDER: LazyLock<LeaseHolder> = LazyLock::new(|| LeaseHolder::new().unwrap());

impl TestHolder {
    fn new(incarnation: u64) -> Self {
        Self {
            holder: NEW_HOLDER.clone(),
            incarnation,
            in_flight: None,
            late: Vec::new(),
        }
    }
}

struct TestFleet {
    now: Instant,
    /// Time of the table's clock, in milliseconds.
    time_ms: u64,
    /// Latest committed revision.
    head: Revision,
    /// Highest revision that was found to be accepted.
    accepted: Revision,
    /// Lease record of each holder in the table, with the version of the table's row.
    records: Vec<(u64, Option<LeaseRecord>)>,
    holders: Vec<TestHolder>,
    /// Holders of earlier incarnations, whose processes may still run until their leases end.
    earlier: Vec<LeaseHolder>,
    /// Number of incarnations so far; each restart begins a new one.
    incarnations: u64,
}

impl TestFleet {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            time_ms: 50_000,
            head: 0,
            accepted: 0,
            records: vec![(0, None); HOLDERS],
            holders: (1..=HOLDERS as u64).map(TestHolder::new).collect(),
            earlier: Vec::new(),
            incarnations: HOLDERS as u64,
        }
    }

    fn step(&mut self, step: FleetStep) {
        match step {
            FleetStep::Advance(duration_ms) => {
                self.time_ms += duration_ms;
                self.now += Duration::from_millis(duration_ms);
            }
            FleetStep::Change => self.head += 1,
            FleetStep::EvaluateAcceptance => self.evaluate_acceptance(),
            FleetStep::SendRenewal(holder) => self.send_renewal(holder),
            FleetStep::CommitRenewal(holder) => self.commit_renewal(holder),
            FleetStep::ReceiveAnswer(holder) => self.receive_answer(holder),
            FleetStep::LoseAnswer(holder) => self.lose_answer(holder),
            FleetStep::ReadHead(holder) => self.read(holder, self.head),
            FleetStep::ReadOld(holder, lag) => self.read(holder, self.head.saturating_sub(lag)),
            FleetStep::ReceiveSnapshot(holder, lag) => {
                let revision = self.head.saturating_sub(lag);
                let holder = &mut self.holders[holder].holder;
                holder.on_snapshot_received(snapshot(revision));
            }
            FleetStep::Publish(holder) => {
                let holder = &mut self.holders[holder].holder;
                if let Some(revision) = holder.applied() {
                    holder.on_published(revision);
                }
            }
            FleetStep::Restart(holder) => {
                self.incarnations += 1;
                let holder = &mut self.holders[holder];
                let earlier = std::mem::replace(holder, TestHolder::new(self.incarnations));
                holder.late = earlier.late;
                self.earlier.push(earlier.holder);
            }
        }
    }

    fn read(&mut self, holder: usize, revision: Revision) {
        let holder = &mut self.holders[holder].holder;
        holder.on_revision_read(snapshot(revision));
    }

    fn evaluate_acceptance(&mut self) {
        let records = self.records.iter().enumerate();
        let leases: Vec<_> = records
            .filter_map(|(holder, (_, record))| {
                Some(LeaseObservation {
                    instance: format!("entry-{holder}").parse().unwrap(),
                    record: record.clone()?,
                    time_ms: self.time_ms,
                })
            })
            .collect();
        if acceptance_report(self.head, &leases).is_accepted() {
            self.accepted = self.head;
        }
    }

    fn send_renewal(&mut self, index: usize) {
        let (version, record) = &self.records[index];
        let holder = &mut self.holders[index];
        if holder.in_flight.is_some() {
            return;
        }
        let renewal = LeaseRenewal {
            incarnation: holder.incarnation,
            kind: holder.holder.renewal_kind(),
            published: holder.holder.published(),
        };
        let known = KnownRecord::Read(record.as_ref());
        holder.in_flight = Some(RenewalInFlight {
            kind: renewal.kind,
            started: self.now,
            head: self.head,
            version: *version,
            decision: renewal.decide(self.head, self.time_ms, known, LEASE),
            committed: None,
        });
    }

    /// Serves a late renewal, or the renewal in flight if there is no late one.
    fn commit_renewal(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        let late = holder.late.pop();
        let Some(renewal) = late.or_else(|| holder.in_flight.clone()) else {
            return;
        };
        let RenewalDecision::Write { record, at_head } = renewal.decision else {
            return;
        };
        let (version, stored) = &mut self.records[index];
        let is_head_unchanged = !at_head || renewal.head == self.head;
        let committed = *version == renewal.version && is_head_unchanged;
        if committed {
            *version += 1;
            *stored = Some(record);
        }
        let in_flight = holder.in_flight.as_mut();
        if let Some(in_flight) = in_flight.filter(|other| other.started == renewal.started) {
            in_flight.committed.get_or_insert(committed);
        }
    }

    fn receive_answer(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        let Some(renewal) = holder.in_flight.take() else {
            return;
        };
        let RenewalInFlight { kind, started, .. } = renewal;
        match (&renewal.decision, renewal.committed) {
            (RenewalDecision::Superseded, _) => holder.holder.on_superseded(),
            (RenewalDecision::Write { .. }, Some(true)) => {
                holder.holder.on_granted(grant(kind, started), self.now)
            }
            _ => holder.holder.on_renewal_failed(self.now),
        };
    }

    fn lose_answer(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        if let Some(renewal) = holder.in_flight.take() {
            holder.holder.on_renewal_failed(self.now);
            holder
                .late
                .extend(renewal.committed.is_none().then_some(renewal));
        }
    }

    /// Lets the timers of all leases fire.
    fn expire(&mut self) {
        let holders = self.holders.iter_mut().map(|holder| &mut holder.holder);
        for holder in holders.chain(&mut self.earlier) {
            holder.expire(self.now);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4_001),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_live_holder_has_applied_an_accepted_revision(steps in vec(fleet_step(), 1..120)) {
        let mut fleet = TestFleet::new();
        for step in steps {
            let before: Vec<_> = fleet
                .holders
                .iter()
                .map(|holder| (holder.incarnation, holder.holder.applied()))
                .collect();
            fleet.step(step);
            fleet.expire();
            for (holder, (incarnation, applied)) in fleet.holders.iter().zip(before) {
                let holder_applied = holder.holder.applied();
                prop_assert!(holder.incarnation != incarnation || holder_applied >= applied);
            }
            let holders = fleet.holders.iter().map(|holder| &holder.holder);
            for holder in holders.chain(&fleet.earlier) {
                let behind = holder.applied() < Some(fleet.accepted);
                prop_assert!(
                    !(holder.view(fleet.now).lease_live && behind),
                    "revision {} was accepted, but a holder with a live lease is at {:?}",
                    fleet.accepted,
                    holder.applied()
                );
            }
        }
    }
}
