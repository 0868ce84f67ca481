//! HTTP/1.1 server and client of the stand-ins and tools.

pub mod client;
pub mod server;

pub use {
    client::{ClientAnswer, ClientError, HttpClient},
    server::{
        Answer, AnswerBody, ConnectionDropped, RequestHandler, ServerRequest, ServerResult,
        bad_request, json_answer, serve, stream_answer, text_answer,
    },
};
