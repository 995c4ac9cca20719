//! Tests of the binary encoding of messages.

use aspenspring::call::codec::{CodecError, VERSION, decode, encode};
use aspenspring::call::{
    AnswerFrame, ArmId, AttemptId, CallFrame, ClassRank, Doubt, HttpAnswer, HttpRequest, Key,
    Level, LoadReport, Message, NodeId, RefusalReason, RootId, TraceContext, Verdict,
};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The body limit in these tests.
const BODY_MAX_BYTES: usize = 256;

/// The fixed seed makes every run try the same cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn body() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..=BODY_MAX_BYTES).prop_map(Bytes::from)
}

fn headers() -> impl Strategy<Value = Vec<(String, String)>> {
    prop::collection::vec(("[a-z-]{1,12}", ".{0,24}"), 0..6)
}

fn attempt() -> impl Strategy<Value = AttemptId> {
    any::<(u64, u64, u32)>().prop_map(|(origin, sequence, nonce)| AttemptId {
        origin: NodeId(origin),
        sequence,
        nonce,
    })
}

fn load() -> impl Strategy<Value = LoadReport> {
    any::<(u32, u32, u32, u32, u16, bool)>().prop_map(
        |(running, queued, limit, latency_us, floor, leaving)| LoadReport {
            running,
            queued,
            limit,
            latency_us,
            floor: Level(floor),
            leaving,
        },
    )
}

fn call() -> impl Strategy<Value = Message> {
    let numbers = any::<(u128, Option<u64>, u8, u16, u8, u64, u8, u8)>();
    let key = prop::option::of(any::<(u64, u64, u64)>());
    let trace = any::<(u128, u64, bool)>();
    let request = ("[A-Z]{3,7}", "/.{0,40}", headers(), body());
    (attempt(), numbers, "[a-z-]{1,20}", key, trace, request).prop_map(
        |(attempt, numbers, service, key, trace, (method, path, headers, body))| {
            let (root, entry, class, level, arm, remaining_us, depth, retry) = numbers;
            Message::Call(Box::new(CallFrame {
                attempt,
                root: RootId(root),
                entry: entry.map(NodeId),
                entry_address: entry.map(|entry| ([127, 0, 0, 1], entry as u16).into()),
                class: ClassRank(class),
                level: Level(level),
                arm: ArmId(arm),
                remaining_us,
                depth,
                retry,
                service,
                key: key.map(|(owner, minted_unix_ms, nonce)| Key {
                    owner: NodeId(owner),
                    minted_unix_ms,
                    nonce,
                }),
                trace: TraceContext {
                    trace_id: trace.0,
                    parent_span_id: trace.1,
                    sampled: trace.2,
                },
                request: HttpRequest { method, path, headers, body },
            }))
        },
    )
}

fn verdict() -> impl Strategy<Value = Verdict> {
    let answered = (any::<u16>(), headers(), body()).prop_map(|(status, headers, body)| {
        Verdict::Answered(HttpAnswer { status, headers, body })
    });
    let not_run = (any::<u64>(), any::<u32>()).prop_map(|(node, retry_after_ms)| {
        Verdict::not_run(RefusalReason::KeyDelegated(NodeId(node)), retry_after_ms)
    });
    prop_oneof![answered, not_run, Just(Verdict::MayHaveRun(Doubt::ConnectionLost))]
}

fn message() -> impl Strategy<Value = Message> {
    let answer =
        (attempt(), any::<u64>(), verdict(), load()).prop_map(|(attempt, node, verdict, load)| {
            Message::Answer(AnswerFrame { attempt, node: NodeId(node), verdict, load })
        });
    let fence = (attempt(), any::<u64>()).prop_map(|(attempt, remaining_us)| Message::Fence {
        attempt,
        asked: attempt.origin,
        remaining_us,
    });
    let ask_retry = (any::<u128>(), attempt())
        .prop_map(|(root, failed)| Message::AskRetry { root: RootId(root), failed });
    let retry_grant = (attempt(), any::<bool>())
        .prop_map(|(failed, granted)| Message::RetryGrant { failed, granted });
    let ping = any::<(u64, u64)>()
        .prop_map(|(from, sequence)| Message::Ping { from: NodeId(from), sequence });
    let pong = (any::<(u64, u64)>(), load()).prop_map(|((from, sequence), load)| Message::Pong {
        from: NodeId(from),
        sequence,
        load,
    });
    prop_oneof![
        call(),
        answer,
        attempt().prop_map(Message::Cancel),
        fence,
        ask_retry,
        retry_grant,
        body().prop_map(Message::Gossip),
        ping,
        pong,
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn what_is_encoded_is_decoded(message in message()) {
        let frame = encode(&message, BODY_MAX_BYTES).expect("the body is short enough");
        prop_assert_eq!(decode(&frame, BODY_MAX_BYTES), Ok(message));
    }

    #[test]
    fn a_frame_cut_anywhere_is_refused(message in message(), cut in any::<prop::sample::Index>()) {
        let frame = encode(&message, BODY_MAX_BYTES).expect("the body is short enough");
        let cut_length = cut.index(frame.len());
        prop_assert!(decode(&frame[..cut_length], BODY_MAX_BYTES).is_err());
    }

    #[test]
    fn bytes_after_a_message_are_refused(message in message(), tail in 1_usize..9) {
        let mut frame = encode(&message, BODY_MAX_BYTES).expect("the body is short enough");
        frame.resize(frame.len() + tail, 0);
        let refused = Err(CodecError::TrailingBytes { bytes: tail });
        prop_assert_eq!(decode(&frame, BODY_MAX_BYTES), refused);
    }

    #[test]
    fn another_version_is_refused(message in message(), found in any::<u8>()) {
        prop_assume!(found != VERSION);
        let mut frame = encode(&message, BODY_MAX_BYTES).expect("the body is short enough");
        frame[0] = found;
        prop_assert_eq!(decode(&frame, BODY_MAX_BYTES), Err(CodecError::UnknownVersion { found }));
    }

    #[test]
    fn garbage_never_panics(frame in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut versioned = vec![VERSION];
        versioned.extend(&frame);
        if let Ok(message) = decode(&versioned, BODY_MAX_BYTES) {
            // Random bytes may form a valid message, which must then survive a round trip.
            let reencoded = encode(&message, BODY_MAX_BYTES).expect("decode checked the length");
            prop_assert_eq!(decode(&reencoded, BODY_MAX_BYTES), Ok(message));
        }
    }
}

#[test]
fn an_empty_frame_is_refused() {
    assert_eq!(decode(&[], BODY_MAX_BYTES), Err(CodecError::Empty));
}

#[test]
fn a_body_that_is_too_long_is_refused_on_both_sides() {
    let message = Message::Gossip(Bytes::from(vec![0; BODY_MAX_BYTES + 1]));
    let too_long = CodecError::BodyTooLong { bytes: BODY_MAX_BYTES + 1, max_bytes: BODY_MAX_BYTES };
    assert_eq!(encode(&message, BODY_MAX_BYTES), Err(too_long.clone()));
    let frame = encode(&message, BODY_MAX_BYTES + 1).expect("one byte more is allowed here");
    assert_eq!(decode(&frame, BODY_MAX_BYTES), Err(too_long));
}
