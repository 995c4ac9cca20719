//! A stand-in for a backend: check-ins, runs, rejections, and the faults that the pages name.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::site::{Machine, Random, Record};

/// What is wrong with a backend.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// The share of requests that it rejects with 503 and `Not-Executed`.
    pub shed: f64,
    /// The share of its answers after which it sends a second copy, in front of the next answer on
    /// the same connection.
    pub extra_late: f64,
}

/// An event at a backend.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub attempt: String,
    pub what: What,
    pub calling_service: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Began,
    Ended,
    Dropped,
    Rejected,
}

pub struct Backend {
    pub machine: Machine,
    pub service: String,
    pub id: String,
    pub faults: Mutex<Faults>,
    pub events: Mutex<Vec<Event>>,
    /// How long a run takes, in milliseconds.
    pub work_ms: (u64, u64),
    /// The length of the body of an answer.
    pub answer_bytes: usize,
    pub extras: AtomicU64,
    pub answers: AtomicU64,
    ended: AtomicBool,
    is_silent: AtomicBool,
    tells_load: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Backend {
    pub fn new(
        record: &Record,
        machine: Machine,
        service: &str,
        id: &str,
        work_ms: (u64, u64),
        answer_bytes: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            machine,
            service: service.to_owned(),
            id: id.to_owned(),
            faults: Mutex::default(),
            events: Mutex::default(),
            work_ms,
            answer_bytes,
            extras: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            tells_load: AtomicBool::new(false),
            connections: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Serves requests until the backend is ended.
    pub fn serve(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.machine.application()).unwrap();
        let backend = Arc::clone(self);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if backend.ended.load(Ordering::SeqCst) {
                    return;
                }
                let backend = Arc::clone(&backend);
                thread::spawn(move || backend.serve_connection(stream, number as u64));
            }
        });
    }

    /// Checks in every 1.5 s, as `ready`.
    pub fn check_in(self: &Arc<Self>, zone: &str, slots: u32) {
        let (backend, zone) = (Arc::clone(self), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1.. {
                if backend.ended.load(Ordering::SeqCst) || backend.is_silent.load(Ordering::SeqCst)
                {
                    return;
                }
                let request = backend.check_in_request(&zone, slots, sequence);
                let answer =
                    http::call(backend.machine.control(), &request, Duration::from_secs(1));
                let status = answer.map_or(0, |answer| answer.status());
                if sequence <= 2 || status != 200 {
                    backend.record.line(format!(
                        "backend {} ({}): check-in {sequence} as ready: {status}",
                        backend.id, backend.service
                    ));
                }
                let pause = if status == 200 { 1_500 } else { 300 };
                thread::sleep(Duration::from_millis(pause));
            }
        });
    }

    /// The check-in of this backend, as bytes.
    pub fn check_in_request(&self, zone: &str, slots: u32, sequence: u64) -> Vec<u8> {
        let body = format!(
            "{{\"address\":\"{}\",\"information\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":{sequence},\"coldRemainingMs\":0}}}}",
            self.machine.application(),
            self.service
        );
        let path = format!("/aspenspring/Instances.Heartbeat/{}", self.id);
        let host = self.machine.control().to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        http::request("POST", &path, &headers, body.as_bytes())
    }

    /// Ends the backend: it takes no more connections and says nothing more.
    pub fn end(&self) {
        if !self.ended.swap(true, Ordering::SeqCst) {
            drop(TcpStream::connect::<SocketAddr>(self.machine.application()));
        }
    }

    /// Adds the load to all answers, with the usual pace of work as its fourth figure.
    pub fn tell_load(&self) {
        self.tells_load.store(true, Ordering::SeqCst);
    }

    /// Sends no more check-ins; the backend serves on.
    pub fn fall_silent(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Ends the backend with all its connections. Returns the number of requests at work.
    pub fn exit(&self) -> usize {
        let at_work = self.at_work();
        self.record.line(format!("backend {} exits; {at_work} requests are at work", self.id));
        self.end();
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        at_work
    }

    /// The number of requests at work.
    fn at_work(&self) -> usize {
        let events = self.events.lock().unwrap();
        let count = |what: What| events.iter().filter(|event| event.what == what).count();
        count(What::Began).saturating_sub(count(What::Ended) + count(What::Dropped))
    }

    fn note(&self, attempt: &str, what: What, calling_service: &str) {
        self.record.line(format!(
            "backend {} ({}): {attempt} {what:?}, Calling-Service {calling_service:?}",
            self.id, self.service
        ));
        self.events.lock().unwrap().push(Event {
            at: Instant::now(),
            attempt: attempt.to_owned(),
            what,
            calling_service: calling_service.to_owned(),
        });
    }

    fn serve_connection(&self, stream: TcpStream, number: u64) {
        stream.set_nodelay(true).ok();
        let mut random = Random::fresh(number);
        let mut writer = stream.try_clone().unwrap();
        let watch = stream.try_clone().unwrap();
        self.connections.lock().unwrap().push(stream.try_clone().unwrap());
        let mut reader = BufReader::new(stream);
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let Some(answer) = self.answer(&request, &watch, &mut random) else { return };
            let mut bytes = late.take().unwrap_or_default();
            bytes.extend_from_slice(&answer);
            if writer.write_all(&bytes).is_err() {
                return;
            }
            self.answers.fetch_add(1, Ordering::Relaxed);
            if random.share() < self.faults.lock().unwrap().extra_late {
                self.extras.fetch_add(1, Ordering::Relaxed);
                self.record.line(format!(
                    "backend {} ({}): will send its answer to {} once more, late",
                    self.id,
                    self.service,
                    request.header("attempt-id").unwrap_or("")
                ));
                late = Some(answer);
            }
        }
    }

    /// The answer to a request; none if its connection was closed during the run.
    fn answer(&self, request: &Message, watch: &TcpStream, random: &mut Random) -> Option<Vec<u8>> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let calling = request.header("calling-service").unwrap_or("").to_owned();
        let id = &self.id;
        let load = match self.tells_load.load(Ordering::SeqCst) {
            true => format!("Instance-Load: {},0,230,100\r\n", self.at_work()),
            false => String::new(),
        };
        if request.header("expected-instance").is_some_and(|expected| expected != id) {
            self.record.line(format!("backend {id} ({}): {attempt} is for another", self.service));
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return Some(head.into_bytes());
        }
        if random.share() < self.faults.lock().unwrap().shed {
            self.note(&attempt, What::Rejected, &calling);
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n{load}\
                 Content-Length: 0\r\n\r\n"
            );
            return Some(head.into_bytes());
        }
        self.note(&attempt, What::Began, &calling);
        let (least, most) = self.work_ms;
        let work = Duration::from_millis(least + random.next() % (most - least + 1));
        if !work_while_open(watch, work) {
            self.note(&attempt, What::Dropped, &calling);
            return None;
        }
        self.note(&attempt, What::Ended, &calling);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}.{attempt}\r\n{load}\
             Content-Length: {}\r\n\r\n",
            self.answer_bytes
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + self.answer_bytes, b'x');
        Some(bytes)
    }
}

/// Works for `time`; returns false at once if the connection is closed meanwhile.
fn work_while_open(watch: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            watch.set_read_timeout(None).ok();
            return true;
        }
        watch.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok();
        let mut byte = [0; 1];
        match watch.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => {
                // The next request is there already; it waits its turn.
                thread::sleep(left);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
}
