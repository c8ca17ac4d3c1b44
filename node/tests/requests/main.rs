//! How requests travel between processes.

mod silence;
