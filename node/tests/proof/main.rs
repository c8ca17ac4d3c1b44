//! Hostile bytes against the adapters and readers of the node, from fixed seeds.

mod files;
mod hostile;
mod servers;
