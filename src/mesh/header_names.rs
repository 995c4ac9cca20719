//! The names of the headers that a node reads and writes, as set by the platform adapter.

use http::HeaderName;

/// The names of headers by their meaning.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of one attempt of a caller; targets repeat it in their answers.
    pub attempt_id: HeaderName,
    /// The time left until the sender gives up, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The incarnation of the target that is to run the request; any other refuses it.
    pub expected_instance: HeaderName,
    /// The service of the target that made the request.
    pub calling_service: HeaderName,
    /// The API key of the caller's team.
    pub api_key: HeaderName,
    /// The team whose key admitted the request.
    pub team: HeaderName,
    /// In an answer: the target did not run the request.
    pub not_run: HeaderName,
    /// In an answer: the incarnation of the target.
    pub instance_id: HeaderName,
    /// In an answer: the load of the target.
    pub load: HeaderName,
    /// In an answer: the requests per second that the target accepts from all nodes together.
    pub limit: HeaderName,
    /// In an answer: the target is about to leave.
    pub leaving: HeaderName,
    /// In an answer: the target's signature of the answer.
    pub signature: HeaderName,
}
