//! Configuration of the fleet: defaults, exceptions to them, and changes by operators.
//!
//! Entries keep a copy of the configuration and hold a lease on it (see [`lease`]); without a live
//! lease, an entry is in cut-off mode. A change is accepted once every entry with a live lease has
//! applied it (see [`acceptance`]).

pub mod acceptance;
pub mod catalogue;
pub mod change;
pub mod exception;
pub mod keys;
pub mod lease;
pub mod plan;
pub mod renewal;
pub mod report;
pub mod snapshot;
pub mod state;
pub mod view;

pub use {
    acceptance::{AcceptanceReport, LeaseObservation, LeaseRecord, acceptance_report},
    catalogue::{SettingKey, SettingValue, ValueError},
    change::{ChangeAction, ChangeFault, ChangeRefusal, ChangeRequest},
    exception::{ExceptionScope, PolicyException},
    lease::{HolderEffect, LeaseGrant, LeaseHolder, RenewalKind},
    plan::{ChangeCondition, ChangePlan, ChangeWrite, HistoryRecord},
    renewal::{KnownRecord, LeaseRenewal, RenewalDecision},
    snapshot::{
        ConfigurationItem, ConfigurationSnapshot, ResolvedSetting, SettingContext, SettingSource,
    },
    state::{ConfigurationState, StateError, StoredItem},
    view::ConfigurationView,
};

/// Revision of the whole configuration, which each change increments by one; 0 means that no
/// revision has been read yet.
pub type Revision = u64;
