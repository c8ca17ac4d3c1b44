//! Requests through real entries and agents on stand-ins that fail.

mod bookings;
mod model;
