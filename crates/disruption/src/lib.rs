//! Disruption budgets and stepwise drains, as a pure state machine.
//!
//! Operators request drains by keys of the state service ([`record_keys`]). The leading controller shows the [`Coordinator`] the
//! fleet ([`Fleet`]) and carries its [`Effect`]s out. Every voluntary eviction passes one check: it is charged to the budgets of its
//! team and class ([`Policy`]), the charge is made durable, and only then the task is told to stop.
//!
//! There is no I/O and no clock here. Given the same records, facts and time, every leader decides the same.
#![forbid(unsafe_code)]

mod acceptance;
pub mod allowance;
pub mod budget;
mod candidates;
mod coordinator;
mod drain;
mod effect;
pub mod eviction_load;
pub mod fleet;
pub mod instance_pool;
pub mod policy_parser;
pub mod record_keys;
pub mod record_store;
pub mod records;
pub mod selection;
pub mod window;

pub use budget::{Budget, Limit, Policy, Scope, TaskClass};
pub use coordinator::{Coordinator, StoreLimits};
pub use effect::{Effect, Eviction, UnplaceableReplica};
pub use eviction_load::EvictionLoad;
pub use fleet::{
    ChargeState, ClassAvailability, Fleet, MachineView, ReplacementSupply, SpareCapacity, TaskKind, TaskView,
};
pub use instance_pool::InstancePool;
pub use policy_parser::{PolicyError, Section};
