//! Benchmarks the transport between two processes.
//!
//! `peer_bench serve` answers calls and prints its address; `peer_bench call ADDRESS` measures
//! round trips of 1 KiB each way with 1, 64 and 512 outstanding calls on one connection.

use std::env;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use aspenspring::call::{
    AnswerFrame, ArmId, AttemptId, CallFrame, ClassRank, HttpAnswer, HttpRequest, Level,
    LoadReport, Message, NodeId, RootId, TraceContext, Verdict,
};
use aspenspring::clock::Clock;
use aspenspring::duty::peer::{self, PeerEvent, PeerOptions, PeerTransport};
use crossbeam_channel::{Receiver, bounded};
use eyre::{Result, WrapErr, bail, eyre};

/// The length of each body.
const BODY_BYTES: usize = 1_024;
/// Warm-up calls before each measurement.
const WARM_UP_CALLS: u64 = 20_000;
/// Calls measured at each number of outstanding calls.
const MEASURED_CALLS: u64 = 200_000;
/// Maximum time to wait for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["serve"] => serve(),
        ["call", address] => measure(address.parse().wrap_err("not an address")?),
        _ => bail!("peer_bench serve | peer_bench call ADDRESS"),
    }
}

/// Starts a transport that sends its events to a bounded channel.
fn start(number: u64) -> Result<(PeerTransport, Receiver<PeerEvent>)> {
    const CHANNEL_ENTRIES: usize = 4_096;
    let (sender, events) = bounded(CHANNEL_ENTRIES);
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = PeerOptions::builder().listen(listen).node(NodeId(number)).build();
    let sink = move |event| {
        let _ = sender.send(event);
    };
    let transport = peer::start(options, Clock::start(), sink)?;
    Ok((transport, events))
}

/// Answers calls until the process is killed.
fn serve() -> Result<()> {
    let (transport, events) = start(1)?;
    println!("{}", transport.address());
    let handle = transport.handle();
    for event in events {
        let PeerEvent::Request { path, message: Message::Call(call) } = event else { continue };
        handle.reply(path, &answer(call.attempt))?;
    }
    Ok(())
}

/// Measures round trips to a server.
fn measure(server: SocketAddr) -> Result<()> {
    println!("before: {}", process_usage());
    let (transport, events) = start(2)?;
    let handle = transport.handle();
    handle.connect(server);
    loop {
        if matches!(events.recv_timeout(WAIT_TIMEOUT)?, PeerEvent::LinkUp { .. }) {
            break;
        }
    }
    for outstanding in [1, 64, 512] {
        run(&transport, &events, server, outstanding, WARM_UP_CALLS)?;
        let started = Instant::now();
        let mut times = run(&transport, &events, server, outstanding, MEASURED_CALLS)?;
        let seconds = started.elapsed().as_secs_f64();
        times.sort_unstable();
        let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!(
            "outstanding {outstanding}: p50 {:?}, p99 {:?}, {:.0} round trips/s",
            quantile(0.50),
            quantile(0.99),
            MEASURED_CALLS as f64 / seconds
        );
    }
    println!("after: {}", process_usage());
    Ok(())
}

/// Makes `count` calls, `outstanding` at a time. Returns the round-trip time of each.
fn run(
    transport: &PeerTransport,
    events: &Receiver<PeerEvent>,
    server: SocketAddr,
    outstanding: u64,
    count: u64,
) -> Result<Vec<Duration>> {
    let handle = transport.handle();
    let mut started = vec![Instant::now(); count as usize];
    let mut times = Vec::with_capacity(count as usize);
    let mut next = 0;
    while times.len() < count as usize {
        while next < count && next - (times.len() as u64) < outstanding {
            started[next as usize] = Instant::now();
            handle.send(server, &call(next))?;
            next += 1;
        }
        match events.recv_timeout(WAIT_TIMEOUT)? {
            PeerEvent::Reply { message: Message::Answer(answer), .. } => {
                times.push(started[answer.attempt.sequence as usize].elapsed());
            }
            PeerEvent::LinkLost { .. } => return Err(eyre!("the connection was lost")),
            _ => (),
        }
    }
    Ok(times)
}

/// Number of threads and resident memory of this process.
fn process_usage() -> String {
    let threads = fs::read_dir("/proc/self/task").map_or(0, Iterator::count);
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("VmRSS ?");
    format!("{threads} threads, {}", resident.replace('\t', " "))
}

/// Call number `sequence`.
fn call(sequence: u64) -> Message {
    let class = ClassRank(1);
    let root = RootId(u128::from(sequence));
    Message::Call(Box::new(CallFrame {
        attempt: AttemptId { origin: NodeId(2), sequence, nonce: 7 },
        root,
        entry: Some(NodeId(2)),
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
            body: vec![b'x'; BODY_BYTES].into(),
        },
    }))
}

/// The answer to a call.
fn answer(attempt: AttemptId) -> Message {
    let body = vec![b'y'; BODY_BYTES].into();
    let http = HttpAnswer { status: 200, headers: vec![], body };
    Message::Answer(AnswerFrame {
        attempt,
        node: NodeId(1),
        verdict: Verdict::Answered(http),
        load: LoadReport::default(),
    })
}
