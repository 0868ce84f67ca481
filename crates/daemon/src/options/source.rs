//! Reading of INI files with errors that name file, section, key and value.

use {
    super::Result,
    config::{Config, ConfigError, File, FileFormat, Map, Value, ValueKind},
    error_stack::Report,
    serde::de::DeserializeOwned,
    std::{
        error::Error,
        fmt,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Fault in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// File that was read.
    pub file: PathBuf,
    /// Section, if the fault stands in one.
    pub section: Option<String>,
    /// Key, if the fault concerns one.
    pub key: Option<String>,
    /// Value, if one was given.
    pub value: Option<String>,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file.display())?;
        if let Some(section) = &self.section {
            write!(formatter, ": [{section}]")?;
        }
        match (&self.key, &self.value) {
            (Some(key), Some(value)) => write!(formatter, " {key} = {value}")?,
            (Some(key), None) => write!(formatter, " {key}")?,
            _ => {}
        }
        write!(formatter, ": {}", self.fault)
    }
}

impl Error for SettingsError {}

/// Settings file that has been read but not yet checked by section.
#[derive(Debug)]
pub struct SettingsSource {
    file: PathBuf,
    sections: Map<String, Map<String, Value>>,
}

impl SettingsSource {
    /// Reads a file and refuses sections that are not in `known`.
    ///
    /// # Errors
    ///
    /// Fails if the file is missing, is not INI, or has an unknown section.
    pub fn open(file: &Path, known: &[&str]) -> Result<Self> {
        let fail = |section: Option<String>, fault: String| {
            let file = file.to_owned();
            Report::new(SettingsError {
                file,
                section,
                key: None,
                value: None,
                fault,
            })
        };
        let text = std::fs::read_to_string(file)
            .map_err(|error| fail(None, format!("cannot read the file: {error}")))?;
        let values = Config::builder()
            .add_source(File::from_str(&text, FileFormat::Ini))
            .build()
            .and_then(Config::try_deserialize::<Map<String, Value>>)
            .map_err(|error| fail(None, format!("not a valid INI file: {error}")))?;
        let mut sections = Map::new();
        for (name, value) in values {
            if !known.contains(&name.as_str()) {
                let fault = format!("unknown section; expected one of {}", known.join(", "));
                return Err(fail(Some(name), fault));
            }
            let entries = value
                .into_table()
                .map_err(|_| fail(Some(name.clone()), "expected a section".to_owned()))?;
            sections.insert(name, entries);
        }
        Ok(Self {
            file: file.to_owned(),
            sections,
        })
    }

    /// Returns whether the file has a section.
    pub fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Fails unless the file has a section.
    ///
    /// # Errors
    ///
    /// Fails if the section is missing.
    pub fn require_section(&self, section: &str) -> Result<()> {
        if self.has_section(section) {
            return Ok(());
        }
        Err(self.error(section, None, None, "the section is missing".to_owned()))
    }

    /// Replaces a value by that of an argument, if one was given.
    pub fn set(&mut self, section: &str, key: &str, value: Option<String>) {
        if let Some(value) = value {
            let entries = self.sections.entry(section.to_owned()).or_default();
            entries.insert(key.to_owned(), Value::new(None, ValueKind::String(value)));
        }
    }

    /// Replaces an address by that of an argument, if one was given.
    pub fn set_address(&mut self, section: &str, key: &str, address: Option<SocketAddr>) {
        self.set(section, key, address.map(|address| address.to_string()));
    }

    /// Reads a section that may be left out if it has no mandatory key.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, a missing mandatory key or an invalid value.
    pub fn section<T: DeserializeOwned>(&self, section: &str) -> Result<T> {
        let entries = self.sections.get(section).cloned().unwrap_or_default();
        let table = Value::new(None, ValueKind::Table(entries.clone()));
        table
            .try_deserialize()
            .map_err(|error| self.explain(section, &entries, &error))
    }

    /// Reads a section if the file has it.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::section`].
    pub fn optional_section<T: DeserializeOwned>(&self, section: &str) -> Result<Option<T>> {
        if self.has_section(section) {
            self.section(section).map(Some)
        } else {
            Ok(None)
        }
    }

    /// Finds the key that an error is about: the library reports it only in its text.
    fn explain(
        &self,
        section: &str,
        entries: &Map<String, Value>,
        error: &ConfigError,
    ) -> Report<SettingsError> {
        let fault = match error {
            ConfigError::At { error, .. } => error.to_string(),
            error => error.to_string(),
        };
        let named = match error {
            ConfigError::At { key: Some(key), .. } => Some(key.clone()),
            _ => fault.split('`').nth(1).map(str::to_owned),
        };
        let value = named
            .as_ref()
            .and_then(|key| entries.get(key))
            .map(ToString::to_string);
        self.error(section, named, value, fault)
    }

    fn error(
        &self,
        section: &str,
        key: Option<String>,
        value: Option<String>,
        fault: String,
    ) -> Report<SettingsError> {
        let file = self.file.clone();
        Report::new(SettingsError {
            file,
            section: Some(section.to_owned()),
            key,
            value,
            fault,
        })
    }
}
