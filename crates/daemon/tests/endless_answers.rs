//! Guards against clients of the daemon that keep all bytes of an answer without end, until the
//! process runs out of memory.

use {
    sassafrasslip_core::map_change::{MapOrder, OrderStep},
    sassafrasslip_daemon::{
        agent::orders::engine::EngineClient,
        options::platform::PlatformOptions,
        platform::{HttpPlatform, ObjectStore},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::timeout,
    },
};

/// Most bytes of one answer that a client may take, including those in the buffers of the kernel.
const MOST_BYTES: usize = 32 * 1024 * 1024;

/// Longest time until a client gives up an answer without end.
const CALL_LIMIT: Duration = Duration::from_secs(8);

/// Starts a server that answers the first connection with `begin` and then `piece` without end, at
/// most twice [`MOST_BYTES`]. Returns its address and the number of bytes that were taken.
async fn start_server(begin: &'static str, piece: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&taken);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let received = stream.read(&mut [0; 4096]).await.unwrap();
        assert!(received > 0, "no request");
        stream.write_all(begin.as_bytes()).await.unwrap();
        while counted.load(Ordering::Relaxed) < 2 * MOST_BYTES
            && stream.write_all(piece.as_bytes()).await.is_ok()
        {
            counted.fetch_add(piece.len(), Ordering::Relaxed);
        }
    });
    (address, taken)
}

const BODY: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

fn pieces() -> [(&'static str, String); 2] {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(500);
    [(BODY, "x".repeat(16 * 1024)), ("", interim)]
}

#[tokio::test]
async fn platform_answer_without_end_is_given_up() {
    for (begin, piece) in pieces() {
        let (address, taken) = start_server(begin, piece).await;
        let options = PlatformOptions {
            address,
            timeout: CALL_LIMIT,
        };
        let platform = HttpPlatform::new(options);
        let answer = timeout(CALL_LIMIT, platform.get("maps/1")).await;
        assert!(answer.expect("the call goes on").is_err());
        let taken = taken.load(Ordering::Relaxed);
        assert!(taken < MOST_BYTES, "{taken} bytes");
    }
}

#[tokio::test]
async fn engine_answer_without_end_is_given_up() {
    for (begin, piece) in pieces() {
        let (address, taken) = start_server(begin, piece).await;
        let engine = EngineClient::new(address);
        let order = MapOrder {
            fencing_token: 1,
            change: 0,
            step: OrderStep::Query,
        };
        // Orders have no timeout.
        let answer = timeout(CALL_LIMIT, engine.order(&order, None)).await;
        assert!(answer.expect("the call goes on").is_err());
        let taken = taken.load(Ordering::Relaxed);
        assert!(taken < MOST_BYTES, "{taken} bytes");
    }
}
