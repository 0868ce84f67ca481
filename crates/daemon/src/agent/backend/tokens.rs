//! Splits a model engine's answer into token lines and checks their indexes for gaps.

use {
    bytes::{Bytes, BytesMut},
    error_stack::Report,
    serde::Deserialize,
    std::{error::Error, fmt, result},
};

/// Result of parsing token lines.
pub type Result<T> = result::Result<T, Report<TokenError>>;

/// Longest incomplete line that is buffered, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Protocol violation in an engine's token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenError {
    /// A line violates the engine's interface; the text tells how.
    Malformed(String),
    /// A token is missing or repeated, or the end line counts other tokens than were sent.
    Gap {
        /// Expected index.
        expected: u64,
        /// Index that was received.
        found: u64,
    },
    /// The stream ended without its end line.
    NoEnd,
}

impl fmt::Display for TokenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(
                    formatter,
                    "expected token {expected}, received token {found}"
                )
            }
            Self::Malformed(fault) => write!(formatter, "malformed line: {fault}"),
            Self::NoEnd => formatter.write_str("stream ended without its end line"),
        }
    }
}

impl Error for TokenError {}

#[derive(Debug, Deserialize)]
struct TokenLine {
    index: Option<u64>,
    #[serde(default)]
    end: bool,
    tokens: Option<u64>,
}

/// Complete token lines that were available at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenBurst {
    /// Index of the first token in the payload.
    pub first_index: u64,
    /// Lines with their line ends.
    pub payload: Bytes,
}

/// Parser that splits an engine's answer into bursts of complete lines.
#[derive(Debug)]
pub struct TokenLines {
    buffer: BytesMut,
    first_index: u64,
    next_index: u64,
    ended: bool,
}

impl TokenLines {
    /// Creates a parser for a stream whose first token has index `first_index`.
    pub fn new(first_index: u64) -> Self {
        Self {
            buffer: BytesMut::new(),
            first_index,
            next_index: first_index,
            ended: false,
        }
    }

    /// Appends a chunk of the stream.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Returns whether the end line has been parsed.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Takes the complete token lines that are available; `None` if there are none. The end line is
    /// checked but left out, because the entry may join several streams and writes its own.
    ///
    /// # Errors
    ///
    /// Fails on a gap, on a malformed line and on data after the end line.
    pub fn take(&mut self) -> Result<Option<TokenBurst>> {
        let Some(last) = self.buffer.iter().rposition(|byte| *byte == b'\n') else {
            return self.check_partial_line();
        };
        let mut payload = self.buffer.split_to(last + 1);
        let first_index = self.next_index;
        let mut token_bytes = 0;
        for line in payload.split_inclusive(|byte| *byte == b'\n') {
            let content = line.trim_ascii_end();
            if !content.is_empty() {
                self.check_line(content)?;
            }
            if !self.ended {
                token_bytes += line.len();
            }
        }
        payload.truncate(token_bytes);
        let payload = payload.freeze();
        let burst = TokenBurst {
            first_index,
            payload,
        };
        Ok(Some(burst).filter(|burst| !burst.payload.is_empty()))
    }

    /// Checks that the stream ended with its end line.
    ///
    /// # Errors
    ///
    /// Fails without an end line, or with an incomplete line after it.
    pub fn finish(&self) -> Result<()> {
        if self.ended && self.buffer.is_empty() {
            return Ok(());
        }
        Err(Report::new(TokenError::NoEnd))
    }

    fn check_partial_line(&self) -> Result<Option<TokenBurst>> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(malformed("line is too long"));
        }
        Ok(None)
    }

    fn check_line(&mut self, line: &[u8]) -> Result<()> {
        if self.ended {
            return Err(malformed("line after the end line"));
        }
        let line: TokenLine = serde_json::from_slice(line).map_err(malformed)?;
        if line.end {
            return self.check_end(line.tokens);
        }
        let expected = self.next_index;
        match line.index {
            Some(found) if found == expected => {
                self.next_index += 1;
                Ok(())
            }
            Some(found) => Err(Report::new(TokenError::Gap { expected, found })),
            None => Err(malformed("line has no index")),
        }
    }

    /// The engine's interface leaves open whether the end line of a resumed stream counts all
    /// tokens or only those since the resume, so both are accepted.
    fn check_end(&mut self, tokens: Option<u64>) -> Result<()> {
        let sent = self.next_index - self.first_index;
        match tokens {
            Some(tokens) if tokens != self.next_index && tokens != sent => {
                let (expected, found) = (tokens, self.next_index);
                Err(Report::new(TokenError::Gap { expected, found }))
            }
            _ => {
                self.ended = true;
                Ok(())
            }
        }
    }
}

fn malformed(fault: impl ToString) -> Report<TokenError> {
    Report::new(TokenError::Malformed(fault.to_string()))
}
