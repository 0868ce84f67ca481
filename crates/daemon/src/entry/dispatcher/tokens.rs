//! Token lines of model answers.

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
struct WholeAnswer {
    text: String,
    tokens: u64,
}

/// Returns the number of whole lines in a payload; `None` if its last line is not whole.
pub fn count_lines(payload: &[u8]) -> Option<u64> {
    let whole = payload.last().is_none_or(|byte| *byte == b'\n');
    let lines = payload.iter().filter(|byte| **byte == b'\n').count();
    whole.then_some(lines as u64)
}

/// Joins token lines to the body of an answer that is not streamed; `None` if a line is malformed
/// or out of order.
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
    let answer = serde_json::to_vec(&WholeAnswer { text, tokens });
    answer.ok().map(Bytes::from)
}

/// Returns the last line of a streamed answer.
pub fn end_line(tokens: u64) -> Bytes {
    Bytes::from(format!("{{\"end\":true,\"tokens\":{tokens}}}\n"))
}
