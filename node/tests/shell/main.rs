//! The outer parts: settings, ports, TLS, the platform's adapter, and the programs themselves.

mod examples;
mod operator;
mod platform;
mod programs;
mod settings;
mod telemetry;
mod tls;
mod walkthrough;

/// Any free port on loopback.
const ANY: &str = "127.0.0.1:0";
