//! Settings for placement decisions, with the defaults and exceptions that they come from.

use {
    crate::configuration::{ConfigurationView, SettingContext, SettingKey},
    std::time::Duration,
};

/// Settings for a placement decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Whether maps are changed to save step time. Lost experts are replaced in any case.
    pub enabled: bool,
    /// Weight of saved step time against loading time, from 0 to 1.
    pub skew_weight: f64,
    /// Time over which a new map has to save more than the change to it costs.
    pub horizon: Duration,
    /// Smallest possible improvement of the step time that justifies a new map, from 0 to 1.
    pub hysteresis: f64,
    /// Defaults and exceptions that were used.
    pub sources: Vec<String>,
}

impl PlacementPolicy {
    /// Resolves the settings that apply to a group.
    pub fn resolve(view: &ConfigurationView, target: &SettingContext<'_>) -> Self {
        let mut sources = Vec::new();
        let mut number = |key: SettingKey| {
            let resolved = view.resolve(key, target);
            sources.push(resolved.source.to_string());
            resolved.value
        };
        Self {
            enabled: number(SettingKey::PlacementMode).is_first_choice(),
            skew_weight: number(SettingKey::SkewWeight).as_number() as f64 / 100.0,
            horizon: Duration::from_secs(number(SettingKey::PlacementHorizon).as_number()),
            hysteresis: number(SettingKey::PlacementHysteresis).as_number() as f64 / 100.0,
            sources,
        }
    }
}
