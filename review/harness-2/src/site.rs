//! Configurations as the operator writes them.

use crate::client::HOST;

/// A route.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub allow_anonymous: bool,
}

/// A configuration of the service `desk` in which `/NAME/` selects the route NAME.
pub fn configuration(version: u64, routes: &[Route<'_>], keys: &[&str]) -> String {
    let route = |route: &Route<'_>| {
        let Route { name, kind, timeout_ms, target_ms, allow_anonymous } = route;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\
             \"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\
             \"allow_anonymous\":{allow_anonymous},\"session_affinity\":false,\
             \"stream_resume\":false,\"target_gap_ms\":0,\"allowed_regions\":[]}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[{}],\"priority\":1,\
         \"allowed_regions\":[]}}]}}",
        routes.join(","),
        keys.join(",")
    )
}
