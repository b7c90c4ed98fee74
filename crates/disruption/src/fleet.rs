//! What a drain has to know of the fleet, as the leader sees it.

use crate::budget::TaskClass;
use crate::records::Charge;
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Where and how a machine is rented.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstancePool {
    /// Machine type.
    #[serde(rename = "k")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "s")]
    pub spot: bool,
}

impl fmt::Display for InstancePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{} in zone {}, {kind}", self.kind, self.zone)
    }
}

/// What a task is, as far as stopping it matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// A replica of a service: it is moved.
    Replica,
    /// An independent task, which ends by itself.
    Batch {
        /// Whether it saves checkpoints.
        saves: bool,
    },
    /// A task of a gang, which ends with the whole gang.
    Gang {
        /// Whether the gang saves checkpoints.
        saves: bool,
        /// How many tasks the gang has.
        tasks: u32,
    },
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskView {
    /// The attempt.
    pub key: AttemptId,
    /// Team and class of its job.
    pub class: TaskClass,
    /// What it is.
    pub kind: TaskKind,
    /// Whether it was told to stop.
    pub stopping: bool,
    /// Whether `Demand::unavailable` counts it already, so that stopping it takes no more capacity.
    pub counted: bool,
    /// Predicted time until it ends by itself; none for replicas.
    pub ends_in: Option<Duration>,
}

/// A machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Where and how it is rented.
    pub place: InstancePool,
    /// When it was rented.
    pub rented_at: WallClock,
    /// Whether something of ours reached it lately.
    pub reachable: bool,
    /// Whether it goes anyhow: being returned, taken back, or out of order.
    pub leaving: bool,
    /// What is on it.
    pub tasks: Vec<TaskView>,
}

/// How much of a class is wanted and missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Replicas, and batch tasks that are not over.
    pub wanted: u32,
    /// Replicas that do not run, are told to stop, or are out of reach, for whatever reason.
    pub unavailable: u32,
}

/// What became of a charged attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChargeState {
    /// It is on its machine still and was not told to stop.
    Standing {
        /// Its class.
        class: TaskClass,
        /// Whether `Demand::unavailable` counts it already.
        counted: bool,
    },
    /// It was stopped, and no other attempt runs yet.
    Out {
        /// Its class.
        class: TaskClass,
        /// Whether `Demand::unavailable` counts it already, as it does with replicas.
        counted: bool,
    },
    /// Another attempt runs, or there is nothing to run any more.
    Returned,
}

/// Like machines that were rented lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Supply {
    /// Up and usable.
    pub up: u32,
    /// Still booting.
    pub booting: u32,
    /// Whether the cloud refused such machines lately.
    pub refused: bool,
}

/// The fleet as the leader sees it.
pub trait Fleet {
    /// Whether every machine that earlier leaders commanded is fenced or gone, so that nothing is missing from this view.
    fn settled(&self) -> bool;
    /// A zone that is out of reach as a whole.
    fn lost_zone(&self) -> Option<String>;
    /// All machines that are up.
    fn machine_ids(&self) -> Vec<MachineId>;
    /// Whether a machine is there still; false once it is surely gone.
    fn exists(&self, id: MachineId) -> bool;
    /// A machine with its tasks; none once it is surely gone.
    fn machine(&self, id: MachineId) -> Option<MachineView>;
    /// What is wanted and missing, by class.
    fn demand(&self) -> BTreeMap<TaskClass, Demand>;
    /// What became of a charged attempt.
    fn charge_state(&self, charge: &Charge) -> ChargeState;
    /// Free room for replicas, machines in `without` left out.
    fn rooms<'a>(&'a self, without: &BTreeSet<MachineId>) -> Box<dyn Rooms + 'a>;
    /// Machines of a place that were rented since, those in `without` left out.
    fn supply(&self, place: &InstancePool, since: WallClock, without: &BTreeSet<MachineId>) -> Supply;
}

/// Free room that is given away step by step.
pub trait Rooms {
    /// Takes room for these replicas of a machine; false, and nothing taken, if not all of them fit.
    fn take(&mut self, from: MachineId, tasks: &[AttemptId]) -> bool;
}
