//! Actions that the leader executes for drains.

use crate::instance_pool::InstancePool;
use caperstile_types::{AttemptId, JobId, MachineId};

/// The task or gang to be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// A single task, replica or batch.
    Task {
        /// The machine that the task runs on.
        machine: MachineId,
        /// The attempt to be stopped.
        attempt: AttemptId,
    },
    /// All tasks of the gang of this job.
    Gang(JobId),
}

/// An action that a reconciliation requests from the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Cordon a machine: start no more tasks on it, and release it once it is empty. Requested again in each
    /// reconciliation.
    Cordon(MachineId),
    /// Uncordon a machine, so that tasks may be started on it again.
    Uncordon(MachineId),
    /// Evict a task or a gang. Its charge to the budgets is durable.
    Evict(Eviction),
    /// Provision machines in a pool.
    ScaleOut {
        /// Machine type, zone and purchase model.
        pool: InstancePool,
        /// Number of machines to provision.
        count: u32,
    },
}

/// A replica that is to be evicted, but for which no other machine has spare capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnplaceableReplica {
    /// The machine that is being drained or is to be drained.
    pub machine: MachineId,
    /// The attempt of the replica.
    pub attempt: AttemptId,
}
