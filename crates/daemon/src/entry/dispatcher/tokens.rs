//! Token lines (newline-delimited JSON) of model answers.

use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::borrow::Cow,
};

#[derive(Deserialize)]
struct TokenLine<'a> {
    index: u64,
    #[serde(borrow)]
    token: Cow<'a, str>,
}

#[derive(Serialize)]
struct CompleteAnswer {
    text: String,
    tokens: u64,
}

/// Returns the number of lines in a payload; `None` if the last line has no line end.
pub fn count_lines(payload: &[u8]) -> Option<u64> {
    let is_terminated = payload.last().is_none_or(|byte| *byte == b'\n');
    let lines = payload.iter().filter(|byte| **byte == b'\n').count();
    is_terminated.then_some(lines as u64)
}

/// Joins token lines to the JSON body of an answer that is not streamed; `None` if a line is
/// malformed, or if the token indices do not count up from 0.
pub fn join_lines(lines: &[u8]) -> Option<Bytes> {
    let (mut text, mut tokens) = (String::new(), 0);
    for line in lines
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let line: TokenLine<'_> = serde_json::from_slice(line).ok()?;
        if line.index != tokens {
            return None;
        }
        text.push_str(&line.token);
        tokens += 1;
    }
    let answer = serde_json::to_vec(&CompleteAnswer { text, tokens });
    answer.ok().map(Bytes::from)
}

/// Returns the line that ends a streamed answer, with the number of all its tokens.
pub fn end_line(tokens: u64) -> Bytes {
    Bytes::from(format!("{{\"end\":true,\"tokens\":{tokens}}}\n"))
}
