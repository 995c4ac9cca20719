//! Tests the operator API: the key, the routes, a full ring buffer, a node that does not reply.

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
struct LogOutput(Arc<Mutex<Vec<u8>>>);

impl Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A running operator API and the ring buffer that receives its requests.
struct TestServer {
    server: WebServer,
    address: SocketAddr,
    ring: Receiver<OperatorRequest>,
    logging: Logging,
    output: LogOutput,
    client: Client,
}

fn start(key: Option<&str>, ring_entries: usize) -> TestServer {
    let output = LogOutput::default();
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
    TestServer { server, address, ring, logging, output, client }
}

/// A response: status, entity tag and JSON body.
#[derive(Debug)]
struct Response {
    status: StatusCode,
    etag: Option<String>,
    text: String,
}

impl Response {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}

impl TestServer {
    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let mut request = self.client.request(method, format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = request.body(body.to_owned()).send().await.unwrap();
        let status = answer.status();
        let etag = answer.headers().get("etag").map(|tag| tag.to_str().unwrap().to_owned());
        Response { status, etag, text: answer.text().await.unwrap() }
    }

    async fn get(&self, path: &str) -> Response {
        self.send(Method::GET, path, &[("authorization", &format!("Bearer {KEY}"))], "").await
    }

    async fn put_config(&self, tag: &str, body: &str) -> Response {
        let bearer = format!("bearer {KEY}");
        let headers = [("authorization", bearer.as_str()), ("if-match", tag)];
        self.send(Method::PUT, "/config", &headers, body).await
    }

    /// Starts a thread that passes every request to `reply`.
    fn serve(&self, reply: impl Fn(OperatorRequest) + Send + 'static) {
        let ring = self.ring.clone();
        std::thread::spawn(move || {
            for request in ring {
                reply(request);
            }
        });
    }

    /// Stops the server and returns everything that was logged.
    fn stop(self) -> String {
        self.server.stop().unwrap();
        drop(self.logging);
        String::from_utf8(self.output.0.lock().unwrap().clone()).unwrap()
    }
}

