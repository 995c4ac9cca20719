//! Frames that no node of ours sends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use aspenspring::duty::peer::PeerEvent;

use crate::support::{Options, call, loopback, options, start};

/// What a REQ socket says first, by the SP protocol over TCP.
const GREETING_OF_REQ: [u8; 8] = [0, b'S', b'P', 0, 0, 0x30, 0, 0];
/// What a REP socket says first.
pub const GREETING_OF_REP: [u8; 8] = [0, b'S', b'P', 0, 0, 0x31, 0, 0];
/// The header of a request, and so of its reply.
const REQUEST_WORD: [u8; 4] = [0x80, 0, 0, 1];
/// The longest message of these tests.
const MESSAGE_MAX_BYTES: usize = 4_096;

/// A frame as it goes over TCP: its length, the header and the content.
fn frame(content: &[u8]) -> Vec<u8> {
    let length = (REQUEST_WORD.len() + content.len()) as u64;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(REQUEST_WORD);
    bytes.extend(content);
    bytes
}

/// Frames that must close the connection they come on.
fn bad_frames() -> Vec<(&'static str, Vec<u8>)> {
    const MESSAGE: u8 = 0;
    const CONFIRM: u8 = 1;
    let mut endless = u64::MAX.to_be_bytes().to_vec();
    endless.extend(REQUEST_WORD);
    vec![
        ("empty", frame(&[])),
        ("of an unknown kind", frame(&[9, 1, 2, 3])),
        ("of an unknown version", frame(&[MESSAGE, 77, 0])),
        ("a message cut short", frame(&[MESSAGE, 1, 0, 5, 5])),
        ("a ping with a tail", frame(&[MESSAGE, 1, 7, 1, 1, 0xff])),
        ("a short confirmation", frame(&[CONFIRM, 0, 0, 1])),
        ("a confirmation of replies never sent", frame(&[CONFIRM, 0, 0, 0, 0, 0, 0, 0, 1])),
        ("over-long", frame(&vec![0; MESSAGE_MAX_BYTES + 1_024])),
        ("endless", endless),
    ]
}

/// Connects as a node would.
fn greet(server: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(server).expect("the server listens");
    stream.write_all(&GREETING_OF_REQ).expect("the server reads");
    let mut greeting = [0; GREETING_OF_REP.len()];
    stream.read_exact(&mut greeting).expect("the server greets");
    assert_eq!(greeting, GREETING_OF_REP);
    stream
}

/// Reads until the other end closes; returns what came.
fn read_to_close(mut stream: TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    // A reset is as good an end as any.
    let _ = stream.read_to_end(&mut received);
    received
}

#[test]
fn a_listener_closes_a_connection_with_a_bad_frame() {
    let server = start(Options { message_max_bytes: MESSAGE_MAX_BYTES, ..options(1) });
    for (what, bytes) in bad_frames() {
        let mut stream = greet(server.address());
        stream.write_all(&bytes).expect("the server reads or closes");
        assert_eq!(read_to_close(stream), b"", "a frame {what}");
    }
    let mut cut = greet(server.address());
    cut.write_all(&frame(&[0; 100])[..50]).expect("the server reads");
    drop(cut);
    let caller = start(options(2));
    let good = call(2, 1);
    caller.send_patiently(server.address(), &good);
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
        stream.write_all(&GREETING_OF_REP).expect("the caller reads");
        stream.write_all(&bytes).expect("the caller reads or closes");
        let event = caller.wait_for(what, |_| true);
        assert_eq!(event, PeerEvent::LinkLost { peer: address }, "a frame {what}");
        caller.stop();
        read_to_close(stream);
    }
}

/// The crate panics, which ends the process, when a connection is closed that has closed already.
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
                    let mut stream = greet(address);
                    // The second one may find the connection closed.
                    let _ = stream.write_all(&frame(&[9]));
                    let _ = stream.write_all(&frame(&[9]));
                }
            });
        }
    });
    assert_eq!(server.events_so_far(), vec![]);
}
