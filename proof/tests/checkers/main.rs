//! Each checker must be able to fail: a sound history passes, and a history broken in one place is
//! caught by the checker of that promise.

mod forge;
mod forged;
mod linear;
