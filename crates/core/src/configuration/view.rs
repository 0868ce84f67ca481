//! Configuration in force at an instance: a snapshot, and whether the configuration lease is live.

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

/// Configuration in force at an instance.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// Snapshot of the newest revision that the instance has received.
    pub snapshot: Arc<ConfigurationSnapshot>,
    /// Whether the instance holds a live configuration lease. Otherwise it is in cut-off mode, and
    /// the `cut_off.*` settings apply in addition.
    pub lease_live: bool,
    /// End of the lease, if it is known. A process that was paused may use the view before its
    /// expiry timer has run, so [`Self::at`] compares this time with the current one.
    pub lease_expires_at: Option<Instant>,
}

impl ConfigurationView {
    /// Returns the view that applies at the time `now`, in which an expired lease is not live.
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

    /// Returns the value of `key` that applies in `context`. Without a live lease, concurrency
    /// limits are reduced to the percentage `cut_off.concurrency`, but not below 1.
    pub fn resolve(&self, key: SettingKey, context: &SettingContext<'_>) -> ResolvedSetting {
        let resolved = self.snapshot.resolve(key, context);
        let is_reducible = matches!(
            key,
            SettingKey::TeamConcurrency | SettingKey::TargetConcurrency
        );
        if self.lease_live || !is_reducible {
            return resolved;
        }
        let share = self
            .snapshot
            .resolve(SettingKey::CutOffConcurrency, context);
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

    /// Returns whether the instance accepts requests in `context`: always with a live lease, and
    /// otherwise if `cut_off.mode` is `serve`.
    pub fn serves(&self, context: &SettingContext<'_>) -> bool {
        let mode = self.snapshot.resolve(SettingKey::CutOffMode, context);
        self.lease_live || mode.value.is_first_choice()
    }
}
