//! The coordinator's interface to the fleet: machines, their tasks, and the availability of each class.

use crate::budget::TaskClass;
use crate::instance_pool::InstancePool;
use crate::records::BudgetCharge;
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// The kind of a task, which determines how it is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// A replica of a service. It is restarted on another machine.
    Replica,
    /// A batch task that is independent of others and ends on its own.
    Batch {
        /// Whether the task saves checkpoints.
        checkpoints: bool,
    },
    /// A task of a gang. It can be evicted only together with the whole gang.
    Gang {
        /// Whether the gang saves checkpoints.
        checkpoints: bool,
        /// Number of tasks in the gang.
        size: u32,
    },
}

/// A task on a machine, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskView {
    /// The attempt that runs on the machine.
    pub attempt: AttemptId,
    /// Team and class of the task's job.
    pub class: TaskClass,
    /// Whether the task is a replica, a batch task or part of a gang.
    pub kind: TaskKind,
    /// Whether the leader has commanded the task to stop.
    pub stopping: bool,
    /// Whether `ClassAvailability::unavailable` already includes the task, so that its eviction does not use up any
    /// more of the budget.
    pub already_unavailable: bool,
    /// Predicted time until the task ends on its own; `None` for replicas.
    pub predicted_remaining: Option<Duration>,
}

/// A machine, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Machine type, zone and purchase model.
    pub pool: InstancePool,
    /// Time when the machine was provisioned.
    pub provisioned_at: WallClock,
    /// Whether the machine was reached within the time after which a heartbeat is overdue.
    pub reachable: bool,
    /// Whether the machine is about to be removed anyway: it is being released, or the cloud is reclaiming it.
    pub terminating: bool,
    /// The tasks on the machine.
    pub tasks: Vec<TaskView>,
}

/// Number of desired tasks of a class, and how many of them are unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassAvailability {
    /// Number of replicas, and of batch tasks that have not ended.
    pub desired: u32,
    /// Number of replicas that are not running, are being stopped or are unreachable, for any reason.
    pub unavailable: u32,
}

/// State of an attempt whose eviction was charged to the budgets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChargeState {
    /// The attempt is still on its machine and has not been commanded to stop.
    Pending {
        /// Class of the task.
        class: TaskClass,
        /// Whether `ClassAvailability::unavailable` already includes the task.
        already_unavailable: bool,
    },
    /// The attempt was commanded to stop or has ended, and no other attempt of the task is running yet.
    Disrupted {
        /// Class of the task.
        class: TaskClass,
        /// Whether `ClassAvailability::unavailable` already includes the task, as is the case for replicas.
        already_unavailable: bool,
    },
    /// Another attempt is running, or the task no longer needs to run. The charge no longer counts.
    Released,
}

/// Machines of a pool that are available or expected as replacements for others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplacementSupply {
    /// Number of machines that are up and usable.
    pub ready: u32,
    /// Number of machines that are still booting.
    pub booting: u32,
    /// Whether the cloud recently refused to provision machines in this pool.
    pub recently_refused: bool,
}

/// The fleet as the leader sees it at one point in time.
pub trait Fleet {
    /// Whether every machine that received commands from an earlier leader is fenced or gone. Until then, tasks may be
    /// missing from this view.
    fn is_complete(&self) -> bool;
    /// Returns a zone that is unreachable as a whole, or `None` if there is none.
    fn unreachable_zone(&self) -> Option<String>;
    /// Returns all machines that are up.
    fn machine_ids(&self) -> Vec<MachineId>;
    /// Whether a machine may still exist; false only once it is known to be gone.
    fn exists(&self, id: MachineId) -> bool;
    /// Returns a machine with its tasks, or `None` once it is known to be gone.
    fn machine(&self, id: MachineId) -> Option<MachineView>;
    /// Returns the number of desired and unavailable tasks of each class.
    fn availability(&self) -> BTreeMap<TaskClass, ClassAvailability>;
    /// Returns the state of the attempt, or of the gang, for which an eviction was charged.
    fn charge_state(&self, charge: &BudgetCharge) -> ChargeState;
    /// Returns the capacity for replicas on all machines except the excluded ones.
    fn spare_capacity<'a>(&'a self, excluded: &BTreeSet<MachineId>) -> Box<dyn SpareCapacity + 'a>;
    /// Counts the machines of a pool that were provisioned at or after `since`, except the excluded ones.
    fn replacement_supply(
        &self,
        pool: &InstancePool,
        since: WallClock,
        excluded: &BTreeSet<MachineId>,
    ) -> ReplacementSupply;
}

/// Spare capacity of the fleet. Reservations are kept for the lifetime of the value, so that no capacity is assigned
/// to two replicas.
pub trait SpareCapacity {
    /// Reserves capacity for these replicas of machine `from`. If not all of them fit, reserves nothing and returns
    /// false.
    fn reserve(&mut self, from: MachineId, tasks: &[AttemptId]) -> bool;
}
