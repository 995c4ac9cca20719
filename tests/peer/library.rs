//! Tests the behaviour of nng that the design of the transport depends on.

use std::sync::mpsc;
use std::time::Duration;

use nng::options::transport::tcp::BoundPort;
use nng::options::{Options, ReconnectMinTime, RecvTimeout, SendBufferSize};
use nng::{Listener, Message, Protocol, RawSocket, Socket};

/// How long to wait for an expected message.
const WAIT_TIMEOUT: Option<Duration> = Some(Duration::from_secs(60));

/// Listens on loopback and returns the URL.
fn listen(socket: &Socket) -> String {
    let listener = Listener::new(socket, "tcp://127.0.0.1:0").expect("loopback has a free port");
    let port = listener.get_opt::<BoundPort>().expect("a listener has a port");
    format!("tcp://127.0.0.1:{port}")
}

/// A raw REP socket drops replies that do not fit into a connection's queue: the reason for the
/// reply window. If this fails, nng has changed and the window may be removed.
#[test]
fn a_raw_rep_socket_drops_replies() {
    const REPLIES: u32 = 512;
    let server = RawSocket::new(Protocol::Rep0).expect("a socket").socket;
    let client = RawSocket::new(Protocol::Req0).expect("a socket").socket;
    client.dial(&listen(&server)).expect("the server listens");
    let mut requests = Vec::new();
    for number in 0..REPLIES {
        let mut request = Message::from(&[0_u8; 65_536][..]);
        request.as_mut_header().push_back(&(number | 0x8000_0000).to_be_bytes());
        client.send(request).expect("it fits in time");
        requests.push(server.recv().expect("requests are not dropped"));
    }
    for request in requests {
        server.send(request).expect("the socket takes every reply");
    }
    client.set_opt::<RecvTimeout>(Some(Duration::from_secs(2))).expect("a timeout can be set");
    let arrived = (0..REPLIES).take_while(|_| client.recv().is_ok()).count();
    assert!(arrived < REPLIES as usize, "all {arrived} replies arrived");
}

/// A cooked REQ socket resends a request to the next listener: the reason for raw sockets.
#[test]
fn a_cooked_req_socket_repeats_requests() {
    let first = Socket::new(Protocol::Rep0).expect("a socket");
    let url = listen(&first);
    let client = Socket::new(Protocol::Req0).expect("a socket");
    client.set_opt::<ReconnectMinTime>(Some(Duration::from_millis(10))).expect("can be set");
    client.dial(&url).expect("the server listens");
    client.send(&b"pay"[..]).expect("the server is there");
    assert_eq!(first.recv().expect("the request").as_slice(), b"pay");
    first.close();
    let second = Socket::new(Protocol::Rep0).expect("a socket");
    second.set_opt::<RecvTimeout>(WAIT_TIMEOUT).expect("a timeout can be set");
    second.listen(&url).expect("the port is free again");
    assert_eq!(second.recv().expect("the request again").as_slice(), b"pay");
}

/// A raw REQ socket sends what is left in its queue on its next connection: the reason why each
/// socket of the transport may have only one.
#[test]
fn a_raw_req_socket_sends_its_queue_on_the_next_connection() {
    let (opened, opens) = mpsc::channel();
    let client = RawSocket::new(Protocol::Req0).expect("a socket").socket;
    client.set_opt::<ReconnectMinTime>(Some(Duration::from_millis(10))).expect("can be set");
    client.set_opt::<SendBufferSize>(16).expect("can be set");
    let opened = std::sync::Mutex::new(opened);
    client
        .pipe_notify(move |_, event| {
            let _ = opened.lock().map(|opened| opened.send(event));
        })
        .expect("a callback can be set");
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let url = format!("tcp://{}", silent.local_addr().expect("it is bound"));
    client.dial_async(&url).expect("the address is valid");
    let (mut connection, _) = silent.accept().expect("the client connects");
    std::io::Write::write_all(&mut connection, &crate::frames::REP_HANDSHAKE).expect("handshake");
    opens.recv().expect("the connection opens");
    // More than the buffers of the connection can hold, so that the last ones stay in the socket.
    let is_full = (0..10_000_u32).any(|number| {
        let mut request = Message::from(&[0_u8; 65_536][..]);
        request.as_mut_header().push_back(&(number | 0x8000_0000).to_be_bytes());
        client.try_send(request).is_err()
    });
    assert!(is_full);
    drop((connection, silent));
    let server = RawSocket::new(Protocol::Rep0).expect("a socket").socket;
    server.set_opt::<RecvTimeout>(WAIT_TIMEOUT).expect("a timeout can be set");
    server.listen(&url).expect("the port is free again");
    server.recv().expect("what was queued");
}
