//! Settings of one request, resolved when it arrives.

use {
    crate::entry::context::EntryContext,
    sassafrasslip_core::{
        configuration::{SettingContext, SettingKey},
        ids::{ServiceName, TeamName},
        limits::{QueueLimits, TeamLimits},
    },
    std::time::Duration,
};

/// Settings of one request.
#[derive(Clone, Copy, Debug)]
pub struct RunSettings {
    /// Limits of the team.
    pub team: TeamLimits,
    /// Limits of the queue.
    pub queue: QueueLimits,
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Retries as a share of first tries, in percent.
    pub retry_budget: u64,
    /// Attempts, the first one included.
    pub attempts: u32,
    /// Time after which a refused caller may come back.
    pub retry_after: Duration,
}

impl RunSettings {
    /// Resolves the settings for a request.
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
