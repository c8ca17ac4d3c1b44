//! The chunk store and the origin budget on their interfaces.

mod budget;
mod store;
