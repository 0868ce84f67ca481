//! Configuration as an instance sees it: a snapshot, and whether its lease is live.

use {
    super::{
        Revision,
        catalogue::{SettingKey, SettingValue},
        lease::has_ended,
        snapshot::{ConfigurationSnapshot, ResolvedSetting, SettingContext},
    },
    std::sync::Arc,
    tokio::time::Instant,
};

/// Snapshot in force at an instance.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// Newest revision that the instance has seen.
    pub snapshot: Arc<ConfigurationSnapshot>,
    /// Whether the instance holds a live configuration lease. Without one, the `cut_off.*`
    /// settings apply on top.
    pub lease_live: bool,
    /// End of the lease. A process that was paused checks it before its timer has run.
    pub lease_expires_at: Option<Instant>,
}

impl ConfigurationView {
    /// Returns the view as it is at the time `now`: without a live lease once the lease has ended.
    pub fn at(self: &Arc<Self>, now: Instant) -> Arc<Self> {
        if !self.lease_live || !has_ended(self.lease_expires_at, now) {
            return Arc::clone(self);
        }
        Arc::new(Self {
            lease_live: false,
            ..Self::clone(self)
        })
    }

    /// Returns the revision of the snapshot.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Returns the value of `key` that applies to `target`. Concurrency limits are reduced by
    /// `cut_off.concurrency` while the lease is lapsed.
    pub fn resolve(&self, key: SettingKey, target: &SettingContext<'_>) -> ResolvedSetting {
        let resolved = self.snapshot.resolve(key, target);
        let limited = matches!(
            key,
            SettingKey::TeamConcurrency | SettingKey::TargetConcurrency
        );
        if self.lease_live || !limited {
            return resolved;
        }
        let share = self.snapshot.resolve(SettingKey::CutOffConcurrency, target);
        let percent = share.value.as_number();
        if percent == 100 {
            return resolved;
        }
        let number = (resolved.value.as_number() * percent / 100).max(1);
        ResolvedSetting {
            value: SettingValue::Number(number),
            source: share.source,
        }
    }

    /// Returns whether the instance accepts work at all.
    pub fn serves(&self, target: &SettingContext<'_>) -> bool {
        let mode = self.snapshot.resolve(SettingKey::CutOffMode, target);
        self.lease_live || mode.value.is_first_choice()
    }
}
