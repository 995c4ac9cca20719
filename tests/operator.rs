//! The operators' listener: the key, the routes, a full ring, a silent node.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use aspenspring::clock::Clock;
use aspenspring::config::TelemetrySettings;
use aspenspring::duty::operator::{
    self, ConfigEntry, ConfigView, Health, LeaveReply, OperatorKey, OperatorOptions,
    OperatorRequest, SubmitReply,
};
use aspenspring::duty::web::WebServer;
use aspenspring::event::EventLog;
use aspenspring::logging::Logging;
use aspenspring::telemetry::metrics::Metrics;
use crossbeam_channel::{Receiver, bounded};
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};

const KEY: &str = "0perators-0wn-key";

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A listener, and the ring its requests arrive in.
struct Site {
    server: WebServer,
    address: SocketAddr,
    ring: Receiver<OperatorRequest>,
    logging: Logging,
    output: Output,
    client: Client,
}

fn start(key: Option<&str>, ring_entries: usize) -> Site {
    let output = Output::default();
    let settings = TelemetrySettings { log_level: "debug".to_owned(), ..Default::default() };
    let logging = Logging::start(&settings, output.clone()).unwrap();
    let (sender, ring) = bounded(ring_entries);
    let offer = move |request| {
        sender.try_send(request).map_err(crossbeam_channel::TrySendError::into_inner)
    };
    let options = OperatorOptions::builder()
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .maybe_key(key.and_then(OperatorKey::new))
        .key_variable("THE_VARIABLE")
        .requests(Arc::new(offer))
        .metrics(Metrics::new().unwrap())
        .events(EventLog::new(logging.logger.clone(), Clock::start()))
        .reply_timeout_ms(100)
        .submit_timeout_ms(100)
        .build();
    assert!(!format!("{options:?} {:?}", options.key).contains(KEY));
    let server = operator::start(options).unwrap();
    let address = server.address();
    let client = Client::builder().no_proxy().build().unwrap();
    Site { server, address, ring, logging, output, client }
}

/// What came back: status, entity tag and JSON body.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    etag: Option<String>,
    text: String,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}

impl Site {
    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let mut request = self.client.request(method, format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = request.body(body.to_owned()).send().await.unwrap();
        let status = answer.status();
        let etag = answer.headers().get("etag").map(|tag| tag.to_str().unwrap().to_owned());
        Answer { status, etag, text: answer.text().await.unwrap() }
    }

    async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, &[("authorization", &format!("Bearer {KEY}"))], "").await
    }

    async fn put_config(&self, tag: &str, body: &str) -> Answer {
        let bearer = format!("bearer {KEY}");
        let headers = [("authorization", bearer.as_str()), ("if-match", tag)];
        self.send(Method::PUT, "/config", &headers, body).await
    }

    /// Lets a thread reply to every request with `reply`.
    fn serve(&self, reply: impl Fn(OperatorRequest) + Send + 'static) {
        let ring = self.ring.clone();
        std::thread::spawn(move || {
            for request in ring {
                reply(request);
            }
        });
    }

    /// Stops the listener and returns everything that was logged.
    fn stop(self) -> String {
        self.server.stop().unwrap();
        drop(self.logging);
        String::from_utf8(self.output.0.lock().unwrap().clone()).unwrap()
    }
}

fn serve_all(request: OperatorRequest) {
    let entry = ConfigEntry { version: 4, by: "ana".to_owned(), at_unix_ms: 9 };
    match request {
        OperatorRequest::Health { reply } => {
            reply.send(Health { ready: true, leaving: false }).unwrap();
        }
        OperatorRequest::Status { reply } => reply.send(json!({ "limit": 12 })).unwrap(),
        OperatorRequest::Config { version, reply } => {
            let view = ConfigView {
                version: 5,
                by: None,
                at_unix_ms: None,
                document: json!({}),
                history: vec![entry],
            };
            reply.send(version.is_none_or(|version| version == 5).then_some(view)).unwrap();
        }
        OperatorRequest::Submit { submission, reply } => {
            let answer = match submission.expected_version {
                5 => SubmitReply::Accepted { version: 6 },
                4 => SubmitReply::Conflict { lost_to: Some(entry) },
                3 => SubmitReply::Invalid { problems: vec!["a".to_owned(), "b".to_owned()] },
                2 => SubmitReply::NotAccepted { cause: "the table service is away".to_owned() },
                _ => SubmitReply::Unknown { cause: "the answer was lost".to_owned() },
            };
            reply.send(answer).unwrap();
        }
        OperatorRequest::Leave { reply } => reply.send(LeaveReply { in_flight: 3 }).unwrap(),
    }
}

const GUARDED: [(Method, &str); 6] = [
    (Method::GET, "/metrics"),
    (Method::GET, "/status"),
    (Method::GET, "/config"),
    (Method::GET, "/config/5"),
    (Method::PUT, "/config"),
    (Method::POST, "/leave"),
];

