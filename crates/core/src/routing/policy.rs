//! Settings for the routing of one request.

use crate::{
    configuration::{
        ConfigurationView, ExceptionScope, ResolvedSetting, SettingContext, SettingKey,
        SettingSource,
    },
    ids::{ServiceName, TeamName, ZoneName},
    membership::{CachedSetting, target::zone_hash},
};

/// Settings for the routing of one request. The settings of targets are cached with the targets.
#[derive(Clone, Debug)]
pub struct RoutePolicy {
    /// Hash of the availability zone of the entry.
    pub own_zone: u64,
    /// Whether prefix affinity applies.
    pub affinity: ResolvedSetting,
    /// Load of the preferred target up to which prefix affinity holds, in percent of the mean load.
    pub load_bound: ResolvedSetting,
    /// Limit on the requests in flight at a target, if an exception for the team sets it.
    pub team_limit: Option<CachedSetting>,
    /// Cost of a target in another availability zone, in milliseconds, if an exception for the team
    /// sets it.
    pub team_zone_cost: Option<CachedSetting>,
}

impl RoutePolicy {
    /// Resolves the settings for a request of `team` to `service`, at an entry in `own_zone`.
    pub fn resolve(
        view: &ConfigurationView,
        own_zone: &ZoneName,
        service: &ServiceName,
        team: &TeamName,
    ) -> Self {
        let context = SettingContext {
            team: Some(team),
            service: Some(service),
            availability_zone: Some(own_zone),
            ..SettingContext::default()
        };
        let team_only = SettingContext {
            team: Some(team),
            ..SettingContext::default()
        };
        Self {
            own_zone: zone_hash(own_zone),
            affinity: view.resolve(SettingKey::Affinity, &context),
            load_bound: view.resolve(SettingKey::LoadBound, &context),
            team_limit: team_exception(view, SettingKey::TargetConcurrency, &team_only),
            team_zone_cost: team_exception(view, SettingKey::OtherZoneCost, &team_only),
        }
    }
}

/// Returns the setting that an exception for the team of `context` gives `key`, if there is one.
fn team_exception(
    view: &ConfigurationView,
    key: SettingKey,
    context: &SettingContext<'_>,
) -> Option<CachedSetting> {
    // Most fleets have no exception for the team; then the resolution is skipped to save time.
    let mut exceptions = view.snapshot.exceptions.values();
    exceptions.find(|exception| {
        let is_own = match &exception.scope {
            ExceptionScope::Team(team) => context.team == Some(team),
            _ => false,
        };
        exception.key == key && is_own
    })?;
    let setting = CachedSetting::resolve(view, key, context);
    matches!(setting.source, SettingSource::Exception(_)).then_some(setting)
}
