//! Tests of requests through entries and agents while the stand-ins fail.

mod bookings;
mod fresh_entry;
mod late_answers;
mod model;
mod stop;
