//! Names of the HTTP headers that the node reads and writes, in lower case.

/// The verdict of an answer.
pub const VERDICT: &str = "aspenspring-verdict";
/// Identifies the call that a target is running; the target copies it to its own calls.
pub const CALL: &str = "aspenspring-call";
/// The time a request has left, in milliseconds.
pub const DEADLINE_MS: &str = "aspenspring-deadline-ms";
/// The class of a request.
pub const CLASS: &str = "aspenspring-class";
/// The policy arm of a request.
pub const ARM: &str = "aspenspring-arm";
/// The root request an answer belongs to.
pub const ROOT: &str = "aspenspring-root";
/// How many attempts were made for an answer.
pub const ATTEMPTS: &str = "aspenspring-attempts";
/// The key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// How long to wait before another request, in whole seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// The prefix of all headers specific to the mesh.
pub const INTERNAL_PREFIX: &str = "aspenspring-";
