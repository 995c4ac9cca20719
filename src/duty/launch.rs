//! Starts all threads of a node, and stops them in order.

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

use super::decider::{self, DeciderHandle, Hands};
use super::http::{BodyRoom, Gate, Side};
use super::note::Notes;
use super::operator::{self, OperatorKey, OperatorOptions};
use super::peer::{self, PeerEvent, PeerHandle, PeerOptions, PeerTransport, ReturnPath};
use super::recorder::{self, Recorder, RecorderDuty};
use super::store::{self, StoreHandle, StoreOptions};
use super::target;
use super::web::{WebOptions, WebServer};

/// How long the last replies may take to be confirmed by their receivers.
const REPLIES_WAIT: Duration = Duration::from_secs(2);
/// When a sender should come back to a node whose ring was full, in milliseconds.
const FULL_RETRY_MS: u32 = 200;
/// How often the launching thread looks whether the node has left.
const WATCH_EVERY: Duration = Duration::from_millis(50);

/// Ends the process at the first panic of any thread: a node that has lost a duty must not look
/// alive, and what it may have run is then told as such by the others.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

/// Runs a node until it has left. What it is told goes to the new file `record`, if one is named.
///
/// # Errors
///
/// An address that cannot be bound, a recording that cannot be written, or a thread that cannot be started.
pub fn run_node(settings: Settings, record: Option<&Path>) -> eyre::Result<()> {
    abort_on_panic();
    let settings = Arc::new(settings);
    let clock = Clock::start();
    let logging = Logging::start(&settings.telemetry, std::io::stderr())?;
    let events = EventLog::new(logging.logger.clone(), clock);
    let metrics = Metrics::new()?;
    let (decider, ring) = DeciderHandle::ring(settings.node.ring_entries);
    let watched = decider.clone();
    let entries = settings.node.ring_entries;
    let decider = decider.counting(metrics.watch_ring("decider", entries, move || watched.fill()));
    let id = NodeId(rand::rng().random());
    let peers = start_peers(&settings.node, id, clock, &decider)?;
    let traces = start_traces(&settings, &metrics, &events)?;
    let spans = traces.as_ref().map_or_else(SpanSink::disabled, TraceDuty::sink);
    let calls = metrics.calls(LabelNames::new(&settings.rules));
    let notes = Notes::new(events.clone(), calls, spans);
    let identity = identity(id, clock, &peers);
    let started_us = clock.now_us();
    let (recorder, recording) = start_recording(record, &settings, &identity, started_us)?;
    let build = crate::configuration::site_rules(&settings.site);
    let node = Node::new(started_us, identity, settings.clone(), build);
    let hands = start_hands(&settings, clock, &decider, &peers)?;
    let thread = decider::start(node, clock, ring, hands, notes, recorder)?;
    let mut servers = start_listeners(&settings.node, &decider)?;
    servers.push(start_operator(&settings.node, &decider, metrics, events.clone())?);
    events.emit(&LogEvent::NodeStarted {
        node: id,
        node_name: settings.node.name.clone(),
        service: settings.node.service.clone(),
        failure_domain: settings.node.failure_domain.clone(),
        version: env!("CARGO_PKG_VERSION"),
    });
    wait_until_left(&decider, &thread)?;
    wait_for_replies(&peers);
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
    // The handle to answer with exists only once the transport has started.
    let own: Arc<OnceLock<PeerHandle>> = Arc::default();
    let answering = own.clone();
    let sink = move |event| take_peer_event(id, &decider, answering.get(), event);
    let peers = peer::start(options, clock, sink).wrap_err("cannot listen for other nodes")?;
    let _ = own.set(peers.handle());
    Ok(peers)
}

/// Answers an attempt that the decider's ring has no room for. It never ran and never will: its
/// frame goes no further, and a later question about it finds nothing and fences it.
fn refuse_for_room(id: NodeId, peers: Option<&PeerHandle>, path: ReturnPath, attempt: AttemptId) {
    let Some(peers) = peers else { return };
    let verdict = Verdict::not_run(RefusalReason::NodeFull, FULL_RETRY_MS);
    let answer = AnswerFrame { attempt, node: id, verdict, load: LoadReport::default() };
    // Without an answer the sender's deadline ends the attempt.
    let _ = peers.reply(path, &Message::Answer(answer));
}

