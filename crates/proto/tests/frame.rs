//! Guards the frame codec against input from a peer that is truncated, oversized or malformed, and
//! against frames that arrive split into pieces.

use {
    bytes::{BufMut, Bytes, BytesMut},
    proptest::prelude::*,
    sassafrasslip_proto::{
        FrameCodec, FrameError, MAX_FRAME_BYTES,
        link::{AnswerChunk, Cancel, RequestId, link_frame::Message},
    },
    sassafrasslip_testkit::test_cases,
    tokio_util::codec::{Decoder, Encoder},
};

fn chunk(counter: u64, sequence: u64, payload: Vec<u8>) -> Message {
    let request_id = Some(RequestId {
        entry_incarnation: 7,
        counter,
    });
    let payload = Bytes::from(payload);
    Message::AnswerChunk(AnswerChunk {
        request_id,
        sequence,
        token_index: sequence,
        payload,
        attempt: 1,
    })
}

fn encode(messages: &[Message]) -> BytesMut {
    let mut buffer = BytesMut::new();
    for message in messages {
        FrameCodec::new()
            .encode(message.clone(), &mut buffer)
            .unwrap();
    }
    buffer
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn frames_survive_any_split_of_the_stream(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..8),
        piece_length in 1_usize..40,
    ) {
        let messages: Vec<_> = payloads
            .into_iter()
            .enumerate()
            .map(|(number, payload)| chunk(number as u64, number as u64, payload))
            .collect();
        let stream = encode(&messages);
        let (mut codec, mut buffer, mut received) = (FrameCodec::new(), BytesMut::new(), vec![]);
        for piece in stream.chunks(piece_length) {
            buffer.put_slice(piece);
            while let Some(message) = codec.decode(&mut buffer).unwrap() {
                received.push(message);
            }
        }
        prop_assert_eq!(received, messages);
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(bytes.as_slice());
        let mut codec = FrameCodec::new();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    }
}

fn check_error(bytes: &[u8], expected: &str) {
    let error = FrameCodec::new()
        .decode(&mut BytesMut::from(bytes))
        .unwrap_err();
    let kind = match error {
        FrameError::Decode(_) => "decode",
        FrameError::Empty => "empty",
        FrameError::Io(_) => "io",
    };
    assert_eq!(kind, expected);
}

test_cases! {
    fn check_error(bytes: &[u8], expected: &str);
    oversized_length_is_refused: (&[0xff, 0xff, 0xff, 0xff], "io");
    frame_without_a_message_is_refused: (&[0, 0, 0, 0], "empty");
    malformed_message_is_refused: (&[0, 0, 0, 2, 0x0a, 0x7f], "decode");
}

#[test]
fn message_above_the_limit_is_not_sent() {
    let message = chunk(1, 0, vec![0; MAX_FRAME_BYTES + 1]);
    assert!(
        FrameCodec::new()
            .encode(message, &mut BytesMut::new())
            .is_err()
    );
}

#[test]
fn incomplete_frame_waits_for_more() {
    let mut stream = encode(&[Message::Cancel(Cancel { request_id: None })]);
    stream.truncate(stream.len() - 1);
    assert!(FrameCodec::new().decode(&mut stream).unwrap().is_none());
}
