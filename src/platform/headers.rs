//! Names of the HTTP headers defined by the platform.

use http::HeaderName;

use crate::mesh::header_names::HeaderNames;

/// The header names by meaning.
pub fn header_names() -> HeaderNames {
    HeaderNames {
        attempt_id: HeaderName::from_static("attempt-id"),
        deadline_ms: HeaderName::from_static("deadline-milliseconds"),
        expected_instance: HeaderName::from_static("expected-instance"),
        calling_service: HeaderName::from_static("calling-service"),
        api_key: HeaderName::from_static("x-api-key"),
        team: HeaderName::from_static("tenant-name"),
        not_run: HeaderName::from_static("not-executed"),
        instance_id: HeaderName::from_static("instance-id"),
        load: HeaderName::from_static("instance-load"),
        limit: HeaderName::from_static("server-limit"),
        leaving: HeaderName::from_static("server-leaving"),
        signature: HeaderName::from_static("response-signature"),
    }
}
