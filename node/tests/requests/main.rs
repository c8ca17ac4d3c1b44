//! Tests of requests between processes.

mod connection_loss;
