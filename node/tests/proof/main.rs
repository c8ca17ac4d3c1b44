//! Malformed input to the node's HTTP adapters and file parsers, from fixed seeds.

mod files;
mod hostile;
mod servers;
