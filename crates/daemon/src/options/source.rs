//! Reads INI files, with errors that name file, section, key and value.

use {
    super::Result,
    config::{Config, ConfigError, File, FileFormat, Map, Value, ValueKind},
    error_stack::Report,
    ini::Ini,
    serde::de::DeserializeOwned,
    std::{
        collections::BTreeSet,
        error::Error,
        fmt,
        path::{Path, PathBuf},
    },
};

/// Error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// File that was read.
    pub file: PathBuf,
    /// Section in which the error is, if any.
    pub section: Option<String>,
    /// Key that the error concerns, if any.
    pub key: Option<String>,
    /// Value of the key, if one was given.
    pub value: Option<String>,
    /// Description of the error.
    pub fault: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file.display())?;
        match (&self.section, &self.key) {
            (Some(section), _) => write!(formatter, ": [{section}]")?,
            (None, Some(_)) => write!(formatter, ":")?,
            (None, None) => {}
        }
        match (&self.key, &self.value) {
            (Some(key), Some(value)) => write!(formatter, " {key} = {value}")?,
            (Some(key), None) => write!(formatter, " {key}")?,
            (None, _) => {}
        }
        write!(formatter, ": {}", self.fault)
    }
}

impl Error for SettingsError {}

/// Settings file whose sections and keys have been read, but whose values are not yet checked.
#[derive(Debug)]
pub struct SettingsSource {
    file: PathBuf,
    sections: Map<String, Map<String, Value>>,
}

impl SettingsSource {
    /// Reads a file whose sections must all be in `known`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not INI, has an unknown section, repeats a key within a
    /// section, or has a key outside any section.
    pub fn open(file: &Path, known: &[&str]) -> Result<Self> {
        let source = Self {
            file: file.to_owned(),
            sections: Map::new(),
        };
        let text = std::fs::read_to_string(file)
            .map_err(|error| source.file_error(format!("cannot read the file: {error}")))?;
        source.check_keys(&text, known)?;
        let sections = Config::builder()
            .add_source(File::from_str(&text, FileFormat::Ini))
            .build()
            .and_then(Config::try_deserialize)
            .map_err(|error| source.file_error(format!("not a valid INI file: {error}")))?;
        Ok(Self { sections, ..source }.drop_empty())
    }

    /// Refuses unknown sections, and what the configuration library would merge silently: keys
    /// outside any section, and keys that are repeated within a section.
    fn check_keys(&self, text: &str, known: &[&str]) -> Result<()> {
        let parsed = Ini::load_from_str(text)
            .map_err(|error| self.file_error(format!("not a valid INI file: {error}")))?;
        let mut seen = BTreeSet::new();
        for (section, entries) in &parsed {
            if let Some(section) = section.filter(|section| !known.contains(section)) {
                let fault = format!("unknown section; expected one of {}", known.join(", "));
                return Err(self.error(section, None, None, fault));
            }
            for (key, value) in entries.iter() {
                let (key_name, value) = (Some(key.to_owned()), Some(value.to_owned()));
                let Some(section) = section else {
                    let fault = "the key is outside any section".to_owned();
                    return Err(self.error("", key_name, value, fault));
                };
                if !seen.insert((section, key)) {
                    let fault = "the key is repeated".to_owned();
                    return Err(self.error(section, key_name, value, fault));
                }
            }
        }
        Ok(())
    }

    /// Returns whether a section is in the file or has a value from an argument.
    pub fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Checks that a section is present.
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

    /// Removes keys without a value. A template renders an absent figure as an empty text; its
    /// default then applies, and a mandatory key is reported as missing.
    fn drop_empty(mut self) -> Self {
        let is_empty = |value: &Value| match &value.kind {
            ValueKind::String(text) => text.trim().is_empty(),
            _ => false,
        };
        for entries in self.sections.values_mut() {
            entries.retain(|_, value| !is_empty(value));
        }
        self
    }

    /// Overrides a key with the value of an argument, if one was given.
    pub fn set<T: ToString>(&mut self, section: &str, key: &str, value: Option<&T>) {
        if let Some(value) = value {
            let entries = self.sections.entry(section.to_owned()).or_default();
            let value = ValueKind::String(value.to_string());
            entries.insert(key.to_owned(), Value::new(None, value));
        }
    }

    /// Reads a section. An absent section is read like one without keys, so that its defaults apply
    /// unless it has a mandatory key.
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

    /// Reads a section; returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`Self::section`].
    pub fn optional_section<T: DeserializeOwned>(&self, section: &str) -> Result<Option<T>> {
        if self.has_section(section) {
            self.section(section).map(Some)
        } else {
            Ok(None)
        }
    }

    /// Converts an error of the configuration library and finds the key that it concerns. For an
    /// unknown key, the library names the key only in the error's text, between backquotes.
    fn explain(
        &self,
        section: &str,
        entries: &Map<String, Value>,
        error: &ConfigError,
    ) -> Report<SettingsError> {
        let (key, fault) = match error {
            ConfigError::NotFound(key) => (Some(key.clone()), "the key is missing".to_owned()),
            ConfigError::At {
                error,
                key: Some(key),
                ..
            } => (Some(key.clone()), error.to_string()),
            error => {
                let fault = error.to_string();
                (fault.split('`').nth(1).map(str::to_owned), fault)
            }
        };
        let value = key.as_ref().and_then(|key| entries.get(key));
        self.error(section, key, value.map(ToString::to_string), fault)
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
            section: Some(section.to_owned()).filter(|section| !section.is_empty()),
            key,
            value,
            fault,
        })
    }

    pub(super) fn file_error(&self, fault: String) -> Report<SettingsError> {
        Report::new(SettingsError {
            file: self.file.clone(),
            section: None,
            key: None,
            value: None,
            fault,
        })
    }
}
