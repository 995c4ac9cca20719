//! The memory for bodies, and bodies on a link.

use std::time::Duration;

use aspenspring::mesh::codec::{Decoder, Encoder, Received};
use aspenspring::mesh::frame::{Call, CallEnd, Frame, Load, TargetAnswer};
use aspenspring::mesh::memory::{MemoryBudget, Stage};
use bytes::{Bytes, BytesMut};
use tokio::time::{sleep, timeout};

use super::support::{memory, paused};

const MIB: usize = 1024 * 1024;

#[test]
fn later_stages_and_small_bodies_have_memory_left() {
    let memory = MemoryBudget::new(256 * MIB);
    let upload = memory.try_reserve(Stage::Caller, 60 * MIB).unwrap();
    assert!(memory.try_reserve(Stage::Caller, 5 * MIB).is_none());
    let small = memory.try_reserve(Stage::Caller, MIB).unwrap();
    let call = memory.try_reserve(Stage::Call, 64 * MIB).unwrap();
    assert!(memory.try_reserve(Stage::Call, 5 * MIB).is_none());
    let answer = memory.try_reserve(Stage::Answer, 15 * MIB).unwrap();
    assert!(memory.try_reserve(Stage::Answer, 2 * MIB).is_none());
    let mut held = Vec::new();
    while let Some(reservation) = memory.try_reserve(Stage::Answer, MIB) {
        held.push(reservation);
    }
    assert_eq!(memory.held_bytes(), 166 * MIB, "0.65 of the memory");
    assert!(!memory.has_room(), "no further request is started");
    drop((upload, small, call, answer, held));
    assert_eq!(memory.held_bytes(), 0);
}

#[test]
fn a_body_holds_its_memory_until_its_last_reference_is_dropped() {
    let memory = memory();
    let mut reservation = memory.try_reserve(Stage::Answer, 0).unwrap();
    assert!(reservation.try_grow_to(9_000));
    let body = reservation.attach(BytesMut::from(&[7; 5_000][..]));
    let part = body.slice(10..20);
    drop(body);
    assert_eq!((memory.held_bytes(), &part[..]), (5_000, &[7; 10][..]));
    drop(part);
    assert_eq!(memory.held_bytes(), 0);
}

#[test]
fn a_body_waits_for_memory_unless_there_will_never_be_enough() {
    paused(async {
        let memory = MemoryBudget::new(256 * MIB);
        assert!(memory.reserve(Stage::Caller, 65 * MIB).await.is_none());
        let first = memory.reserve(Stage::Caller, 60 * MIB).await.unwrap();
        let second = memory.reserve(Stage::Caller, 60 * MIB);
        tokio::pin!(second);
        assert!(timeout(Duration::from_secs(9), second.as_mut()).await.is_err());
        let release = async {
            sleep(Duration::from_secs(1)).await;
            drop(first);
        };
        let (reservation, ()) = tokio::join!(second, release);
        assert!(reservation.is_some());
    });
}

fn call(id: u64, body: &[u8]) -> Frame {
    Frame::Call(Call {
        id,
        service: "stock".to_owned(),
        attempt_id: "a1".to_owned(),
        remaining_ms: 900,
        root: "read".to_owned(),
        rank: 1,
        is_repeat: false,
        team: String::new(),
        method: "POST".to_owned(),
        path: "/read/1".to_owned(),
        headers: Vec::new(),
        body: Bytes::copy_from_slice(body),
    })
}

fn answer(id: u64, body: &[u8]) -> Frame {
    let answer = TargetAnswer {
        status: 200,
        has_failed_below: false,
        headers: Vec::new(),
        body: Bytes::copy_from_slice(body),
    };
    Frame::Answer { id, end: CallEnd::Answered(answer), load: Load::default() }
}

fn receive(decoder: &mut Decoder, frames: &[Frame], read_bytes: usize) -> Vec<Received> {
    let (mut encoder, mut stream) = (Encoder::default(), BytesMut::new());
    for frame in frames {
        let body = encoder.encode(frame, &mut stream);
        stream.extend_from_slice(&body.unwrap_or_default());
    }
    let (mut buffer, mut received) = (BytesMut::new(), Vec::new());
    for part in stream.chunks(read_bytes) {
        buffer.extend_from_slice(part);
        while let Some(next) = decoder.decode(&mut buffer).unwrap() {
            received.push(next);
        }
        assert!(buffer.len() <= read_bytes + 64 * 1024, "a large frame is buffered");
    }
    assert!(buffer.is_empty());
    received
}

/// Guards against copies of large bodies on links, which no limit counted.
#[test]
fn large_bodies_are_received_in_parts_and_reserved() {
    let body = vec![b'x'; 3 * MIB];
    for read_bytes in [1_000, 64 * 1024, 5 * MIB] {
        let memory = memory();
        let frames = [call(1, &body), Frame::Ping, answer(2, &body), call(3, b"small")];
        let received = receive(&mut Decoder::new(memory.clone()), &frames, read_bytes);
        assert_eq!(memory.held_bytes(), 6 * MIB + 5);
        assert_eq!(received, frames.map(Received::Frame));
    }
}

/// Guards against a link that ends or desynchronises because a body does not fit into memory.
#[test]
fn a_body_without_memory_is_discarded_and_the_next_frames_are_received() {
    let body = vec![b'x'; 3 * MIB];
    let memory = MemoryBudget::new(4 * MIB);
    let frames = [call(1, &body), answer(2, &body), call(3, b"small"), Frame::Ping];
    let received = receive(&mut Decoder::new(memory), &frames, 64 * 1024);
    let [_, _, small, ping] = frames;
    let load = Load::default();
    let expected = [
        Received::UnreadCall { id: 1 },
        Received::UnreadAnswer { id: 2, load },
        Received::Frame(small),
        Received::Frame(ping),
    ];
    assert_eq!(received, expected);
}
