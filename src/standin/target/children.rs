//! The calls a target makes to other services, by way of its own node.

use std::net::SocketAddr;

use reqwest::{Client, Method};

use super::call::Call;
use crate::standin::answer::Answer;

/// Header that ties a target's own calls to the call it is serving.
const CALL_HEADER: &str = "aspenspring-call";
/// Headers of the call that its own calls carry on.
const PASSED_ON: [&str; 2] = [CALL_HEADER, "content-type"];
/// The status of a target whose own call was refused or timed out.
const UNAVAILABLE: u16 = 503;
/// The status of a target whose own call got no usable answer.
const BAD_GATEWAY: u16 = 502;

/// The header in which a node says what became of a call.
const VERDICT_HEADER: &str = "aspenspring-verdict";

/// Why a call to another service gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ChildError {
    /// The status the target answers with.
    pub(super) status: u16,
    /// What the node said of the call: the status and the verdict.
    pub(super) told: String,
}

impl ChildError {
    /// A call without a usable answer.
    fn bad_gateway(told: impl Into<String>) -> Self {
        Self { status: BAD_GATEWAY, told: told.into() }
    }
}

/// Calls every service of `services`, all at once or one after the other, and stops at an error.
pub(super) async fn call_all(
    client: &Client,
    node: SocketAddr,
    services: &[String],
    parallel: bool,
    call: &Call,
) -> Result<Vec<Answer>, ChildError> {
    let mut answers = Vec::new();
    if !parallel {
        for service in services {
            answers.push(call_one(client, node, service, call).await?);
        }
        return Ok(answers);
    }
    let mut running = Vec::new();
    for service in services {
        let (client, service, call) = (client.clone(), service.clone(), call.clone());
        let child = async move { call_one(&client, node, &service, &call).await };
        running.push(AbortOnDrop(tokio::spawn(child)));
    }
    for child in &mut running {
        let joined = (&mut child.0).await;
        answers
            .push(joined.unwrap_or_else(|error| Err(ChildError::bad_gateway(error.to_string())))?);
    }
    Ok(answers)
}

/// A task that ends with the call it works for.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Calls one service with the request of the call that is being served.
async fn call_one(
    client: &Client,
    node: SocketAddr,
    service: &str,
    call: &Call,
) -> Result<Answer, ChildError> {
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| ChildError::bad_gateway(error.to_string()))?;
    let url = format!("http://{node}/{service}{}", call.path);
    let mut request = client.request(method, url).body(call.body.clone());
    for name in PASSED_ON {
        let Some(value) = call.header(name) else { continue };
        request = request.header(name, value);
    }
    let sent = request.send().await;
    let answer = sent.map_err(|error| ChildError::bad_gateway(error.to_string()))?;
    let status = answer.status().as_u16();
    let verdict = answer.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let told = format!("{status} {}", verdict.unwrap_or("without a verdict"));
    if matches!(status, 429 | 503 | 504) {
        return Err(ChildError { status: UNAVAILABLE, told });
    }
    if status != 200 {
        return Err(ChildError::bad_gateway(told));
    }
    let answer = answer.json::<Answer>().await;
    let answer = answer.map_err(|error| ChildError::bad_gateway(error.to_string()))?;
    if answer.service != service {
        return Err(ChildError::bad_gateway(format!("an answer of {:?}", answer.service)));
    }
    Ok(answer)
}
