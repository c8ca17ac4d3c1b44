//! Hostile bytes against every decoder of the core, from fixed seeds.

mod corpus;
mod decoders;
