//! Values of the model group that the agent's reports carry, computed from the engine's load
//! reports.

use {
    super::engine::{EngineLoad, TokenTable},
    crate::agent::order_handler::ReportExtras,
    sassafrasslip_core::{
        ids::KindName,
        placement::{ExpertCounts, ExpertMap, KindProfiles, hot_rank_cost},
    },
    sassafrasslip_proto::link::KindCost,
    std::collections::BTreeMap,
};

/// Weight of a new report in the moving average of the step time.
const STEP_TIME_SMOOTHING: f64 = 0.3;

/// Values for the reports, and the counters that they are computed from.
#[derive(Debug, Default)]
pub struct GroupFigures {
    extras: ReportExtras,
    profiles: KindProfiles,
    /// Cumulative counters of each request kind in the engine's last report: its tokens, and its
    /// tokens by layer and expert.
    last_counters: BTreeMap<String, (u64, TokenTable)>,
}

impl GroupFigures {
    /// Returns the values for the next report.
    pub fn report_extras(&self) -> ReportExtras {
        self.extras.clone()
    }

    /// Sets the costs of request kinds that the reports carry.
    pub fn set_kind_costs(&mut self, costs: Vec<KindCost>) {
        self.extras.kind_costs = costs;
    }

    /// Updates the values from a load report of the engine.
    pub fn observe(&mut self, load: &EngineLoad) {
        let mean = self.extras.mean_step_us as f64;
        let change = (load.step_us as f64 - mean) * STEP_TIME_SMOOTHING;
        let known = self.extras.mean_step_us > 0;
        let mean = if known {
            mean + change
        } else {
            load.step_us as f64
        };
        self.extras.mean_step_us = mean as u64;
        self.extras.map_version = load.map_version;
        for (kind, tokens) in &load.kind_tokens {
            if let Some(counts) = load.kind_expert_tokens.get(kind) {
                self.observe_kind(kind, *tokens, counts);
            }
        }
    }

    fn observe_kind(&mut self, kind: &str, tokens: u64, counts: &TokenTable) {
        let Ok(name) = kind.parse::<KindName>() else {
            return;
        };
        let latest = (tokens, counts.clone());
        // No difference can be computed for the first report or for a counter that fell after a
        // restart of the engine.
        let Some((before, old)) = self.last_counters.insert(kind.to_owned(), latest) else {
            return;
        };
        if let Some(added) = token_difference(counts, &old) {
            let tokens = tokens.saturating_sub(before);
            self.profiles.observe(&name, tokens as f64, &added);
        }
    }

    /// Computes the costs of the request kinds that the engine has served, except those whose
    /// counts do not match the size of the map.
    pub fn kind_costs(
        &self,
        map: &ExpertMap,
        counts: &ExpertCounts,
        weights: &[f64],
    ) -> Vec<KindCost> {
        let fits = |profile: &ExpertCounts| {
            profile.layers() == map.layers() && profile.experts() == map.experts()
        };
        let profiles = self.profiles.profiles();
        let profiles = profiles.filter(|(_, profile)| fits(profile));
        let costs = profiles.map(|(kind, profile)| KindCost {
            kind: kind.to_string(),
            hot_rank_cost: hot_rank_cost(map, counts, weights, &profile) as f32,
        });
        costs.collect()
    }
}

/// Returns the increase of cumulative counters; `None` if one fell or their dimensions changed.
pub fn token_difference(new: &TokenTable, old: &TokenTable) -> Option<ExpertCounts> {
    let experts = new.first().map_or(0, Vec::len);
    let mut added = ExpertCounts::new(new.len(), experts);
    if new.len() != old.len() {
        return None;
    }
    for (layer, (new, old)) in new.iter().zip(old).enumerate() {
        if new.len() != experts || old.len() != experts {
            return None;
        }
        let tokens = added.layer_mut(layer).iter_mut();
        for ((tokens, new), old) in tokens.zip(new).zip(old) {
            *tokens = new.checked_sub(*old)? as f64;
        }
    }
    Some(added)
}
