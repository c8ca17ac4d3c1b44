//! What the experiments and the tests of whole runs share: a small fleet on stand-ins.

pub mod bookings;
pub mod fleet;
pub mod load;
