//! The programs on the direct path as processes of their own, against stand-ins of the platform.

mod entry;
mod explain;
mod feed;
mod fixture;
mod keeper;
mod knowledge;
mod link;
mod outcomes;
mod peers;
mod stops;
