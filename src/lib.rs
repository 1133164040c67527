//! A scheduler for colocated latency-critical and batch work.
//!
//! This crate re-exports the parts that a program embedding fescuelead needs: the pure [engines](core) and the
//! [interfaces to the platform](platform).

pub use fescuelead_core as core;
pub use fescuelead_platform as platform;
