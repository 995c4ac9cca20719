//! Callers that keep their connections for as long as the process at the other end lives.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::findings::{End, Findings, Key, Kind, Record};
use super::site::Site;
use super::targets::LONG;
use crate::node::CALLERS_PORT;

/// How long a connection may take to be established.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);
/// How long a caller waits for an answer. Longer than any route's time, so that late ones are seen.
const ANSWER_PATIENCE: Duration = Duration::from_secs(8);
/// The longest pause after a refusal.
const REFUSED_PAUSE_MAX: Duration = Duration::from_millis(300);

/// The share of requests whose callers leave before the answer.
const LEAVING_SHARE: f64 = 0.08;
/// How long such a caller waits at most, in milliseconds.
const LEAVING_AFTER_MS: u64 = 400;

/// How many requests stand behind the one that such a caller waits for, at most.
const BEHIND_MAX: u32 = 3;

/// An answer.
struct Answer {
    status: u16,
    attempt: String,
    signature: String,
    retry_after: Duration,
    closes: bool,
    body: String,
}

/// Calls one node after the other until the site stops.
pub fn call(site: &Site, seed: u64, caller: u64, findings: &Findings) {
    let mut rng = SmallRng::seed_from_u64(seed << 8 | caller);
    let mut sent = 0;
    while !site.is_stopped() {
        let member = rng.random_range(0..site.members.len());
        let address = SocketAddr::from((site.members[member].ip, CALLERS_PORT));
        let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_PATIENCE) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        stream.set_read_timeout(Some(ANSWER_PATIENCE)).unwrap();
        let mut reader = BufReader::new(stream);
        while !site.is_stopped() {
            let kind = if rng.random_bool(0.4) { Kind::Once } else { Kind::Repeatable };
            let attempt = format!("{caller:x}-{sent:x}");
            sent += 1;
            let asked = Instant::now();
            let key = key_of(site, caller, sent);
            if rng.random_bool(LEAVING_SHARE) {
                let mut attempts = Vec::new();
                for _ in 0..rng.random_range(1..=BEHIND_MAX + 1) {
                    attempts.push(format!("{LONG}{caller:x}-{sent:x}"));
                    sent += 1;
                }
                let wait = Duration::from_millis(rng.random_range(1..LEAVING_AFTER_MS));
                let ended = leave(reader, &attempts, key.text().as_deref(), wait);
                for attempt in attempts {
                    let (kind, end) = (Kind::Repeatable, End::Left);
                    findings.note(site, Record { attempt, kind, key, member, asked, ended, end });
                }
                break;
            }
            let answer = exchange(&mut reader, kind, &attempt, key.text().as_deref());
            let goes_on = answer.as_ref().is_some_and(|answer| !answer.closes);
            let pause = pause_after(answer.as_ref(), &mut rng);
            let end = answer.map_or(End::Cut, |answer| end_of(&answer));
            let ended = Instant::now();
            findings.note(site, Record { attempt, kind, key, member, asked, ended, end });
            thread::sleep(pause);
            if !goes_on {
                break;
            }
        }
    }
}

/// The key of a caller's next request: most have one that is always good.
fn key_of(site: &Site, caller: u64, sent: u64) -> Key {
    match caller % 8 {
        0 => Key::Limited,
        1 => Key::Rotated(site.newest()),
        // The key of the version before the newest; versions are three apart.
        2 => Key::Rotated(site.newest().saturating_sub(3)),
        3 if sent % 4 == 0 => Key::None,
        _ => Key::Steady,
    }
}

/// How long a caller waits before its next request: mostly not long, at times so long that its connection
/// is idle while a node is told to stop.
fn pause_after(answer: Option<&Answer>, rng: &mut SmallRng) -> Duration {
    let refused = answer.map_or(Duration::ZERO, |answer| answer.retry_after);
    let idle_ms = if rng.random_bool(0.05) { 2_000 } else { 60 };
    Duration::from_millis(rng.random_range(1..idle_ms)) + refused.min(REFUSED_PAUSE_MAX)
}

fn end_of(answer: &Answer) -> End {
    match answer.status {
        200 => End::Served {
            attempt: answer.attempt.clone(),
            signature: answer.signature.clone(),
            body: answer.body.clone(),
        },
        408 | 421 | 429 | 503 => End::NotRun(answer.status),
        status => End::Failed(status),
    }
}

/// Sends reads, one behind the other, and leaves after `wait`; gives when it closed.
fn leave(
    mut reader: BufReader<TcpStream>,
    attempts: &[String],
    key: Option<&str>,
    wait: Duration,
) -> Instant {
    for attempt in attempts {
        // Whoever cannot send has left all the same.
        drop(send(reader.get_mut(), Kind::Repeatable, attempt, key));
    }
    thread::sleep(wait);
    drop(reader);
    Instant::now()
}

fn exchange(
    reader: &mut BufReader<TcpStream>,
    kind: Kind,
    attempt: &str,
    key: Option<&str>,
) -> Option<Answer> {
    send(reader.get_mut(), kind, attempt, key).ok()?;
    read_answer(reader)
}

fn send(stream: &mut TcpStream, kind: Kind, attempt: &str, key: Option<&str>) -> io::Result<()> {
    let (method, path) = match kind {
        Kind::Once => ("POST", "book"),
        Kind::Repeatable => ("GET", "look"),
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
        retry_after: Duration::ZERO,
        closes: false,
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
            "retry-after" => answer.retry_after = Duration::from_secs_f64(value.parse().ok()?),
            "connection" => answer.closes = value.eq_ignore_ascii_case("close"),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    answer.body = String::from_utf8(body).ok()?;
    Some(answer)
}
