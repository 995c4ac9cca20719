//! The names of the headers that a node reads and writes, as the platform's adapter gives them.

use http::HeaderName;

/// The headers by what they mean.
#[derive(Clone, Debug)]
pub struct Vocabulary {
    /// The id of one attempt of a caller; targets repeat it in their answers.
    pub attempt_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The incarnation of the target that may run the request; any other refuses it.
    pub expected_instance: HeaderName,
    /// The service of the target beside which the request began.
    pub calling_service: HeaderName,
    /// The API key of the caller's team.
    pub api_key: HeaderName,
    /// The team whose key let the request in.
    pub team: HeaderName,
    /// In an answer: the target did not run the request.
    pub not_run: HeaderName,
    /// In an answer: the incarnation of the target.
    pub instance_id: HeaderName,
    /// In an answer: what the target has to do.
    pub load: HeaderName,
    /// In an answer: the target's signature over it.
    pub signature: HeaderName,
}
