//! Checks an answer against the tokens, the booking or the run that the call asked for.

use {
    super::plan::CallBody, crate::engine::token_text, serde::Deserialize, serde_json::Value,
    std::time::Duration, tokio::time::Instant,
};

/// Number and arrival times of the tokens of a generation; all empty if the answer was not
/// streamed.
#[derive(Clone, Debug, Default)]
pub struct TokenTimes {
    /// Time from the start of the attempt to the first token; `None` before it arrived.
    pub first: Option<Duration>,
    /// Times between successive tokens.
    pub gaps: Vec<Duration>,
    /// Number of tokens received.
    pub tokens: u64,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum AnswerLine {
    Token { index: u64, token: String },
    End { end: bool, tokens: u64 },
}

/// Reads and checks the NDJSON lines of a streamed generation as they arrive.
#[derive(Debug)]
pub struct TokenReader<'a> {
    prompt: &'a str,
    expected: u64,
    started: Instant,
    latest: Instant,
    partial: Vec<u8>,
    ended: bool,
    times: TokenTimes,
}

impl<'a> TokenReader<'a> {
    /// Creates a reader for the answer to `prompt`, which must have `expected` tokens. Times count
    /// from `started`, when the attempt began.
    pub fn new(prompt: &'a str, expected: u64, started: Instant) -> Self {
        Self {
            prompt,
            expected,
            started,
            latest: started,
            partial: Vec::new(),
            ended: false,
            times: TokenTimes::default(),
        }
    }

    /// Reads the next part of the body; a line may extend over several parts.
    ///
    /// # Errors
    ///
    /// Fails with a description of the first line that is not the expected one.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.partial.extend_from_slice(bytes);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let line: Vec<_> = self.partial.drain(..=end).collect();
            self.read_line(&line)?;
        }
        Ok(())
    }

    /// Checks that the answer is complete, after the body has ended without an error.
    ///
    /// # Errors
    ///
    /// Fails if the end line is missing, because the answer was then truncated although its body
    /// ended properly.
    pub fn finish(self) -> Result<TokenTimes, String> {
        if self.ended && self.partial.is_empty() {
            return Ok(self.times);
        }
        let (tokens, expected) = (self.times.tokens, self.expected);
        Err(format!("body ends after {tokens} of {expected} tokens"))
    }

    fn read_line(&mut self, line: &[u8]) -> Result<(), String> {
        let text = String::from_utf8_lossy(line);
        let line = serde_json::from_slice(line);
        match line.map_err(|error| format!("line {text:?}: {error}"))? {
            _ if self.ended => Err(format!("line {text:?} after the end")),
            AnswerLine::End { end: true, tokens }
                if tokens == self.expected && self.times.tokens == tokens =>
            {
                self.ended = true;
                Ok(())
            }
            AnswerLine::Token { index, token }
                if index == self.times.tokens && token == token_text(self.prompt, index) =>
            {
                self.record_token();
                Ok(())
            }
            _ => Err(format!(
                "unexpected line {text:?} at token {}",
                self.times.tokens
            )),
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.times.first {
            None => self.times.first = Some(now.duration_since(self.started)),
            Some(_) => self.times.gaps.push(now.duration_since(self.latest)),
        }
        self.latest = now;
        self.times.tokens += 1;
    }
}

#[derive(Debug, Deserialize)]
struct WholeAnswer {
    text: String,
    tokens: u64,
}

/// Checks the answer to a generation that was not streamed.
///
/// # Errors
///
/// Fails with a description of the fault if the body is malformed, or if the number or the text of
/// the tokens is wrong.
pub fn check_whole_answer(prompt: &str, expected: u64, body: &[u8]) -> Result<TokenTimes, String> {
    let answer: WholeAnswer = serde_json::from_slice(body)
        .map_err(|error| format!("body is not a generation answer: {error}"))?;
    let text: String = (0..expected)
        .map(|index| token_text(prompt, index))
        .collect();
    if answer.tokens == expected && answer.text == text {
        return Ok(TokenTimes::default());
    }
    let tokens = answer.tokens;
    Err(format!("{tokens} of {expected} tokens, or a wrong text"))
}

/// Checks the answer of a plain service. A look-up may also answer 404, because runs are looked up
/// by random numbers that may not exist.
///
/// # Errors
///
/// Fails with a description of the fault if the body is malformed, or if its status, order or run
/// is not that of the call.
pub fn check_plain_answer(call: &CallBody, status: u16, body: &[u8]) -> Result<(), String> {
    if matches!(call, CallBody::LookUp { .. }) && status == 404 {
        return Ok(());
    }
    let answer: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let matches = match call {
        CallBody::Book { order, .. } => status == 201 && answer["order"] == order.as_str(),
        CallBody::LookUp { run } => status == 200 && answer["run"] == *run,
        CallBody::Generate { .. } => false,
    };
    if matches {
        return Ok(());
    }
    Err(format!(
        "answer with status {status} does not match the call"
    ))
}
