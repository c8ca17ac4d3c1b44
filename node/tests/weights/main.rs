//! Tests of the chunk store and of the origin budget through their public interfaces.

mod budget;
mod store;
