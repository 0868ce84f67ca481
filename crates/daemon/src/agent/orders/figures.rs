//! Figures of the group that the agent's reports carry.

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

/// Part of the mean step time that a new report replaces.
const STEP_TIME_SMOOTHING: f64 = 0.3;

/// Figures and the counters that they are computed from.
#[derive(Debug, Default)]
pub struct FigureBook {
    figures: ReportExtras,
    profiles: KindProfiles,
    /// Cumulative counters of the engine's last report.
    seen: BTreeMap<String, (u64, TokenTable)>,
}

impl FigureBook {
    /// Returns the figures.
    pub fn group_figures(&self) -> ReportExtras {
        self.figures.clone()
    }

    /// Sets the costs of request kinds.
    pub fn set_kind_costs(&mut self, costs: Vec<KindCost>) {
        self.figures.kind_costs = costs;
    }

    /// Takes a load report of the engine.
    pub fn observe(&mut self, load: &EngineLoad) {
        let mean = self.figures.mean_step_us as f64;
        let change = (load.step_us as f64 - mean) * STEP_TIME_SMOOTHING;
        let known = self.figures.mean_step_us > 0;
        let mean = if known {
            mean + change
        } else {
            load.step_us as f64
        };
        self.figures.mean_step_us = mean as u64;
        self.figures.map_version = load.map_version;
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
        // The first report and a counter that fell, after a restart of the engine, give no interval.
        let Some((before, old)) = self.seen.insert(kind.to_owned(), latest) else {
            return;
        };
        if let Some(added) = token_difference(counts, &old) {
            let tokens = tokens.saturating_sub(before);
            self.profiles.observe(&name, tokens as f64, &added);
        }
    }

    /// Computes the costs of all kinds that the engine has seen.
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

/// Returns what cumulative counters have gained; `None` if they fell or changed their shape.
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
