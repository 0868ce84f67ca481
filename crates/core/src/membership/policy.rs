//! Settings of a target, resolved once for each configuration view.

use crate::configuration::{
    ConfigurationView, ExceptionScope, SettingContext, SettingKey, SettingSource,
};

/// Number of a setting, resolved without the team of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedSetting {
    /// Value in the setting's unit.
    pub number: u64,
    /// Default or exception that decided.
    pub source: SettingSource,
    /// Whether the exception that decided is more specific than one for a team.
    pub overrides_team: bool,
}

impl CachedSetting {
    /// Resolves a setting.
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

    /// Returns the setting that applies to a request whose team has an exception of its own.
    pub fn or_team_exception<'a>(&'a self, team: Option<&'a Self>) -> &'a Self {
        team.filter(|_| !self.overrides_team).unwrap_or(self)
    }
}
