//! Responses of the operator API and their JSON bodies.

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

/// Result of a handler of the operator API.
pub type Result<T> = result::Result<T, OperatorError>;

/// Error response of the operator API.
#[derive(Clone, Debug)]
pub struct OperatorError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Error code, message and current value.
    pub body: ErrorBody,
}

impl OperatorError {
    /// Creates an error without a current value. `code` is the machine-readable error code.
    pub fn new(status: StatusCode, code: &str, message: impl ToString) -> Self {
        Self::with_current(status, code, message, Value::Null)
    }

    /// Creates an error with a current value: after a conflict the stored one, and the change
    /// itself if its confirmation is missing.
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

    /// Creates the error with status 400 and code `invalid` for a field that is not valid.
    pub fn invalid_field(field: &str, fault: impl ToString) -> Self {
        let message = format!("field `{field}`: {}", fault.to_string());
        Self::new(StatusCode::BAD_REQUEST, "invalid", message)
    }

    /// Creates the error with status 503 for a request that arrives when the configuration actor
    /// has stopped.
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
            ChangeError::Refused(refusal) => refusal_error(refusal, message),
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

fn refusal_error(refusal: ChangeRefusal, message: String) -> OperatorError {
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

/// Creates a response with a JSON body.
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

/// Converts an error into its response.
pub fn error_answer(error: OperatorError) -> Response<Full<Bytes>> {
    let report = ErrorReport { error: error.body };
    json_answer(error.status, &report)
}
