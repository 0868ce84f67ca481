//! Settings that apply to the routing of one request.

use crate::{
    configuration::{
        ConfigurationView, ExceptionScope, ResolvedSetting, SettingContext, SettingKey,
        SettingSource,
    },
    ids::{ServiceName, TeamName, ZoneName},
    membership::{CachedSetting, target::zone_hash},
};

/// Settings of one request; those of the targets are kept with the targets.
#[derive(Clone, Debug)]
pub struct RoutePolicy {
    /// Hash of the availability zone of the entry.
    pub own_zone: u64,
    /// Whether prefix affinity applies.
    pub affinity: ResolvedSetting,
    /// Load up to which affinity holds, in percent of the mean.
    pub load_bound: ResolvedSetting,
    /// Target concurrency, if an exception for the team sets it.
    pub team_limit: Option<CachedSetting>,
    /// Cost of another availability zone, if an exception for the team sets it.
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

fn team_exception(
    view: &ConfigurationView,
    key: SettingKey,
    context: &SettingContext<'_>,
) -> Option<CachedSetting> {
    // Most fleets have no such exception, so the resolution itself is skipped.
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
