//! caperstile: a cluster scheduler that plans by deadline and priority.
//!
//! Inside a process the core is a state machine ([`controller`]): timed inputs go in, and what to
//! send, write and answer comes out. Only [`runtime`] has sockets and clocks.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use caperstile_units as units;

pub mod arrivals;
pub mod cli;
pub mod controller;
mod drains;
mod failure_detection;
#[cfg(test)]
#[path = "../tests/support/fixture.rs"]
mod fixture;
pub mod gang;
pub mod intake;
pub mod inventory;
pub mod leadership;
mod operator;
pub mod peers;
pub mod plan;
mod provisioning;
pub mod records;
pub mod runtime;
mod scheduling;
pub mod settings;
pub mod store;
pub mod term;
pub mod upgrade;
pub mod wire;
pub mod workers;
