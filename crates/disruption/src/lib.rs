//! Disruption budgets and stepwise drains, as a pure state machine.
//!
//! Operators ask for drains by keys of the state service ([`records`]). The leading controller feeds the [`Coordinator`] with what
//! it knows of the fleet ([`Fleet`]) and carries its [`Effect`]s out. Every voluntary stop passes one gate: it is charged to the
//! budgets of its team and class ([`Policy`]), the charge is made durable, and only then the task is told to stop.
//!
//! There is no I/O and no clock here. Given the same records, facts and time, every leader decides the same.
#![forbid(unsafe_code)]

pub mod allowance;
pub mod budget;
mod candidates;
pub mod choose;
mod coordinator;
mod drain;
pub mod fleet;
pub mod policy;
pub mod records;
pub mod store;
pub mod window;

pub use budget::{Budget, Limit, Policy, Scope, TaskClass};
pub use coordinator::{Coordinator, Effect, Stop};
pub use fleet::{ChargeState, Demand, Fleet, InstancePool, MachineView, Rooms, Supply, TaskKind, TaskView};
pub use policy::{PolicyError, Section};
