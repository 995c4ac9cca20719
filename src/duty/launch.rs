//! Starts all threads of a node and stops them in order.

use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use rand::Rng;
use rocket::shield::Shield;
use rocket::{Build, Rocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::call::{AnswerFrame, AttemptId, LoadReport, Message, NodeId, RefusalReason, Verdict};
use crate::clock::Clock;
use crate::config::{NodeSettings, Settings};
use crate::event::{EventLog, LogEvent};
use crate::logging::Logging;
use crate::node::{LeaveRequester, Node, NodeEvent, NodeIdentity};
use crate::replay::{self, Header};
use crate::telemetry::metrics::{LabelNames, Metrics};
use crate::telemetry::trace::{SpanSink, TraceDuty, TraceOptions};

use super::decider::{self, DeciderHandle, IoHandles};
use super::http::{BodyBudget, ClientKind, ProxyHandler};
use super::note::NoteSink;
use super::operator::{self, OperatorKey, OperatorOptions};
use super::peer::{self, PeerEvent, PeerHandle, PeerOptions, PeerTransport, ReturnPath};
use super::recorder::{self, Recorder, RecorderThread};
use super::store::{self, StoreHandle, StoreOptions};
use super::target;
use super::web::{WebOptions, WebServer};

/// How long to wait at exit for peers to confirm the last replies.
const REPLY_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// The retry interval given to a peer when the event ring is full, in milliseconds.
const RING_FULL_RETRY_MS: u32 = 200;
/// How often the launching thread checks whether the decider has ended or replies are confirmed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Aborts the process when any thread panics. A node without one of its threads must not appear
/// healthy, and after an abort its peers report its requests as possibly run.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

/// Runs a node until it has left the site. Records its input events to the new file `record`, if given.
///
/// # Errors
///
/// If an address cannot be bound, the recording cannot be written, or a thread cannot be started.
pub fn run_node(settings: Settings, record: Option<&Path>) -> eyre::Result<()> {
    abort_on_panic();
    let settings = Arc::new(settings);
    let clock = Clock::start();
    let logging = Logging::start(&settings.telemetry, std::io::stderr())?;
    let events = EventLog::new(logging.logger.clone(), clock);
    let metrics = Metrics::new()?;
    let (decider, ring) = DeciderHandle::ring(settings.node.ring_entries);
    let observed = decider.clone();
    let entries = settings.node.ring_entries;
    let decider = decider
        .with_refused_counter(metrics.watch_ring("decider", entries, move || observed.queue_len()));
    let id = NodeId(rand::rng().random());
    let peers = start_peers(&settings.node, id, clock, &decider)?;
    let traces = start_tracing(&settings, &metrics, &events)?;
    let spans = traces.as_ref().map_or_else(SpanSink::disabled, TraceDuty::sink);
    let calls = metrics.calls(LabelNames::new(&settings.rules));
    let note_sink = NoteSink::new(events.clone(), calls, spans);
    let identity = identity(id, clock, &peers);
    let started_us = clock.now_us();
    let (recorder, recording) = start_recording(record, &settings, &identity, started_us)?;
    let build = crate::configuration::site_rules(&settings.site);
    let node = Node::new(started_us, identity, settings.clone(), build);
    let io = start_io_threads(&settings, clock, &decider, &peers)?;
    let thread = decider::start(node, clock, ring, io, note_sink, recorder)?;
    let mut servers = start_listeners(&settings.node, &decider)?;
    servers.push(start_operator(&settings.node, &decider, metrics, events.clone())?);
    events.emit(&LogEvent::NodeStarted {
        node: id,
        node_name: settings.node.name.clone(),
        service: settings.node.service.clone(),
        failure_domain: settings.node.failure_domain.clone(),
        version: env!("CARGO_PKG_VERSION"),
    });
    wait_until_stopped(&decider, &thread)?;
    drain_replies(&peers);
    for server in servers {
        server.stop()?;
    }
    peers.stop();
    if let Some(traces) = traces {
        traces.stop();
    }
    if let Some(recording) = recording {
        recording.stop()?;
    }
    Ok(())
}

/// Starts the connections to other nodes.
fn start_peers(
    own: &NodeSettings,
    id: NodeId,
    clock: Clock,
    decider: &DeciderHandle,
) -> eyre::Result<PeerTransport> {
    let options = PeerOptions::builder()
        .listen(own.peer_listen)
        .node(id)
        .body_max_bytes(own.body_max_bytes)
        .build();
    let decider = decider.clone();
    // The handle for replies exists only once the transport has started.
    let handle: Arc<OnceLock<PeerHandle>> = Arc::default();
    let reply_handle = handle.clone();
    let sink = move |event| forward_peer_event(id, &decider, reply_handle.get(), event);
    let peers = peer::start(options, clock, sink).wrap_err("cannot listen for other nodes")?;
    let _ = handle.set(peers.handle());
    Ok(peers)
}

/// Rejects an attempt because the decider's ring is full. The attempt has not run and never will: its
/// frame is dropped, and a later query about it finds no record and fences it.
fn reject_ring_full(id: NodeId, peers: Option<&PeerHandle>, path: ReturnPath, attempt: AttemptId) {
    let Some(peers) = peers else { return };
    let verdict = Verdict::not_run(RefusalReason::NodeFull, RING_FULL_RETRY_MS);
    let answer = AnswerFrame { attempt, node: id, verdict, load: LoadReport::default() };
    // If the answer is lost, the sender's deadline ends the attempt.
    let _ = peers.reply(path, &Message::Answer(answer));
}

/// Forwards an event of a peer connection to the decider.
fn forward_peer_event(
    id: NodeId,
    decider: &DeciderHandle,
    peers: Option<&PeerHandle>,
    event: PeerEvent,
) {
    match event {
        PeerEvent::Request { path, message } => {
            let attempt = match &message {
                Message::Call(frame) => Some(frame.attempt),
                _ => None,
            };
            let queued = decider.try_submit_event(NodeEvent::PeerRequest { path, message });
            if let (Err(_), Some(attempt)) = (queued, attempt) {
                reject_ring_full(id, peers, path, attempt);
            }
        }
        PeerEvent::Reply { peer, message } => {
            decider.submit_event(NodeEvent::PeerReply { peer, message });
        }
        PeerEvent::Unsent { message, .. } => {
            decider.submit_event(NodeEvent::SendFailed { message });
        }
        PeerEvent::LinkLost { peer } => {
            decider.submit_event(NodeEvent::LinkLost { peer });
        }
        PeerEvent::LinkUp { peer } => {
            decider.submit_event(NodeEvent::LinkUp { peer });
        }
    }
}

/// The identity of the node for the lifetime of this process.
fn identity(id: NodeId, clock: Clock, peers: &PeerTransport) -> NodeIdentity {
    NodeIdentity::builder()
        .id(id)
        .peer_address(peers.address())
        .seed(rand::rng().random())
        .origin_unix_ms(clock.unix_ms() - clock.now_us() / crate::clock::US_PER_MS)
        .build()
}

/// Starts recording the node's input events if a file is given.
fn start_recording(
    record: Option<&Path>,
    settings: &Settings,
    identity: &NodeIdentity,
    started_us: u64,
) -> eyre::Result<(Recorder, Option<RecorderThread>)> {
    let Some(path) = record else { return Ok((Recorder::default(), None)) };
    let header = Header {
        format: replay::FORMAT,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        started_us,
        identity: identity.clone(),
        settings: settings.clone(),
    };
    let (recorder, duty) = recorder::start(path, &header)?;
    Ok((recorder, Some(duty)))
}

/// Starts the I/O threads that execute the node's actions.
fn start_io_threads(
    settings: &Settings,
    clock: Clock,
    decider: &DeciderHandle,
    peers: &PeerTransport,
) -> eyre::Result<IoHandles> {
    let (target, target_rings) = target::rings(settings.node.ring_entries);
    target::start(target_rings, clock, decider.clone(), settings.node.body_max_bytes)?;
    let store = start_store(settings, decider)?;
    Ok(IoHandles { peers: peers.handle(), target, store })
}

/// Starts the thread that talks to the platform's table service.
fn start_store(settings: &Settings, decider: &DeciderHandle) -> eyre::Result<StoreHandle> {
    let options = StoreOptions::builder()
        .table_url(settings.platform.table_url.clone())
        .timeout_ms(settings.platform.timeout_ms)
        .seed(rand::rng().random())
        .build();
    let decider = decider.clone();
    let (handle, _thread) = store::start(options, move |event| {
        decider.submit_event(NodeEvent::Store(event));
    })?;
    Ok(handle)
}

/// Starts the listeners for external callers and for the target.
fn start_listeners(own: &NodeSettings, decider: &DeciderHandle) -> eyre::Result<Vec<WebServer>> {
    let body_budget = BodyBudget::new(own.bodies_max_bytes);
    let listeners = [
        (ClientKind::Target, "target-http", own.target_listen),
        (ClientKind::Caller, "http", own.caller_listen),
    ];
    let mut servers = Vec::new();
    for (client, name, address) in listeners {
        let options = WebOptions::builder()
            .name(name)
            .address(address)
            .workers(own.http_workers)
            .body_max_bytes(own.body_max_bytes)
            .read_timeout_ms(own.request_read_ms)
            .build();
        let handler = ProxyHandler {
            client,
            decider: decider.clone(),
            body_max_bytes: own.body_max_bytes,
            request_read_ms: own.request_read_ms,
            body_budget: body_budget.clone(),
        };
        // Answers are the targets' own, so Rocket must not add its security headers.
        let no_shield = Shield::new();
        let add = |rocket: Rocket<Build>| rocket.attach(no_shield).mount("/", handler.routes());
        servers.push(WebServer::start(&options, add)?);
    }
    Ok(servers)
}

/// Starts the thread that exports spans if the settings name a collector.
fn start_tracing(
    settings: &Settings,
    metrics: &Metrics,
    events: &EventLog,
) -> eyre::Result<Option<TraceDuty>> {
    let Some(otlp_url) = &settings.telemetry.otlp_url else { return Ok(None) };
    let options = TraceOptions::builder()
        .otlp_url(otlp_url.clone())
        .service(settings.node.service.clone())
        .node_name(settings.node.name.clone())
        .failure_domain(settings.node.failure_domain.clone())
        .build();
    Ok(Some(TraceDuty::start(&options, metrics, events.clone())?))
}

/// Waits until peers have confirmed the last replies, up to a time limit.
fn drain_replies(peers: &PeerTransport) {
    let until = Instant::now() + REPLY_DRAIN_TIMEOUT;
    while peers.unacknowledged_replies() > 0 && Instant::now() < until {
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts the listener for operators.
fn start_operator(
    own: &NodeSettings,
    decider: &DeciderHandle,
    metrics: Metrics,
    events: EventLog,
) -> eyre::Result<WebServer> {
    let decider = decider.clone();
    let options = OperatorOptions::builder()
        .address(own.operator_listen)
        .maybe_key(OperatorKey::from_env(&own.operator_key_env))
        .key_variable(own.operator_key_env.clone())
        .requests(Arc::new(move |request| decider.try_submit_operator(request)))
        .metrics(metrics)
        .events(events)
        .build();
    Ok(operator::start(options)?)
}

/// Waits until the decider has ended. SIGTERM and SIGINT make the node leave.
fn wait_until_stopped(decider: &DeciderHandle, thread: &JoinHandle<()>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        while !thread.is_finished() {
            tokio::select! {
                _ = terminate.recv() => {
                    decider.submit_event(NodeEvent::Leave { asked_by: LeaveRequester::Signal });
                }
                _ = interrupt.recv() => {
                    decider.submit_event(NodeEvent::Leave { asked_by: LeaveRequester::Signal });
                }
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
        Ok(())
    })
}
