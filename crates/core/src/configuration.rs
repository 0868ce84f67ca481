//! Fleet-wide defaults, exceptions with reasons, and their resolution.

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

/// Revision of the whole configuration; 0 means that none has been read yet.
pub type Revision = u64;
