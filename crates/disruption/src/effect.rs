//! What the leader carries out for the drains.

use crate::instance_pool::InstancePool;
use caperstile_types::{AttemptId, JobId, MachineId};

/// What is told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// One task.
    Task {
        /// Its machine.
        machine: MachineId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// All tasks of a gang.
    Gang(JobId),
}

/// What a reconciliation wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start no more tasks on this machine, and release it once it is empty.
    Cordon(MachineId),
    /// Start tasks on it again.
    Uncordon(MachineId),
    /// Evict a task, or a gang.
    Evict(Eviction),
    /// Rent machines of a pool.
    ScaleOut {
        /// Machine type, zone and purchase model.
        pool: InstancePool,
        /// How many.
        count: u32,
    },
}

/// A replica that has to leave its machine and has no other to move to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnplaceableReplica {
    /// The machine that is drained.
    pub machine: MachineId,
    /// The replica.
    pub attempt: AttemptId,
}
