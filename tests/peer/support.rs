//! Helpers for the tests of the transport.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use aspenspring::call::{
    AnswerFrame, ArmId, AttemptId, CallFrame, ClassRank, HttpAnswer, HttpRequest, Level,
    LoadReport, Message, NodeId, RootId, TraceContext, Verdict,
};
use aspenspring::clock::Clock;
use aspenspring::duty::peer::{
    self, PeerEvent, PeerHandle, PeerOptions, PeerTransport, ReturnPath, SendError,
};
use crossbeam_channel::{Receiver, bounded, unbounded};

/// The longest body in these tests.
pub const BODY_MAX_BYTES: usize = 1 << 20;
/// How long a test waits before it fails; much longer than expected.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running transport with a queue of its events.
pub struct Node {
    /// The transport.
    transport: PeerTransport,
    /// The events it reported.
    events: Receiver<PeerEvent>,
}

/// Options of one transport.
pub struct Options {
    /// The node's number.
    pub node: u64,
    /// The listening address.
    pub listen: SocketAddr,
    /// How many messages may be queued per connection.
    pub ring_entries: usize,
    /// The longest message, in bytes.
    pub message_max_bytes: usize,
    /// The silence timeout. Long by default, so that a busy machine does not count as silent.
    pub silent_after_ms: u64,
    /// The connect timeout.
    pub connect_within_ms: u64,
}

impl Options {
    /// Sets the listening address.
    pub fn listen_at(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }
}

/// The default options of node `number`.
pub fn options(number: u64) -> Options {
    Options {
        node: number,
        listen: loopback(0),
        ring_entries: 2_048,
        message_max_bytes: BODY_MAX_BYTES + 65_536,
        silent_after_ms: 30_000,
        connect_within_ms: 5_000,
    }
}

/// Starts a transport.
pub fn start(options: Options) -> Node {
    let (_, open_gate) = bounded(0);
    start_blocked(options, open_gate)
}

/// Starts a transport whose sink blocks until the other end of `gate` is dropped.
pub fn start_blocked(options: Options, gate: Receiver<()>) -> Node {
    let (sender, events) = unbounded();
    let settings = PeerOptions::builder()
        .listen(options.listen)
        .node(node(options.node))
        .body_max_bytes(BODY_MAX_BYTES)
        .message_max_bytes(options.message_max_bytes)
        .ring_entries(options.ring_entries)
        .ping_every_ms(20)
        .idle_ping_every_ms(40)
        .silent_after_ms(options.silent_after_ms)
        .connect_within_ms(options.connect_within_ms)
        .build();
    let sink = move |event| {
        let _ = gate.recv();
        let _ = sender.send(event);
    };
    let transport = peer::start(settings, Clock::start(), sink).expect("the transport starts");
    Node { transport, events }
}

impl Node {
    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// A handle to send with.
    pub fn handle(&self) -> PeerHandle {
        self.transport.handle()
    }

    /// Stops it.
    pub fn stop(self) {
        self.transport.stop();
    }

    /// All events that have not been read.
    pub fn events_so_far(&self) -> Vec<PeerEvent> {
        self.events.try_iter().collect()
    }

    /// Sends a message, retrying while the send queue is full.
    pub fn send_with_retry(&self, peer: SocketAddr, message: &Message) {
        self.poll_until(|| match self.handle().send(peer, message) {
            Ok(()) => Some(()),
            Err(SendError::RingFull) => None,
            Err(error) => panic!("{error}"),
        });
    }

    /// Calls `attempt` until it returns a result.
    pub fn poll_until<T>(&self, mut attempt: impl FnMut() -> Option<T>) -> T {
        const PAUSE: Duration = Duration::from_millis(1);
        let tries = WAIT_TIMEOUT.as_millis() / PAUSE.as_millis();
        for _ in 0..tries {
            if let Some(result) = attempt() {
                return result;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("no result in a very long time");
    }

    /// Waits for the first event that `is_wanted`; earlier ones are discarded.
    pub fn wait_for(&self, what: &str, is_wanted: impl Fn(&PeerEvent) -> bool) -> PeerEvent {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        loop {
            let event = self.events.recv_deadline(give_up_at);
            let event = event.unwrap_or_else(|_| panic!("no {what} in a very long time"));
            if is_wanted(&event) {
                return event;
            }
        }
    }

    /// Waits for `count` requests.
    pub fn collect_requests(&self, count: usize) -> Vec<(ReturnPath, Message)> {
        let mut requests = Vec::with_capacity(count);
        while requests.len() < count {
            let event =
                self.wait_for("request", |event| matches!(event, PeerEvent::Request { .. }));
            let PeerEvent::Request { path, message } = event else { continue };
            requests.push((path, message));
        }
        requests
    }

    /// Waits for `count` answers.
    pub fn collect_answers(&self, count: usize) -> Vec<Message> {
        let is_answer = |event: &PeerEvent| {
            matches!(event, PeerEvent::Reply { message: Message::Answer(_), .. })
        };
        let mut answers = Vec::with_capacity(count);
        while answers.len() < count {
            let PeerEvent::Reply { message, .. } = self.wait_for("answer", is_answer) else {
                continue;
            };
            answers.push(message);
        }
        answers
    }
}

/// Node `number`.
pub fn node(number: u64) -> NodeId {
    NodeId(number)
}

/// A loopback address with this port.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).expect("loopback has a free port");
    listener.local_addr().expect("a bound socket has an address")
}

/// Call number `sequence` of node `origin`, with a body of 1 KiB.
pub fn call(origin: u64, sequence: u64) -> Message {
    call_with_body(origin, sequence, 1_024)
}

/// Call number `sequence` of node `origin`, with a body of `body_bytes`.
pub fn call_with_body(origin: u64, sequence: u64, body_bytes: usize) -> Message {
    let class = ClassRank(1);
    let root = RootId(u128::from(sequence));
    Message::Call(Box::new(CallFrame {
        attempt: AttemptId { origin: node(origin), sequence, nonce: 7 },
        root,
        entry: Some(node(origin)),
        entry_address: None,
        class,
        level: Level::new(class, root),
        arm: ArmId(0),
        remaining_us: 5_000_000,
        depth: 0,
        retry: 0,
        service: "souq-stock".to_owned(),
        key: None,
        trace: TraceContext { trace_id: root.0, parent_span_id: 1, sampled: false },
        request: HttpRequest {
            method: "GET".to_owned(),
            path: "/items/1".to_owned(),
            headers: vec![("accept".to_owned(), "application/json".to_owned())],
            body: vec![b'x'; body_bytes].into(),
        },
    }))
}

/// The answer of node `from` to `attempt`, with a long body.
pub fn answer(attempt: AttemptId, from: u64) -> Message {
    const BODY_BYTES: usize = 64 << 10;
    let body = vec![b'y'; BODY_BYTES].into();
    Message::Answer(AnswerFrame {
        attempt,
        node: node(from),
        verdict: Verdict::Answered(HttpAnswer { status: 200, headers: vec![], body }),
        load: LoadReport::default(),
    })
}

/// The attempt that a call or an answer belongs to.
pub fn attempt_of(message: &Message) -> AttemptId {
    match message {
        Message::Call(call) => call.attempt,
        Message::Answer(answer) => answer.attempt,
        other => panic!("{other:?} belongs to no attempt"),
    }
}
