//! Settings that apply to one request, resolved when it arrives.

use {
    crate::entry::context::EntryContext,
    sassafrasslip_core::{
        configuration::{SettingContext, SettingKey},
        ids::{ServiceName, TeamName},
        limits::{QueueLimits, TeamLimits},
    },
    std::time::Duration,
};

/// Settings that apply to one request. They stay the same for all its attempts, also if the
/// configuration changes meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct RunSettings {
    /// Limits of the team on concurrent requests and on the request rate.
    pub team: TeamLimits,
    /// Limits on the length of the wait queue and on the time that a request waits in it.
    pub queue: QueueLimits,
    /// Time limit of a request whose caller gives none.
    pub deadline: Duration,
    /// Retry budget: retries as a share of first attempts, in percent.
    pub retry_budget: u64,
    /// Maximum number of attempts, including the first.
    pub attempts: u32,
    /// Time after which a refused caller may retry, unless the refusal itself gives a longer one or
    /// the agent gives its own.
    pub retry_after: Duration,
}

impl RunSettings {
    /// Resolves the settings of a request from the configuration in force, by team, service and
    /// availability zone of the entry.
    pub fn resolve(context: &EntryContext, service: &ServiceName, team: &TeamName) -> Self {
        let view = context.current_view();
        let scope = SettingContext {
            team: Some(team),
            service: Some(service),
            availability_zone: Some(&context.identity.availability_zone),
            ..SettingContext::default()
        };
        let value = |key| view.resolve(key, &scope).value;
        let number = |key| u32::try_from(value(key).as_number()).unwrap_or(u32::MAX);
        Self {
            team: TeamLimits {
                concurrency: number(SettingKey::TeamConcurrency),
                rate: number(SettingKey::TeamRate),
            },
            queue: QueueLimits {
                length: number(SettingKey::QueueLength) as usize,
                wait: value(SettingKey::QueueWait).as_millis(),
            },
            deadline: value(SettingKey::RequestDeadline).as_millis(),
            retry_budget: value(SettingKey::RetryBudget).as_number(),
            attempts: number(SettingKey::RetryAttempts),
            retry_after: value(SettingKey::RetryAfter).as_millis(),
        }
    }
}
