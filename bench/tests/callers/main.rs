//! Callers port and operators port of a small fleet. A misbehaving caller must not affect others.

mod bounds;
mod operators;
mod port;
