//! The fleet as drains see it: machines, their tasks, and how much of each class is available.

use crate::budget::TaskClass;
use crate::instance_pool::InstancePool;
use crate::records::BudgetCharge;
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// What kind of work a task is, as far as its eviction matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// A replica of a service: it is moved.
    Replica,
    /// An independent task, which ends by itself.
    Batch {
        /// Whether it saves checkpoints.
        checkpoints: bool,
    },
    /// A task of a gang, which ends with the whole gang.
    Gang {
        /// Whether the gang saves checkpoints.
        checkpoints: bool,
        /// How many tasks the gang has.
        size: u32,
    },
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskView {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team and class of its job.
    pub class: TaskClass,
    /// What it is.
    pub kind: TaskKind,
    /// Whether it was told to stop.
    pub stopping: bool,
    /// Whether `ClassAvailability::unavailable` counts it already, so that stopping it takes no more capacity.
    pub already_unavailable: bool,
    /// Predicted time until it ends by itself; none for replicas.
    pub predicted_remaining: Option<Duration>,
}

/// A machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Machine type, zone and purchase model.
    pub pool: InstancePool,
    /// When it was rented.
    pub provisioned_at: WallClock,
    /// Whether it was reached within the overdue time of a heartbeat.
    pub reachable: bool,
    /// Whether it leaves anyhow: it is being released, or the cloud reclaims it.
    pub terminating: bool,
    /// Tasks on it.
    pub tasks: Vec<TaskView>,
}

/// How many tasks of a class are desired, and how many of them are unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassAvailability {
    /// Replicas, and batch tasks that have not ended.
    pub desired: u32,
    /// Replicas that do not run, are told to stop, or are unreachable, for whatever reason.
    pub unavailable: u32,
}

/// What became of a charged attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChargeState {
    /// It is still on its machine and was not told to stop.
    Pending {
        /// Its class.
        class: TaskClass,
        /// Whether `ClassAvailability::unavailable` counts it already.
        already_unavailable: bool,
    },
    /// It was told to stop, and no other attempt runs yet.
    Disrupted {
        /// Its class.
        class: TaskClass,
        /// Whether `ClassAvailability::unavailable` counts it already, as it does with replicas.
        already_unavailable: bool,
    },
    /// Another attempt runs, or there is nothing to run any more: the charge no longer counts.
    Released,
}

/// Machines of a pool that were rented to replace others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplacementSupply {
    /// Up and usable.
    pub ready: u32,
    /// Still booting.
    pub booting: u32,
    /// Whether the cloud refused such machines lately.
    pub recently_refused: bool,
}

/// The fleet as the leader sees it.
pub trait Fleet {
    /// Whether every machine that earlier leaders commanded is fenced or gone, so that nothing is missing from this view.
    fn is_complete(&self) -> bool;
    /// A zone that is unreachable as a whole.
    fn unreachable_zone(&self) -> Option<String>;
    /// All machines that are up.
    fn machine_ids(&self) -> Vec<MachineId>;
    /// Whether a machine still exists; false only once it is surely gone.
    fn exists(&self, id: MachineId) -> bool;
    /// A machine with its tasks; none once it is surely gone.
    fn machine(&self, id: MachineId) -> Option<MachineView>;
    /// What is desired and unavailable, by class.
    fn availability(&self) -> BTreeMap<TaskClass, ClassAvailability>;
    /// What became of a charged attempt.
    fn charge_state(&self, charge: &BudgetCharge) -> ChargeState;
    /// Spare capacity for replicas, without the excluded machines.
    fn spare_capacity<'a>(&'a self, excluded: &BTreeSet<MachineId>) -> Box<dyn SpareCapacity + 'a>;
    /// Machines of a pool that were rented since, without the excluded ones.
    fn replacement_supply(
        &self,
        pool: &InstancePool,
        since: WallClock,
        excluded: &BTreeSet<MachineId>,
    ) -> ReplacementSupply;
}

/// Spare capacity that is reserved step by step, so that several replicas do not count on the same.
pub trait SpareCapacity {
    /// Reserves capacity for these replicas of a machine; false, and nothing reserved, if not all of them fit.
    fn reserve(&mut self, from: MachineId, tasks: &[AttemptId]) -> bool;
}
