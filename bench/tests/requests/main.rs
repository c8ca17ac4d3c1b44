//! Requests through real entries and agents on stand-ins that fail.

mod bookings;
mod fresh_entry;
mod late_answers;
mod model;
mod stop;
