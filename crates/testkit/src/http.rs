//! HTTP/1.1 server of the stand-ins, and HTTP/1.1 client of the tests and tools.

pub mod client;
pub mod server;

pub use {
    client::{ClientAnswer, ClientError, HttpClient},
    server::{
        Answer, AnswerBody, ConnectionDropped, RequestHandler, ServerRequest, ServerResult,
        bad_request, json_answer, serve, stream_answer, text_answer,
    },
};
