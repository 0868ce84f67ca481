//! Fields of a request body, with errors that name the field.

use {
    super::answers::{OperatorError, Result},
    serde_json::{Map, Value},
    std::{fmt::Display, str::FromStr},
};

/// Fields of a JSON object that have not been read yet.
#[derive(Debug)]
pub struct RequestFields {
    fields: Map<String, Value>,
}

impl RequestFields {
    /// Reads a body; an empty one has no fields.
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

    /// Reads a text field; a number is taken as its text.
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
                let fault = format!("`{other}`: expected a text");
                Err(OperatorError::invalid_field(name, fault))
            }
        }
    }

    /// Reads a mandatory text field.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing or has another type.
    pub fn text(&mut self, name: &str) -> Result<String> {
        self.optional_text(name)?
            .ok_or_else(|| OperatorError::invalid_field(name, "the field is missing"))
    }

    /// Reads a mandatory field with the parser of its type.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing or not valid.
    pub fn parsed<T: FromStr<Err: Display>>(&mut self, name: &str) -> Result<T> {
        parse_field(name, &self.text(name)?)
    }

    /// Reads a field with a whole number.
    ///
    /// # Errors
    ///
    /// Fails if the field is no whole number.
    pub fn optional_number(&mut self, name: &str) -> Result<Option<u64>> {
        match self.fields.remove(name) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => value.as_u64().map(Some).ok_or_else(|| {
                let fault = format!("`{value}`: expected a whole number");
                OperatorError::invalid_field(name, fault)
            }),
        }
    }

    /// Reads a field that is true or false.
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

    /// Fails if a field is left that no handler has read.
    ///
    /// # Errors
    ///
    /// Names the first unknown field.
    pub fn finish(self) -> Result<()> {
        match self.fields.keys().next() {
            Some(name) => Err(OperatorError::invalid_field(name, "unknown field")),
            None => Ok(()),
        }
    }
}

/// Parses the text of a field.
///
/// # Errors
///
/// Names the field.
pub fn parse_field<T: FromStr<Err: Display>>(name: &str, text: &str) -> Result<T> {
    text.parse()
        .map_err(|error| OperatorError::invalid_field(name, error))
}
