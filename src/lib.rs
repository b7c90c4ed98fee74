//! caperstile: a cluster scheduler that plans by deadline and priority.
//!
//! The core of a node is a deterministic state machine ([`controller`]): it takes inputs with timestamps and returns
//! effects, such as requests, writes and responses. Only [`runtime`] uses sockets and clocks.
#![forbid(unsafe_code)]

pub use caperstile_types as types;

pub mod api;
pub mod arrivals;
pub mod cli;
pub mod cloud;
pub mod controller;
pub mod effects;
#[cfg(test)]
#[path = "../tests/support/fixture.rs"]
mod fixture;
pub mod gang;
pub mod job_spec;
pub mod jobs;
pub mod leader;
pub mod leadership;
mod operator;
pub mod peers;
pub mod plan;
pub mod runtime;
pub mod settings;
pub mod store;
pub mod upgrade;
pub mod wire;
pub mod workers;
pub mod write_ahead_log;
