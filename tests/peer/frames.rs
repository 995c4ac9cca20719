//! Tests malformed frames, which no correct node sends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use aspenspring::duty::peer::PeerEvent;

use crate::support::{Options, call, loopback, options, start};

/// The first bytes sent by a REQ socket, by the SP protocol over TCP.
const REQ_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 0x30, 0, 0];
/// The first bytes sent by a REP socket.
pub const REP_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 0x31, 0, 0];
/// The header of a request and of its reply.
const REQUEST_WORD: [u8; 4] = [0x80, 0, 0, 1];
/// The longest message of these tests.
const MESSAGE_MAX_BYTES: usize = 4_096;

/// A frame as sent over TCP: length, header and content.
fn frame(content: &[u8]) -> Vec<u8> {
    let length = (REQUEST_WORD.len() + content.len()) as u64;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(REQUEST_WORD);
    bytes.extend(content);
    bytes
}

/// Invalid frames, which must close their connection.
fn bad_frames() -> Vec<(&'static str, Vec<u8>)> {
    const MESSAGE: u8 = 0;
    const ACKNOWLEDGE: u8 = 1;
    let mut huge = u64::MAX.to_be_bytes().to_vec();
    huge.extend(REQUEST_WORD);
    vec![
        ("empty", frame(&[])),
        ("of an unknown kind", frame(&[9, 1, 2, 3])),
        ("of an unknown version", frame(&[MESSAGE, 77, 0])),
        ("a message cut short", frame(&[MESSAGE, 1, 0, 5, 5])),
        ("a ping with a tail", frame(&[MESSAGE, 1, 7, 1, 1, 0xff])),
        ("a short acknowledgement", frame(&[ACKNOWLEDGE, 0, 0, 1])),
        ("an acknowledgement of replies never sent", frame(&[ACKNOWLEDGE, 0, 0, 0, 0, 0, 0, 0, 1])),
        ("over-long", frame(&vec![0; MESSAGE_MAX_BYTES + 1_024])),
        ("with the greatest length", huge),
    ]
}

/// Connects and completes the handshake of a REQ socket.
fn connect_as_req(server: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(server).expect("the server listens");
    stream.write_all(&REQ_HANDSHAKE).expect("the server reads");
    let mut handshake = [0; REP_HANDSHAKE.len()];
    stream.read_exact(&mut handshake).expect("the server sends its handshake");
    assert_eq!(handshake, REP_HANDSHAKE);
    stream
}

/// Reads until the other end closes and returns the bytes received.
fn read_to_close(mut stream: TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    // A connection reset is accepted as well.
    let _ = stream.read_to_end(&mut received);
    received
}

#[test]
fn a_listener_closes_a_connection_with_a_bad_frame() {
    let server = start(Options { message_max_bytes: MESSAGE_MAX_BYTES, ..options(1) });
    for (what, bytes) in bad_frames() {
        let mut stream = connect_as_req(server.address());
        stream.write_all(&bytes).expect("the server reads or closes");
        assert_eq!(read_to_close(stream), b"", "a frame {what}");
    }
    let mut truncated = connect_as_req(server.address());
    truncated.write_all(&frame(&[0; 100])[..50]).expect("the server reads");
    drop(truncated);
    let caller = start(options(2));
    let good = call(2, 1);
    caller.send_with_retry(server.address(), &good);
    let (_, first) = server.collect_requests(1).remove(0);
    assert_eq!(first, good, "no bad frame became a request");
}

#[test]
fn a_caller_gives_up_a_connection_with_a_bad_frame() {
    for (what, bytes) in bad_frames() {
        let listener = TcpListener::bind(loopback(0)).expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let caller = start(Options { message_max_bytes: MESSAGE_MAX_BYTES, ..options(1) });
        caller.handle().connect(address);
        let (mut stream, _) = listener.accept().expect("the caller connects");
        stream.write_all(&REP_HANDSHAKE).expect("the caller reads");
        stream.write_all(&bytes).expect("the caller reads or closes");
        let event = caller.wait_for(what, |_| true);
        assert_eq!(event, PeerEvent::LinkLost { peer: address }, "a frame {what}");
        caller.stop();
        read_to_close(stream);
    }
}

/// The nng crate panics, which aborts the process, on closing a connection that is already closed.
#[test]
fn a_connection_that_closes_while_it_is_refused_does_no_harm() {
    const CALLERS: usize = 4;
    const CONNECTIONS: usize = 300;
    let server = start(options(1));
    let address = server.address();
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(move || {
                for _ in 0..CONNECTIONS {
                    let mut stream = connect_as_req(address);
                    // The connection may be closed before the second one.
                    let _ = stream.write_all(&frame(&[9]));
                    let _ = stream.write_all(&frame(&[9]));
                }
            });
        }
    });
    assert_eq!(server.events_so_far(), vec![]);
}
