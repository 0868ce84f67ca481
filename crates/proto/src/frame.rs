//! Length-delimited framing of [`LinkFrame`] messages.

use {
    crate::link::{LinkFrame, link_frame::Message},
    bytes::{Bytes, BytesMut},
    prost::Message as _,
    std::{error::Error, fmt, io},
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Maximum length of a frame, in bytes. A request body is at most 1 MiB, and a configuration
/// snapshot or an expert map for 256 ranks stays below 4 MiB.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Encodes and decodes frames that carry one [`Message`] each.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames above [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

/// Failure to read or write a frame.
#[derive(Debug)]
pub enum FrameError {
    /// The bytes of the frame are not a valid [`LinkFrame`].
    Decode(prost::DecodeError),
    /// The frame carries no message, or one that only a newer protocol version defines.
    Empty,
    /// The connection failed, or the frame exceeds [`MAX_FRAME_BYTES`].
    Io(io::Error),
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(formatter, "frame is not a valid message: {error}"),
            Self::Empty => write!(formatter, "frame carries no known message"),
            Self::Io(error) => write!(formatter, "link transport failed: {error}"),
        }
    }
}

impl Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl Decoder for FrameCodec {
    type Item = Message;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, FrameError> {
        let Some(frame) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        let frame = LinkFrame::decode(frame.freeze()).map_err(FrameError::Decode)?;
        frame.message.ok_or(FrameError::Empty).map(Some)
    }
}

impl Encoder<Message> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, message: Message, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let frame = LinkFrame {
            message: Some(message),
        };
        self.lengths
            .encode(Bytes::from(frame.encode_to_vec()), buffer)?;
        Ok(())
    }
}
