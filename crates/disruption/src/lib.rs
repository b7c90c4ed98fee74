//! Drains machines step by step within disruption budgets. Implemented as a pure state machine.
//!
//! Operators request a drain by writing a key in the state service ([`record_keys`]). The leader passes its view of
//! the fleet ([`Fleet`]) to the [`Coordinator`] and executes the [`Effect`]s that the coordinator returns. All
//! voluntary evictions follow the same procedure: the eviction is charged to the budgets of the task's team and class
//! ([`Policy`]), the charge is written to the state service, and the task is stopped only after that write is durable.
//!
//! The crate performs no I/O and reads no clock. Decisions are deterministic: given the same records, fleet and time,
//! every leader makes the same ones.
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
