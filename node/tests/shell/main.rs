//! Tests of settings, ports, TLS, the platform adapter and the programs.

mod examples;
mod operator;
mod platform;
mod programs;
mod settings;
mod telemetry;
mod tls;
mod walkthrough;

/// Binds a free port on loopback.
const ANY: &str = "127.0.0.1:0";
