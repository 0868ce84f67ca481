//! Frames of the snapshot connections between gateways, and their largest sizes.

use {
    tokio::net::TcpStream,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Largest snapshot, in bytes. The configuration is one answer of the store, which has at most
/// 1 MB of rows, and an entry of the instance list has about 200 bytes.
const MAX_SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;

/// Largest request for a snapshot, in bytes. It has a few numbers, and any number of connections
/// may send one at the same time.
const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// Returns the frames of a connection on which this gateway receives a request.
pub fn request_frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    frames(stream, MAX_REQUEST_BYTES)
}

/// Returns the frames of a connection on which this gateway sends or receives a snapshot.
pub fn snapshot_frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    frames(stream, MAX_SNAPSHOT_BYTES)
}

fn frames(stream: TcpStream, max_bytes: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec();
    Framed::new(stream, codec)
}
