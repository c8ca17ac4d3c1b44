//! A small deployment: its configuration, and the settings of its processes. Figures are those of
//! the site `asltr-rota`.

use std::net::SocketAddr;

/// Host name in the requests of clients.
pub const HOST: &str = "site.example";
/// Name of the model.
pub const MODEL: &str = "m";
/// The only zone.
pub const ZONE: &str = "zone-a";
/// Service with model runners.
pub const WRITER: &str = "writer";
/// Service with plain runners.
pub const DESK: &str = "desk";
/// Kind of the records of runners.
pub const SERVERS: &str = "servers";

/// Layers and pieces of the model.
pub const LAYERS: u32 = 16;
pub const PIECES: usize = 64;
pub const PIECE_LEN: usize = 32_768;

/// Bounds of the deployment, in milliseconds.
pub const DRAIN_TIMEOUT_MS: u64 = 2_000;
pub const REVOKE_MS: u64 = 5_000;
pub const RECOVERY_MS: u64 = 12_000;
pub const CONTACT_MS: u64 = 3_000;

/// The configuration in `version`: a resumable streaming route, a non-idempotent one, and an
/// idempotent one without keys. `origin` is the address of the weights, if there are any.
pub fn configuration(version: u64, keys: &[&str], origin: Option<SocketAddr>) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, is_anonymous: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
             \"allow_anonymous\":{is_anonymous},\"stream_resume\":true,\"target_gap_ms\":300,\
             \"allowed_regions\":[]}}"
        )
    };
    let routes = [
        route("draft", "streaming", WRITER, 6_000, false),
        route("booking", "non_idempotent", DESK, 2_000, false),
        route("board", "idempotent", DESK, 2_000, true),
    ];
    let mut services = vec![format!(
        "{{\"name\":\"{DESK}\",\"health_check_path\":\"/health\",\"max_connections\":110,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
    )];
    if let Some(origin) = origin {
        services.push(format!(
            "{{\"name\":\"{WRITER}\",\"health_check_path\":\"/health\",\"max_connections\":434,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":16,\
             \"layers\":{LAYERS},\"chunks\":{PIECES},\"chunk_bytes\":{PIECE_LEN},\
             \"models\":[{{\"name\":\"{MODEL}\",\"warmup_s\":0.3}}]}}}}"
        ));
        services.push(format!(
            "{{\"name\":\"weights\",\"origin\":\"{origin}\",\"zone\":\"{ZONE}\",\
             \"link_mbps\":9.9,\"max_connections\":48}}"
        ));
    }
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"crews\",\"api_keys\":[{}],\"priority\":1,\
         \"allowed_regions\":[]}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

/// The settings of a process, as the template of the deploy file renders them.
pub fn settings(host: &str, ip: &str, store: SocketAddr, seeds: &[String], role: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "host = \"{host}\"\nip = \"{ip}\"\nzone = \"{ZONE}\"\nstore = \"{store}\"\n\
         seeds = [{}]\nagent_port = {AGENT_PORT}\nmetrics_port = {METRICS_PORT}\n{role}\n\
         [regions]\n\"{ZONE}\" = \"region-a\"\n\n\
         [bounds]\nkey_revocation_ms = {REVOKE_MS}\nweights_ms = 8000\n\
         leave_ms = {DRAIN_TIMEOUT_MS}\nstop_s = 8\nrepeat_ratio = 0.2\nrepeat_slack = 104\n\
         repeat_window_s = 10\n\n[limits]\ndescriptors = 4100\nmemory_mb = {MEMORY_MB}\n",
        seeds.join(",")
    )
}

/// Memory of an entry's process.
pub const MEMORY_MB: u64 = 260;

/// Ports of the processes, each of which has an address of its own.
pub const AGENT_PORT: u16 = 7_700;
pub const METRICS_PORT: u16 = 7_715;
pub const FRONT_PORT: u16 = 8_005;
pub const READY_PORT: u16 = 8_002;
