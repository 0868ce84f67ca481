//! Errors of the client and their exit codes.

use {
    crate::arguments::OutputFormat,
    http::StatusCode,
    sassafrasslip_core::{
        configuration::report::{ErrorBody, ErrorReport},
        ids::ChangeName,
    },
    serde_json::Value,
    std::{
        error::Error,
        fmt,
        io::{self, Write},
        net::SocketAddr,
        result,
    },
};

/// Result of executing a subcommand.
pub type Result<T> = result::Result<T, ClientError>;

/// Failure of a subcommand.
#[derive(Debug)]
pub enum ClientError {
    /// The entry answered with an error.
    Answered {
        /// HTTP status of the answer.
        status: StatusCode,
        /// Error code, message and current value that the entry returned.
        body: ErrorBody,
        /// Change identifier, if the request was a change.
        change_id: Option<ChangeName>,
    },
    /// Writing the output or starting the runtime failed in this process.
    Local(io::Error),
    /// A document is invalid; the text says why.
    Rejected(String),
    /// The platform's store could not be reached, or holds no configuration.
    StoreUnreachable {
        /// Address of the store.
        store: SocketAddr,
        /// What failed and why.
        fault: String,
    },
    /// A required argument is missing; the text says which.
    Usage(&'static str),
    /// The entry could not be reached, or its answer was lost or malformed.
    Unreachable {
        /// Operator address of the entry.
        entry: SocketAddr,
        /// Step that failed and why, such as `connect: timed out`.
        fault: String,
        /// Whether the request was sent, so that it may have taken effect.
        may_have_taken_effect: bool,
        /// Change identifier, if the request was a change.
        change_id: Option<ChangeName>,
    },
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { body, .. } => write!(formatter, "{}: {}", body.code, body.message),
            Self::Local(error) => write!(formatter, "{error}"),
            Self::Unreachable { entry, fault, .. } => write!(formatter, "entry {entry}: {fault}"),
            Self::Rejected(fault) => formatter.write_str(fault),
            Self::StoreUnreachable { fault, .. } => formatter.write_str(fault),
            Self::Usage(fault) => formatter.write_str(fault),
        }
    }
}

impl Error for ClientError {}

impl ClientError {
    /// Returns the exit code of the process: 1 if the request was refused or failed locally, 2 for
    /// a usage error, 3 for a conflict with another change, 4 if the entry or the table is
    /// unreachable, and 5 if a change was committed but not confirmed in time.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Answered { status, .. } => match *status {
                StatusCode::CONFLICT => 3,
                StatusCode::SERVICE_UNAVAILABLE => 4,
                StatusCode::GATEWAY_TIMEOUT => 5,
                _ => 1,
            },
            Self::Local(_) | Self::Rejected(_) => 1,
            Self::Usage(_) => crate::USAGE_EXIT_CODE,
            Self::StoreUnreachable { .. } | Self::Unreachable { .. } => 4,
        }
    }

    /// Returns the error with the identifier of the change that failed. Local and usage errors do
    /// not carry one and stay as they are.
    pub fn with_change_id(mut self, id: &ChangeName) -> Self {
        if let Self::Answered { change_id, .. } | Self::Unreachable { change_id, .. } = &mut self {
            *change_id = Some(id.clone());
        }
        self
    }

    /// Returns whether a retry of the same request may succeed, or confirm the change.
    fn is_retryable(&self) -> bool {
        matches!(self.exit_code(), 4 | 5)
    }

    /// Writes the error as text or as JSON, depending on the output format.
    ///
    /// # Errors
    ///
    /// Fails if the writer returns an error.
    pub fn write(&self, format: OutputFormat, writer: &mut dyn Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => self.write_json(writer),
            OutputFormat::Table => self.write_text(writer),
        }
    }

    fn change_id(&self) -> Option<&ChangeName> {
        match self {
            Self::Answered { change_id, .. } | Self::Unreachable { change_id, .. } => {
                change_id.as_ref()
            }
            Self::Local(_) | Self::Rejected(_) | Self::StoreUnreachable { .. } | Self::Usage(_) => {
                None
            }
        }
    }

    fn write_text(&self, writer: &mut dyn Write) -> io::Result<()> {
        writeln!(writer, "error: {self}")?;
        if let Self::Answered { body, .. } = self
            && body.current != Value::Null
        {
            writeln!(writer, "current: {}", body.current)?;
        }
        if let Self::Unreachable {
            may_have_taken_effect: true,
            ..
        } = self
        {
            writeln!(writer, "The request may have taken effect.")?;
        }
        match self.change_id().filter(|_| self.is_retryable()) {
            Some(id) => writeln!(writer, "To repeat the same change, add --change-id {id}"),
            None => self
                .change_id()
                .map_or(Ok(()), |id| writeln!(writer, "change id: {id}")),
        }
    }

    fn local_body(&self, code: &str) -> ErrorBody {
        ErrorBody {
            code: code.to_owned(),
            message: self.to_string(),
            current: Value::Null,
        }
    }

    fn write_json(&self, writer: &mut dyn Write) -> io::Result<()> {
        let error = match self {
            Self::Answered { body, .. } => body.clone(),
            Self::Rejected(_) => self.local_body("invalid"),
            Self::Local(_)
            | Self::StoreUnreachable { .. }
            | Self::Unreachable { .. }
            | Self::Usage(_) => self.local_body("unreachable"),
        };
        let mut report = serde_json::to_value(ErrorReport { error })?;
        if let Some(id) = self.change_id() {
            report["change_id"] = Value::from(id.as_str());
        }
        writeln!(writer, "{report:#}")
    }
}
