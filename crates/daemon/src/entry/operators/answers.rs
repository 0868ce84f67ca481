//! Answers of the operator API and their JSON form.

use {
    crate::entry::configuration::ChangeError,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Response, StatusCode, header},
    sassafrasslip_core::configuration::{
        ChangeRefusal,
        report::{ErrorBody, ErrorReport},
    },
    serde::Serialize,
    serde_json::Value,
    std::result,
};

/// Result of a request to the operator API.
pub type Result<T> = result::Result<T, OperatorError>;

/// Error answer of the operator API.
#[derive(Clone, Debug)]
pub struct OperatorError {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: ErrorBody,
}

impl OperatorError {
    /// Creates an error without a current value.
    pub fn new(status: StatusCode, code: &str, message: impl ToString) -> Self {
        Self::with_current(status, code, message, Value::Null)
    }

    /// Creates an error that shows the current value.
    pub fn with_current(
        status: StatusCode,
        code: &str,
        message: impl ToString,
        current: Value,
    ) -> Self {
        let body = ErrorBody {
            code: code.to_owned(),
            message: message.to_string(),
            current,
        };
        Self { status, body }
    }

    /// Creates the error for a field that is not valid.
    pub fn invalid_field(field: &str, fault: impl ToString) -> Self {
        let message = format!("field `{field}`: {}", fault.to_string());
        Self::new(StatusCode::BAD_REQUEST, "invalid", message)
    }

    /// Creates the error for a part of the process that does not answer any more.
    pub fn stopping() -> Self {
        let message = "the entry is stopping; use another entry";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
    }
}

impl From<ChangeError> for OperatorError {
    fn from(error: ChangeError) -> Self {
        let message = error.to_string();
        match error {
            ChangeError::Invalid(_) => Self::new(StatusCode::BAD_REQUEST, "invalid", message),
            ChangeError::NotConfirmed(report) => {
                let current = serde_json::to_value(&report).unwrap_or_default();
                Self::with_current(
                    StatusCode::GATEWAY_TIMEOUT,
                    "not_confirmed",
                    message,
                    current,
                )
            }
            ChangeError::Refused(refusal) => refused(refusal, message),
            ChangeError::TableUnavailable {
                may_have_taken_effect,
                ..
            } => {
                let code = if may_have_taken_effect {
                    "outcome_unknown"
                } else {
                    "table_unavailable"
                };
                Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
            }
        }
    }
}

fn refused(refusal: ChangeRefusal, message: String) -> OperatorError {
    let (code, current) = match refusal {
        ChangeRefusal::ChangeIdReused { current } => ("change_id_reused", current),
        ChangeRefusal::Conflict {
            revision, current, ..
        } => {
            let current = serde_json::json!({ "revision": revision, "value": current });
            ("conflict", current)
        }
        ChangeRefusal::NotFound { .. } => {
            return OperatorError::new(StatusCode::NOT_FOUND, "not_found", message);
        }
        ChangeRefusal::ScopeInUse { current } => ("scope_in_use", current),
    };
    OperatorError::with_current(StatusCode::CONFLICT, code, message, current)
}

/// Builds an answer with a JSON body.
pub fn json_answer<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let encoded = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::from(encoded));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Builds an error answer.
pub fn error_answer(error: OperatorError) -> Response<Full<Bytes>> {
    let report = ErrorReport { error: error.body };
    json_answer(error.status, &report)
}
