//! The callers' port, on a small fleet: what callers do wrong harms themselves alone.

mod bounds;
mod operators;
mod port;
