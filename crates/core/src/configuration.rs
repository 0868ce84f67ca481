//! Fleet-wide defaults, exceptions with reasons, and their resolution.

pub mod catalogue;
pub mod exception;
pub mod snapshot;
pub mod view;

pub use {
    catalogue::{SettingKey, SettingValue, ValueError},
    exception::{ExceptionScope, PolicyException},
    snapshot::{
        ConfigurationItem, ConfigurationSnapshot, ResolvedSetting, SettingSource, SettingTarget,
    },
    view::ConfigurationView,
};

/// Revision of the whole configuration; 0 means that none has been read yet.
pub type Revision = u64;
