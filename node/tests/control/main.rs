//! Tests of publishing configuration to a stand-in of the platform.

mod publish;
