//! Property tests with fixed seeds: invalid input to every decoder, and the end of the claim protocol.

mod claims;
mod corpus;
mod decoders;
