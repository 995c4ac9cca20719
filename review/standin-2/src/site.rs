//! The configuration documents and the addresses of a small site.

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
}

/// A configuration; `more` are further resources, each with a comma in front.
pub fn document(version: u32, routes: &[Route<'_>], services: &[&str], more: &str) -> Vec<u8> {
    let mut resources = Vec::new();
    for Route { name, prefix, kind, service, timeout_ms } in routes {
        resources.push(format!(
            r#"{{"resourceKind":"routes","metadata":{{"name":"{name}"}},"specification":{{"host":"shop.test","prefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":1500,"priority":0,"service":"{service}","attempts":2}}}}"#
        ));
    }
    for service in services {
        resources.push(format!(
            r#"{{"resourceKind":"services","metadata":{{"name":"{service}"}},"specification":{{"healthPath":"/health","maxConnections":988,"protocol":"h1","tls":false}}}}"#
        ));
    }
    resources.push(
        r#"{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#.to_owned(),
    );
    format!("{{\"version\":\"r{version}\",\"resources\":[{}{more}]}}", resources.join(","))
        .into_bytes()
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
