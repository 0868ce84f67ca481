//! Per-target settings, resolved once for each configuration view instead of for each request.

use crate::configuration::{
    ConfigurationView, ExceptionScope, SettingContext, SettingKey, SettingSource,
};

/// Numeric setting of a target, resolved without the team of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedSetting {
    /// Value in the unit of the setting.
    pub number: u64,
    /// Default or exception that the value comes from.
    pub source: SettingSource,
    /// Whether the value comes from an exception that takes precedence over one for a team.
    pub overrides_team: bool,
}

impl CachedSetting {
    /// Resolves `key` in `view` for a context that names no team.
    pub fn resolve(
        view: &ConfigurationView,
        key: SettingKey,
        context: &SettingContext<'_>,
    ) -> Self {
        let resolved = view.resolve(key, context);
        let decided = view.snapshot.resolve(key, context).source;
        let scope = match &decided {
            SettingSource::Default(_) => None,
            SettingSource::Exception(id) => view.snapshot.exceptions.get(id),
        };
        let overrides_team = scope.is_some_and(|exception| {
            matches!(
                exception.scope,
                ExceptionScope::Group(_) | ExceptionScope::Target(_)
            )
        });
        Self {
            number: resolved.value.as_number(),
            source: resolved.source,
            overrides_team,
        }
    }

    /// Returns the setting that applies to a request, where `team` is the setting of an exception
    /// for the team of the request, if there is one.
    pub fn or_team_exception<'a>(&'a self, team: Option<&'a Self>) -> &'a Self {
        team.filter(|_| !self.overrides_team).unwrap_or(self)
    }
}
