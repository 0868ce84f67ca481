//! Fields of a JSON request body, with errors that name the field.

use {
    super::answers::{OperatorError, Result},
    serde_json::{Map, Value},
    std::{fmt::Display, str::FromStr},
};

/// Fields of a JSON object. Reading a field removes it, so that [`RequestFields::finish`] finds the
/// unknown ones.
#[derive(Debug)]
pub struct RequestFields {
    fields: Map<String, Value>,
}

impl RequestFields {
    /// Parses a body. An empty body has no fields.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a JSON object.
    pub fn parse(body: &[u8]) -> Result<Self> {
        if body.is_empty() {
            let fields = Map::new();
            return Ok(Self { fields });
        }
        let fields = serde_json::from_slice(body);
        let fields = fields.map_err(|error| {
            let fault = format!("expected a JSON object: {error}");
            OperatorError::invalid_field("body", fault)
        })?;
        Ok(Self { fields })
    }

    /// Reads a string field. A number is converted to a string. Returns `None` if the field is
    /// absent or null.
    ///
    /// # Errors
    ///
    /// Fails if the field has another type.
    pub fn optional_text(&mut self, name: &str) -> Result<Option<String>> {
        match self.fields.remove(name) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(Value::Number(number)) => Ok(Some(number.to_string())),
            Some(other) => {
                let fault = format!("`{other}`: expected a string");
                Err(OperatorError::invalid_field(name, fault))
            }
        }
    }

    /// Reads a mandatory string field. A number is converted to a string.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing or has another type.
    pub fn text(&mut self, name: &str) -> Result<String> {
        self.optional_text(name)?
            .ok_or_else(|| OperatorError::invalid_field(name, "the field is missing"))
    }

    /// Reads a mandatory string field and parses it.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing or not valid.
    pub fn parsed<T: FromStr<Err: Display>>(&mut self, name: &str) -> Result<T> {
        parse_field(name, &self.text(name)?)
    }

    /// Reads a field with a whole number that is not negative. Returns `None` if the field is
    /// absent or null.
    ///
    /// # Errors
    ///
    /// Fails if the field is anything else.
    pub fn optional_number(&mut self, name: &str) -> Result<Option<u64>> {
        match self.fields.remove(name) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => value.as_u64().map(Some).ok_or_else(|| {
                let fault = format!("`{value}`: expected a whole number");
                OperatorError::invalid_field(name, fault)
            }),
        }
    }

    /// Reads a boolean field. Returns `None` if the field is absent or null.
    ///
    /// # Errors
    ///
    /// Fails if the field has another type.
    pub fn optional_flag(&mut self, name: &str) -> Result<Option<bool>> {
        match self.fields.remove(name) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::Bool(flag)) => Ok(Some(flag)),
            Some(value) => {
                let fault = format!("`{value}`: expected true or false");
                Err(OperatorError::invalid_field(name, fault))
            }
        }
    }

    /// Checks that the handler has read all fields of the body.
    ///
    /// # Errors
    ///
    /// Fails if a field is left, which is unknown then; the error names the first one.
    pub fn finish(self) -> Result<()> {
        match self.fields.keys().next() {
            Some(name) => Err(OperatorError::invalid_field(name, "unknown field")),
            None => Ok(()),
        }
    }
}

/// Parses the value of the field `name`.
///
/// # Errors
///
/// Fails if the value is not valid; the error names the field.
pub fn parse_field<T: FromStr<Err: Display>>(name: &str, text: &str) -> Result<T> {
    text.parse()
        .map_err(|error| OperatorError::invalid_field(name, error))
}
