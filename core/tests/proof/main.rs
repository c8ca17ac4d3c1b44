//! Hostile bytes against every decoder of the core, from fixed seeds.

mod claims;
mod corpus;
mod decoders;