#[tokio::test]
async fn whoever_lacks_the_key_is_refused() {
    let site = start(Some(KEY), 8);
    site.serve(serve_all);
    let longer = format!("Bearer {KEY}{KEY}");
    let shorter = format!("Bearer {}", &KEY[1..]);
    let other_scheme = format!("Basic {KEY}");
    for (method, path) in GUARDED {
        let none = site.send(method.clone(), path, &[], "{}").await;
        assert_eq!(none.status, StatusCode::UNAUTHORIZED, "{path}");
        for wrong in [longer.as_str(), &shorter, &other_scheme, "Bearer ", "Bearer"] {
            let headers = [("authorization", wrong), ("if-match", "\"5\"")];
            let refused = site.send(method.clone(), path, &headers, "{}").await;
            assert_eq!(refused.status, StatusCode::UNAUTHORIZED, "{path} {wrong}");
            assert_eq!(refused.json()["status"], 401);
        }
    }
    assert_eq!(site.send(Method::GET, "/health", &[], "").await.status, StatusCode::OK);
    let logged = site.stop();
    assert!(logged.contains("\"OperatorRefused\""), "{logged}");
}

#[tokio::test]
async fn without_a_key_only_health_is_answered() {
    let site = start(None, 8);
    site.serve(serve_all);
    for (method, path) in GUARDED {
        for bearer in ["Bearer ", "Bearer x"] {
            let headers = [("authorization", bearer), ("if-match", "\"5\"")];
            let refused = site.send(method.clone(), path, &headers, "{}").await;
            assert_eq!(refused.status, StatusCode::FORBIDDEN, "{path}");
        }
    }
    let health = site.send(Method::GET, "/health", &[], "").await;
    assert_eq!(health.json(), json!({ "ready": true, "leaving": false }));
    let logged = site.stop();
    assert!(logged.contains("THE_VARIABLE"), "{logged}");
}

#[tokio::test]
async fn the_routes_show_what_the_node_replies() {
    let site = start(Some(KEY), 8);
    site.serve(serve_all);
    assert_eq!(site.get("/status").await.json()["limit"], 12);
    let config = site.get("/config").await;
    assert_eq!(config.etag.as_deref(), Some("\"5\""));
    assert_eq!(config.json()["history"][0]["by"], "ana");
    assert_eq!(site.get("/config/5").await.status, StatusCode::OK);
    assert_eq!(site.get("/config/4").await.status, StatusCode::NOT_FOUND);
    let bearer = format!("Bearer {KEY}");
    let left = site.send(Method::POST, "/leave", &[("authorization", &bearer)], "").await;
    assert_eq!(left.json()["in_flight"], 3);
    assert!(site.get("/metrics").await.status.is_success());
    site.stop();
}

#[tokio::test]
async fn a_submission_is_answered_by_its_outcome() {
    let site = start(Some(KEY), 8);
    site.serve(serve_all);
    let accepted = site.put_config("\"5\"", "{}").await;
    assert_eq!((accepted.status.as_u16(), accepted.etag.as_deref()), (200, Some("\"6\"")));
    let lost = site.put_config("\"4\"", "{}").await;
    assert_eq!(lost.status, StatusCode::CONFLICT);
    assert_eq!(lost.json()["lost_to"]["version"], 4);
    let invalid = site.put_config("\"3\"", "{}").await;
    assert_eq!(invalid.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(invalid.json()["problems"], json!(["a", "b"]));
    let away = site.put_config("\"2\"", "{}").await;
    assert_eq!((away.status.as_u16(), &away.json()["outcome"]), (503, &json!("not_accepted")));
    let unknown = site.put_config("\"1\"", "{}").await;
    assert_eq!((unknown.status.as_u16(), &unknown.json()["outcome"]), (503, &json!("unknown")));
    assert_eq!(site.put_config("*", "{}").await.status, StatusCode::PRECONDITION_REQUIRED);
    assert_eq!(site.put_config("\"5\"", "[]").await.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(site.put_config("\"5\"", "{").await.status, StatusCode::UNPROCESSABLE_ENTITY);
    let long = format!("{{\"x\":\"{}\"}}", "x".repeat(1 << 20));
    assert_eq!(site.put_config("\"5\"", &long).await.status, StatusCode::PAYLOAD_TOO_LARGE);
    site.stop();
}

#[tokio::test]
async fn a_full_ring_and_a_silent_node_are_told_apart() {
    let site = start(Some(KEY), 1);
    // Nobody takes from the ring: the first submission stays in it, the second finds it full.
    let silent = site.put_config("\"5\"", "{}").await;
    assert_eq!((silent.status.as_u16(), &silent.json()["outcome"]), (503, &json!("unknown")));
    let full = site.put_config("\"5\"", "{}").await;
    assert_eq!((full.status.as_u16(), &full.json()["outcome"]), (503, &json!("not_accepted")));
    assert_eq!(site.get("/status").await.status, StatusCode::SERVICE_UNAVAILABLE);
    let health = site.send(Method::GET, "/health", &[], "").await;
    assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
    site.stop();
}

#[tokio::test]
async fn the_key_appears_in_no_output() {
    let site = start(Some(KEY), 8);
    site.serve(serve_all);
    let bearer = format!("Bearer {KEY}");
    let near = format!("Bearer {KEY}x");
    let mut seen = String::new();
    for authorization in [bearer.as_str(), &near] {
        for (method, path) in GUARDED.into_iter().chain([(Method::GET, "/none")]) {
            let headers = [("authorization", authorization), ("if-match", "\"3\"")];
            seen += &format!("{:?}", site.send(method, path, &headers, "{").await);
        }
    }
    seen += &site.stop();
    assert!(seen.contains("OperatorRefused"), "{seen}");
    assert!(!seen.contains(KEY), "{seen}");
}
