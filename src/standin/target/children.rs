//! Child calls: the calls a target makes to other services through its node while serving a call.

use std::net::SocketAddr;

use reqwest::{Client, Method};

use super::call::Call;
use crate::standin::answer::Answer;

/// Header that links a child call to the call being served.
const CALL_ID_HEADER: &str = "aspenspring-call";
/// Headers copied from the call to its child calls.
const FORWARDED_HEADERS: [&str; 2] = [CALL_ID_HEADER, "content-type"];
/// Status returned when a child call was refused or timed out.
const UNAVAILABLE: u16 = 503;
/// Status returned when a child call got no usable answer.
const BAD_GATEWAY: u16 = 502;
/// Header in which the node reports whether the call ran.
const VERDICT_HEADER: &str = "aspenspring-verdict";

/// A child call that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ChildError {
    /// Status with which the target answers its own caller.
    pub(super) status: u16,
    /// The node's status and verdict, or a description of the failure.
    pub(super) detail: String,
}

impl ChildError {
    /// An error for a child call without a usable answer.
    fn bad_gateway(detail: impl Into<String>) -> Self {
        Self { status: BAD_GATEWAY, detail: detail.into() }
    }
}

/// Calls all `services`, concurrently or in sequence. Returns the first error in the order of
/// `services`, and then aborts the child calls that still run.
pub(super) async fn call_services(
    client: &Client,
    node: SocketAddr,
    services: &[String],
    parallel: bool,
    call: &Call,
) -> Result<Vec<Answer>, ChildError> {
    let mut answers = Vec::new();
    if !parallel {
        for service in services {
            answers.push(call_service(client, node, service, call).await?);
        }
        return Ok(answers);
    }
    let mut running = Vec::new();
    for service in services {
        let (client, service, call) = (client.clone(), service.clone(), call.clone());
        let child = async move { call_service(&client, node, &service, &call).await };
        running.push(AbortOnDrop(tokio::spawn(child)));
    }
    for child in &mut running {
        let joined = (&mut child.0).await;
        answers
            .push(joined.unwrap_or_else(|error| Err(ChildError::bad_gateway(error.to_string())))?);
    }
    Ok(answers)
}

/// Aborts its task when dropped, so that a child call does not outlive the call being served.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Calls one service with the method, path and body of the call being served.
async fn call_service(
    client: &Client,
    node: SocketAddr,
    service: &str,
    call: &Call,
) -> Result<Answer, ChildError> {
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| ChildError::bad_gateway(error.to_string()))?;
    let url = format!("http://{node}/{service}{}", call.path);
    let mut request = client.request(method, url).body(call.body.clone());
    for name in FORWARDED_HEADERS {
        let Some(value) = call.header(name) else { continue };
        request = request.header(name, value);
    }
    let sent = request.send().await;
    let answer = sent.map_err(|error| ChildError::bad_gateway(error.to_string()))?;
    let status = answer.status().as_u16();
    let verdict = answer.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let detail = format!("{status} {}", verdict.unwrap_or("without a verdict"));
    if matches!(status, 429 | 503 | 504) {
        return Err(ChildError { status: UNAVAILABLE, detail });
    }
    if status != 200 {
        return Err(ChildError::bad_gateway(detail));
    }
    let answer = answer.json::<Answer>().await;
    let answer = answer.map_err(|error| ChildError::bad_gateway(error.to_string()))?;
    if answer.service != service {
        return Err(ChildError::bad_gateway(format!("an answer of {:?}", answer.service)));
    }
    Ok(answer)
}