fn reply_to_all(request: OperatorRequest) {
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

const GUARDED_ROUTES: [(Method, &str); 6] = [
    (Method::GET, "/metrics"),
    (Method::GET, "/status"),
    (Method::GET, "/config"),
    (Method::GET, "/config/5"),
    (Method::PUT, "/config"),
    (Method::POST, "/leave"),
];

#[tokio::test]
async fn whoever_lacks_the_key_is_refused() {
    let server = start(Some(KEY), 8);
    server.serve(reply_to_all);
    let longer = format!("Bearer {KEY}{KEY}");
    let shorter = format!("Bearer {}", &KEY[1..]);
    let other_scheme = format!("Basic {KEY}");
    for (method, path) in GUARDED_ROUTES {
        let none = server.send(method.clone(), path, &[], "{}").await;
        assert_eq!(none.status, StatusCode::UNAUTHORIZED, "{path}");
        for wrong in [longer.as_str(), &shorter, &other_scheme, "Bearer ", "Bearer"] {
            let headers = [("authorization", wrong), ("if-match", "\"5\"")];
            let refused = server.send(method.clone(), path, &headers, "{}").await;
            assert_eq!(refused.status, StatusCode::UNAUTHORIZED, "{path} {wrong}");
            assert_eq!(refused.json()["status"], 401);
        }
    }
    assert_eq!(server.send(Method::GET, "/health", &[], "").await.status, StatusCode::OK);
    let logged = server.stop();
    assert!(logged.contains("\"OperatorRefused\""), "{logged}");
}

#[tokio::test]
async fn without_a_key_only_health_is_answered() {
    let server = start(None, 8);
    server.serve(reply_to_all);
    for (method, path) in GUARDED_ROUTES {
        for bearer in ["Bearer ", "Bearer x"] {
            let headers = [("authorization", bearer), ("if-match", "\"5\"")];
            let refused = server.send(method.clone(), path, &headers, "{}").await;
            assert_eq!(refused.status, StatusCode::FORBIDDEN, "{path}");
        }
    }
    let health = server.send(Method::GET, "/health", &[], "").await;
    assert_eq!(health.json(), json!({ "ready": true, "leaving": false }));
    let logged = server.stop();
    assert!(logged.contains("THE_VARIABLE"), "{logged}");
}

#[tokio::test]
async fn the_routes_show_what_the_node_replies() {
    let server = start(Some(KEY), 8);
    server.serve(reply_to_all);
    assert_eq!(server.get("/status").await.json()["limit"], 12);
    let config = server.get("/config").await;
    assert_eq!(config.etag.as_deref(), Some("\"5\""));
    assert_eq!(config.json()["history"][0]["by"], "ana");
    assert_eq!(server.get("/config/5").await.status, StatusCode::OK);
    assert_eq!(server.get("/config/4").await.status, StatusCode::NOT_FOUND);
    let bearer = format!("Bearer {KEY}");
    let leave = server.send(Method::POST, "/leave", &[("authorization", &bearer)], "").await;
    assert_eq!(leave.json()["in_flight"], 3);
    assert!(server.get("/metrics").await.status.is_success());
    server.stop();
}

#[tokio::test]
async fn a_submission_is_answered_by_its_outcome() {
    let server = start(Some(KEY), 8);
    server.serve(reply_to_all);
    let accepted = server.put_config("\"5\"", "{}").await;
    assert_eq!((accepted.status.as_u16(), accepted.etag.as_deref()), (200, Some("\"6\"")));
    let conflict = server.put_config("\"4\"", "{}").await;
    assert_eq!(conflict.status, StatusCode::CONFLICT);
    assert_eq!(conflict.json()["lost_to"]["version"], 4);
    let invalid = server.put_config("\"3\"", "{}").await;
    assert_eq!(invalid.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(invalid.json()["problems"], json!(["a", "b"]));
    let not_accepted = server.put_config("\"2\"", "{}").await;
    assert_eq!(
        (not_accepted.status.as_u16(), &not_accepted.json()["outcome"]),
        (503, &json!("not_accepted"))
    );
    let unknown = server.put_config("\"1\"", "{}").await;
    assert_eq!((unknown.status.as_u16(), &unknown.json()["outcome"]), (503, &json!("unknown")));
    assert_eq!(server.put_config("*", "{}").await.status, StatusCode::PRECONDITION_REQUIRED);
    assert_eq!(server.put_config("\"5\"", "[]").await.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(server.put_config("\"5\"", "{").await.status, StatusCode::UNPROCESSABLE_ENTITY);
    let long = format!("{{\"x\":\"{}\"}}", "x".repeat(1 << 20));
    assert_eq!(server.put_config("\"5\"", &long).await.status, StatusCode::PAYLOAD_TOO_LARGE);
    server.stop();
}

#[tokio::test]
async fn a_full_ring_and_a_silent_node_are_told_apart() {
    let server = start(Some(KEY), 1);
    // Nothing reads from the ring buffer: the first submission stays in it, the second finds it
    // full.
    let silent = server.put_config("\"5\"", "{}").await;
    assert_eq!((silent.status.as_u16(), &silent.json()["outcome"]), (503, &json!("unknown")));
    let full = server.put_config("\"5\"", "{}").await;
    assert_eq!((full.status.as_u16(), &full.json()["outcome"]), (503, &json!("not_accepted")));
    assert_eq!(server.get("/status").await.status, StatusCode::SERVICE_UNAVAILABLE);
    let health = server.send(Method::GET, "/health", &[], "").await;
    assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
    server.stop();
}

#[tokio::test]
async fn the_key_appears_in_no_output() {
    let server = start(Some(KEY), 8);
    server.serve(reply_to_all);
    let bearer = format!("Bearer {KEY}");
    let almost_right = format!("Bearer {KEY}x");
    let mut seen = String::new();
    for authorization in [bearer.as_str(), &almost_right] {
        for (method, path) in GUARDED_ROUTES.into_iter().chain([(Method::GET, "/none")]) {
            let headers = [("authorization", authorization), ("if-match", "\"3\"")];
            seen += &format!("{:?}", server.send(method, path, &headers, "{").await);
        }
    }
    seen += &server.stop();
    assert!(seen.contains("OperatorRefused"), "{seen}");
    assert!(!seen.contains(KEY), "{seen}");
}
