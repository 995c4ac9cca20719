//! Simulated callers with persistent connections.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::findings::{Findings, Key, Outcome, Record, RequestKind};
use super::site::Site;
use super::targets::SLOW_PREFIX;
use crate::node::CALLERS_PORT;

/// The timeout of connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a caller waits for an answer. Longer than the timeout of any route, so that late answers are detected.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The upper bound of the pause after a refusal, whatever `retry-after` says.
const REFUSED_PAUSE_MAX: Duration = Duration::from_millis(300);

/// The share of requests whose callers close the connection before the answer.
const ABANDON_SHARE: f64 = 0.08;
/// The longest wait of such a caller before it closes the connection.
const ABANDON_AFTER_MAX_MS: u64 = 400;

/// The most requests that such a caller pipelines behind the first.
const PIPELINED_MAX: u32 = 3;

/// An answer as received by a caller.
struct Answer {
    status: u16,
    attempt: String,
    signature: String,
    /// The header lines that state a limit or leaving.
    signals: String,
    retry_after: Duration,
    closes_connection: bool,
    body: String,
}

/// Sends requests to randomly chosen nodes until the site stops.
pub fn run_caller(site: &Site, seed: u64, caller: u64, findings: &Findings) {
    let mut rng = SmallRng::seed_from_u64(seed << 8 | caller);
    let mut sent_count = 0;
    while !site.is_stopped() {
        let member = rng.random_range(0..site.members.len());
        let address = SocketAddr::from((site.members[member].ip, CALLERS_PORT));
        let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let mut reader = BufReader::new(stream);
        while !site.is_stopped() {
            let kind = if rng.random_bool(0.4) {
                RequestKind::AtMostOnce
            } else {
                RequestKind::Idempotent
            };
            let attempt = format!("{caller:x}-{sent_count:x}");
            sent_count += 1;
            let sent_at = Instant::now();
            let key = key_of(site, caller, sent_count);
            if rng.random_bool(ABANDON_SHARE) {
                let mut attempts = Vec::new();
                for _ in 0..rng.random_range(1..=PIPELINED_MAX + 1) {
                    attempts.push(format!("{SLOW_PREFIX}{caller:x}-{sent_count:x}"));
                    sent_count += 1;
                }
                let wait = Duration::from_millis(rng.random_range(1..ABANDON_AFTER_MAX_MS));
                let ended_at =
                    send_and_abandon(reader, &attempts, key.header_value().as_deref(), wait);
                for attempt in attempts {
                    let (kind, outcome) = (RequestKind::Idempotent, Outcome::CallerLeft);
                    findings.record_request(
                        site,
                        Record { attempt, kind, key, member, sent_at, ended_at, outcome },
                    );
                }
                break;
            }
            let answer = exchange(&mut reader, kind, &attempt, key.header_value().as_deref());
            let keeps_connection = answer.as_ref().is_some_and(|answer| !answer.closes_connection);
            let pause = pause_after(answer.as_ref(), &mut rng);
            let outcome = answer.map_or(Outcome::ConnectionLost, |answer| outcome_of(&answer));
            let ended_at = Instant::now();
            findings.record_request(
                site,
                Record { attempt, kind, key, member, sent_at, ended_at, outcome },
            );
            thread::sleep(pause);
            if !keeps_connection {
                break;
            }
        }
    }
}

/// The key of a caller's next request; most callers use one that is always valid.
fn key_of(site: &Site, caller: u64, sent_count: u64) -> Key {
    match caller % 8 {
        0 => Key::Limited,
        1 => Key::Rotated(site.newest_version()),
        // The key of the previous version; version numbers increase by three.
        2 => Key::Rotated(site.newest_version().saturating_sub(3)),
        3 if sent_count % 4 == 0 => Key::None,
        _ => Key::Permanent,
    }
}

/// The pause before a caller's next request. Usually short; sometimes so long that the connection is idle when the node
/// begins to stop.
fn pause_after(answer: Option<&Answer>, rng: &mut SmallRng) -> Duration {
    let refused = answer.map_or(Duration::ZERO, |answer| answer.retry_after);
    let idle_ms = if rng.random_bool(0.05) { 2_000 } else { 60 };
    Duration::from_millis(rng.random_range(1..idle_ms)) + refused.min(REFUSED_PAUSE_MAX)
}

fn outcome_of(answer: &Answer) -> Outcome {
    match answer.status {
        200 => Outcome::Served {
            attempt: answer.attempt.clone(),
            signature: answer.signature.clone(),
            signals: answer.signals.clone(),
            body: answer.body.clone(),
        },
        408 | 421 | 429 | 503 => Outcome::NotRun(answer.status),
        status => Outcome::Failed(status),
    }
}

/// Sends pipelined reads and closes the connection after `wait`. Returns when it was closed.
fn send_and_abandon(
    mut reader: BufReader<TcpStream>,
    attempts: &[String],
    key: Option<&str>,
    wait: Duration,
) -> Instant {
    for attempt in attempts {
        // The caller has left even if sending fails.
        drop(send(reader.get_mut(), RequestKind::Idempotent, attempt, key));
    }
    thread::sleep(wait);
    drop(reader);
    Instant::now()
}

fn exchange(
    reader: &mut BufReader<TcpStream>,
    kind: RequestKind,
    attempt: &str,
    key: Option<&str>,
) -> Option<Answer> {
    send(reader.get_mut(), kind, attempt, key).ok()?;
    read_answer(reader)
}

fn send(
    stream: &mut TcpStream,
    kind: RequestKind,
    attempt: &str,
    key: Option<&str>,
) -> io::Result<()> {
    let (method, path) = match kind {
        RequestKind::AtMostOnce => ("POST", "book"),
        RequestKind::Idempotent => ("GET", "look"),
    };
    let key = key.map_or_else(String::new, |key| format!("X-Api-Key: {key}\r\n"));
    let request = format!(
        "{method} /{path}/{attempt} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Milliseconds: 3000\r\n{key}Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        attempt: String::new(),
        signature: String::new(),
        signals: String::new(),
        retry_after: Duration::ZERO,
        closes_connection: false,
        body: String::new(),
    };
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "attempt-id" => value.clone_into(&mut answer.attempt),
            "response-signature" => value.clone_into(&mut answer.signature),
            "server-limit" | "server-leaving" => answer.signals += &line.to_ascii_lowercase(),
            "retry-after" => answer.retry_after = Duration::from_secs_f64(value.parse().ok()?),
            "connection" => answer.closes_connection = value.eq_ignore_ascii_case("close"),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    answer.body = String::from_utf8(body).ok()?;
    Some(answer)
}