/// Hands what happened on a connection to the decider.
fn take_peer_event(
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
            let taken = decider.offer(NodeEvent::PeerRequest { path, message });
            if let (Err(_), Some(attempt)) = (taken, attempt) {
                refuse_for_room(id, peers, path, attempt);
            }
        }
        PeerEvent::Reply { peer, message } => {
            decider.tell(NodeEvent::PeerReply { peer, message });
        }
        PeerEvent::Unsent { message, .. } => {
            decider.tell(NodeEvent::SendFailed { message });
        }
        PeerEvent::LinkLost { peer } => {
            decider.tell(NodeEvent::LinkLost { peer });
        }
        PeerEvent::LinkUp { peer } => {
            decider.tell(NodeEvent::LinkUp { peer });
        }
    }
}

/// Who the node is in this life.
fn identity(id: NodeId, clock: Clock, peers: &PeerTransport) -> NodeIdentity {
    NodeIdentity::builder()
        .id(id)
        .peer_address(peers.address())
        .seed(rand::rng().random())
        .origin_unix_ms(clock.unix_ms() - clock.now_us() / crate::clock::US_PER_MS)
        .build()
}

/// Starts the recording of what the node is told, where one is wanted.
fn start_recording(
    record: Option<&Path>,
    settings: &Settings,
    identity: &NodeIdentity,
    started_us: u64,
) -> eyre::Result<(Recorder, Option<RecorderDuty>)> {
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

/// Starts the threads that carry the node's actions out.
fn start_hands(
    settings: &Settings,
    clock: Clock,
    decider: &DeciderHandle,
    peers: &PeerTransport,
) -> eyre::Result<Hands> {
    let (target, target_rings) = target::rings(settings.node.ring_entries);
    target::start(target_rings, clock, decider.clone(), settings.node.body_max_bytes)?;
    let store = start_store(settings, decider)?;
    Ok(Hands { peers: peers.handle(), target, store })
}

/// Starts the thread that talks to the platform.
fn start_store(settings: &Settings, decider: &DeciderHandle) -> eyre::Result<StoreHandle> {
    let options = StoreOptions::builder()
        .table_url(settings.platform.table_url.clone())
        .timeout_ms(settings.platform.timeout_ms)
        .seed(rand::rng().random())
        .build();
    let decider = decider.clone();
    let (handle, _thread) = store::start(options, move |event| {
        decider.tell(NodeEvent::Store(event));
    })?;
    Ok(handle)
}

/// Starts the listeners for outside callers and for the target.
fn start_listeners(own: &NodeSettings, decider: &DeciderHandle) -> eyre::Result<Vec<WebServer>> {
    let bodies = BodyRoom::new(own.bodies_max_bytes);
    let sides = [
        (Side::Target, "target-http", own.target_listen),
        (Side::Caller, "http", own.caller_listen),
    ];
    let mut servers = Vec::new();
    for (side, name, address) in sides {
        let options = WebOptions::builder()
            .name(name)
            .address(address)
            .workers(own.http_workers)
            .body_max_bytes(own.body_max_bytes)
            .read_timeout_ms(own.request_read_ms)
            .build();
        let gate = Gate {
            side,
            decider: decider.clone(),
            body_max_bytes: own.body_max_bytes,
            request_read_ms: own.request_read_ms,
            bodies: bodies.clone(),
        };
        // The answers are the targets' own, so no header is added to them.
        let plain = Shield::new();
        let add = |rocket: Rocket<Build>| rocket.attach(plain).mount("/", gate.routes());
        servers.push(WebServer::start(&options, add)?);
    }
    Ok(servers)
}

/// Starts the thread that sends spans, where the settings name a collector.
fn start_traces(
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

/// Gives the last replies time to reach their receivers.
fn wait_for_replies(peers: &PeerTransport) {
    let until = Instant::now() + REPLIES_WAIT;
    while peers.unacknowledged_replies() > 0 && Instant::now() < until {
        std::thread::sleep(WATCH_EVERY);
    }
}

/// Starts the operators' listener.
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
        .requests(Arc::new(move |request| decider.ask(request)))
        .metrics(metrics)
        .events(events)
        .build();
    Ok(operator::start(options)?)
}

/// Waits until the decider has ended; a signal makes the node leave first.
fn wait_until_left(decider: &DeciderHandle, thread: &JoinHandle<()>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        while !thread.is_finished() {
            tokio::select! {
                _ = terminate.recv() => {
                    decider.tell(NodeEvent::Leave { asked_by: LeaveRequester::Signal });
                }
                _ = interrupt.recv() => {
                    decider.tell(NodeEvent::Leave { asked_by: LeaveRequester::Signal });
                }
                () = tokio::time::sleep(WATCH_EVERY) => {}
            }
        }
        Ok(())
    })
}
