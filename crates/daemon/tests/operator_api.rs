//! Guards the answers of the operator API to malformed requests, which name the invalid field, and
//! its graceful stop.

mod configuration_support;

use {
    configuration_support::{start_entries, table::MemoryTable},
    sassafrasslip_daemon::{constants::MAX_OPERATOR_BODY_BYTES, entry::operators},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Operator API of one entry on an in-memory table.
struct TestServer {
    address: SocketAddr,
    draining: CancellationToken,
    server: JoinHandle<()>,
}

async fn start_server() -> TestServer {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let draining = CancellationToken::new();
    let serving = operators::serve(listener, entry.actor, entry.fleet, draining.clone());
    TestServer {
        address,
        draining,
        server: tokio::spawn(serving),
    }
}

/// Sends a request and returns the whole answer.
async fn send(address: SocketAddr, request: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let head = format!(
        "{request} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // The server may close the connection before it has read an oversized body.
    let _ = stream.write_all(body.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

#[tokio::test]
async fn errors_name_the_field() {
    let server = start_server().await;
    let (put, post) = ("PUT /v1/defaults/retry.attempts", "POST /v1/exceptions");
    let exception = r#"{"id":"x","scope":"team=t","key":"retry.attempts","value":"2","change_id":"c","operator":"a""#;
    let large = "x".repeat(MAX_OPERATOR_BODY_BYTES + 1);
    let cases = [
        (put, "[1]", 400, "`body`"),
        (put, "{}", 400, "`value`: the field is missing"),
        (put, r#"{"value":[2]}"#, 400, "`value`"),
        (put, r#"{"value":2}"#, 400, "`change_id`"),
        (put, r#"{"value":2,"change_id":"c d"}"#, 400, "`change_id`"),
        (put, r#"{"value":2,"change_id":"c"}"#, 400, "`operator`"),
        (
            put,
            r#"{"value":2,"change_id":"c","operator":"a","expected_revision":"x"}"#,
            400,
            "`expected_revision`",
        ),
        (
            put,
            r#"{"value":2,"change_id":"c","operator":"a","color":1}"#,
            400,
            "`color`: unknown field",
        ),
        (put, &large, 413, "`body`"),
        (
            "PUT /v1/defaults/retry.speed",
            r#"{"value":2}"#,
            400,
            "`key`",
        ),
        (post, &format!("{exception}}}"), 400, "`reason`"),
        (
            post,
            &format!(r#"{exception},"reason":" "}}"#),
            400,
            "`reason`",
        ),
        (
            post,
            &exception
                .replace("team=", "place=")
                .replace("\"a\"", "\"a\"}"),
            400,
            "`scope`",
        ),
        ("GET /v1/history?limit=many", "", 400, "`limit`"),
        ("GET /v1/history?page=2", "", 400, "unknown parameter"),
        ("GET /v1/explain/seven", "", 400, "`request_id`"),
        (
            "POST /v1/drain/target-1",
            r#"{"operator":"a","draining":1}"#,
            400,
            "`draining`",
        ),
        ("GET /v2/defaults", "", 404, "`path`"),
        ("DELETE /v1/defaults/retry.attempts", "", 404, "`path`"),
    ];
    for (request, body, status, expected) in cases {
        let answer = send(server.address, request, body).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{request}: {answer}"
        );
        assert!(
            answer.contains(r#"{"error":{"code":"#),
            "{request}: {answer}"
        );
        assert!(answer.contains(expected), "{request}: {answer}");
    }
}

#[tokio::test]
async fn drain_closes_idle_connections_and_ends_the_server() {
    let server = start_server().await;
    let _idle = TcpStream::connect(server.address).await.unwrap();
    let answer = send(server.address, "GET /v1/status", "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    server.draining.cancel();
    let ended = timeout(Duration::from_secs(2), server.server).await;
    assert!(
        ended.is_ok(),
        "the server did not end while a connection was idle"
    );
}
