//! Collects the expert counts, step times and map versions of all members of the group.

use {
    super::{
        super::orders::figures::token_difference, map_store::MapSize, members::GroupMember,
        options::PlacerOptions,
    },
    sassafrasslip_core::{
        events::LogEvent::RankSlow,
        ids::GroupName,
        log_event,
        placement::{CountsAverage, ExpertCounts, ExpertMap, RankHealth, RankReport, layer_loads},
    },
    sassafrasslip_proto::link::MapReply,
    std::time::Duration,
    tokio::time::Instant,
};

/// Weight of a new report in the moving average of a rank's step time. Engines report single steps,
/// whose times vary with the experts that their few tokens use.
const STEP_TIME_SMOOTHING: f64 = 0.3;

/// Latest report of a member.
#[derive(Clone, Debug)]
struct MemberReport {
    tokens: Vec<Vec<u64>>,
    step: u64,
    map_version: u64,
    received_at: Instant,
}

/// Rates, step times and map versions of a group. A round is complete when every member has
/// contributed counts.
#[derive(Debug)]
pub struct CountCollector {
    group: GroupName,
    members: Vec<GroupMember>,
    half_life: Duration,
    reports: Vec<Option<MemberReport>>,
    /// Tokens by layer and expert since the last round.
    round_counts: Option<ExpertCounts>,
    /// Whether each member has contributed to `round_counts`.
    contributed: Vec<bool>,
    round_started: Instant,
    average: Option<CountsAverage>,
    /// Moving average of the step time of each rank; 0 before its first report.
    rank_step_us: Vec<f64>,
    step_time: Duration,
    health: RankHealth,
}

impl CountCollector {
    /// Creates a collector for members that are sorted by first rank; the first round starts at
    /// `now`.
    pub fn new(
        group: GroupName,
        members: Vec<GroupMember>,
        options: &PlacerOptions,
        now: Instant,
    ) -> Self {
        let ranks = members.iter().map(|member| member.ranks).sum();
        Self {
            group,
            half_life: options.count_half_life,
            reports: vec![None; members.len()],
            round_counts: None,
            contributed: vec![false; members.len()],
            round_started: now,
            average: None,
            rank_step_us: vec![0.0; ranks],
            step_time: Duration::ZERO,
            health: RankHealth::new(ranks),
            members,
        }
    }

    /// Records the reply to a query; returns whether it completes a round.
    pub fn observe(&mut self, member: usize, reply: &MapReply, now: Instant) -> bool {
        if reply.expert_tokens.is_empty() || member >= self.members.len() {
            return false;
        }
        let layers = reply.expert_tokens.iter();
        let report = MemberReport {
            tokens: layers.map(|layer| layer.tokens.clone()).collect(),
            step: reply.current_step,
            map_version: reply.map_version,
            received_at: now,
        };
        self.observe_step_times(member, reply);
        if let Some(before) = self.reports[member].replace(report.clone()) {
            self.add_difference(member, &before, &report);
        }
        if !self.contributed.iter().all(|contributed| *contributed) {
            return false;
        }
        self.end_round(now);
        true
    }

    /// Returns the size of the group's maps; `None` before the first complete round.
    pub fn size(&self) -> Option<MapSize> {
        let rates = self.average.as_ref()?.rates()?;
        Some(MapSize {
            layers: rates.layers(),
            experts: rates.experts(),
            ranks: self.rank_step_us.len(),
        })
    }

    /// Returns the map version that all members use; `None` if they differ or a report is missing.
    pub fn map_version(&self) -> Option<u64> {
        let mut versions = self
            .reports
            .iter()
            .map(|report| Some(report.as_ref()?.map_version));
        let first = versions.next()??;
        versions
            .all(|version| version == Some(first))
            .then_some(first)
    }

    /// Returns the average token rate of each expert, per second; `None` before it is known.
    pub fn rates(&self) -> Option<ExpertCounts> {
        self.average.as_ref()?.rates()
    }

    /// Returns the weights of the ranks: 1 for a healthy rank, less for a slow one.
    pub fn weights(&self) -> Vec<f64> {
        self.health.weights()
    }

    /// Returns the mean duration of a step between the two latest reports of one member.
    pub fn step_time(&self) -> Duration {
        self.step_time
    }

    /// Detects and logs ranks that are slow relative to their load, as opposed to ranks that are
    /// slow because they hold a hot expert.
    pub fn detect_slow_ranks(&mut self, map: &ExpertMap, now: Instant) {
        let Some(rates) = self.rates() else {
            return;
        };
        let ranks = self.rank_step_us.len();
        let (mut total, mut loads) = (vec![0.0; ranks], vec![0.0; ranks]);
        for layer in 0..map.layers() {
            layer_loads(map, &rates, layer, &mut loads);
            let sums = total.iter_mut().zip(&loads);
            sums.for_each(|(total, load)| *total += load);
        }
        let reports = total.iter().zip(&self.rank_step_us);
        let reports = reports.map(|(load, step_us)| RankReport {
            load: *load,
            step_us: *step_us,
        });
        let reports: Vec<RankReport> = reports.collect();
        for rank in self.health.observe(&reports, now) {
            log_event!(
                RankSlow,
                group = self.group,
                rank = rank,
                step_us = reports[rank].step_us,
                load = reports[rank].load,
                weight = self.health.weights()[rank]
            );
        }
    }

    fn observe_step_times(&mut self, member: usize, reply: &MapReply) {
        let GroupMember {
            first_rank, ranks, ..
        } = self.members[member];
        let times = &mut self.rank_step_us[first_rank..first_rank + ranks];
        for (mean, step_us) in times.iter_mut().zip(&reply.rank_step_us) {
            let step_us = *step_us as f64;
            let first = *mean == 0.0;
            *mean += (step_us - *mean) * if first { 1.0 } else { STEP_TIME_SMOOTHING };
        }
    }

    fn add_difference(&mut self, member: usize, before: &MemberReport, report: &MemberReport) {
        let steps = report.step.saturating_sub(before.step);
        if let Ok(steps) = u32::try_from(steps)
            && steps > 0
        {
            self.step_time = (report.received_at - before.received_at) / steps;
        }
        let Some(added) = token_difference(&report.tokens, &before.tokens) else {
            return;
        };
        let same_size = |round_counts: &ExpertCounts| {
            round_counts.layers() == added.layers() && round_counts.experts() == added.experts()
        };
        self.contributed[member] = true;
        match &mut self.round_counts {
            Some(round_counts) if same_size(round_counts) => round_counts.add(&added, 1.0),
            round_counts => *round_counts = Some(added),
        }
    }

    fn end_round(&mut self, now: Instant) {
        self.contributed.fill(false);
        let interval = now.saturating_duration_since(self.round_started);
        self.round_started = now;
        let Some(counts) = self.round_counts.take() else {
            return;
        };
        let (layers, experts) = (counts.layers(), counts.experts());
        let new = || CountsAverage::new(layers, experts, self.half_life);
        let average = self.average.get_or_insert_with(new);
        average.observe(&counts, interval);
    }
}
