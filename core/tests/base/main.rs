//! Tests of the base types.

mod arena;
mod code;
mod ids;
mod manifest;
mod time;
mod wire;
