//! The plan: which task is to run on which machine, and in what order.
//!
//! Algorithm 3 of the paper (deadline scheduling with priority) and Algorithm 2's CorrecFAST; docs/design.md
//! lists what differs from the paper, and why. Pure and deterministic: no clock, no I/O, no randomness.
//! Every machine has a queue in order of priority. Like tasks of one job are one entry with a count, so that
//! a controller with a tenth of a core can plan bursts.

mod correction;
mod gangs;
mod machines;
mod model;
mod placement;
mod queues;
mod resubmission;
mod simulation;
mod stealing;

pub use correction::Correction;
pub use model::{
    ImageIndex, JobDirectory, JobProfile, PlacementBias, PlannedMachine, PredictedDurations, QueueEntry, QueuePriority,
    ResourceRelease, ZoneAllowance,
};
pub use queues::{PlannedJob, PlannedTasks};

use crate::types::{Duration, JobId, MachineId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tasks that one machine's queue holds at the most; what lies further off stays unplanned.
pub const MAX_QUEUED_TASKS: u32 = 64;

/// Differences of predicted ends of services and gangs below this do not decide between machines. It is finer
/// than that of other tasks, since a cached image is certain.
const SERVICE_FINISH_GRANULARITY: Duration = Duration::from_millis(200);
/// The same for other tasks: predictions are less exact than that.
const TASK_FINISH_GRANULARITY: Duration = Duration::from_millis(2000);

/// How many of the best priorities may preempt tasks of lower ones: 0 up to this, without it.
pub const PREEMPTING_PRIORITIES: usize = 3;

/// What preempting lower tasks costs a service or gang; more than `SERVICE_FINISH_GRANULARITY`, so that free
/// room is preferred.
const PREEMPTION_PENALTY: Duration = Duration::from_millis(400);

/// Which parts of the design are in force; all of them but for ablations.
#[derive(Debug, Clone, Copy)]
pub struct PlanFeatures {
    /// Prefer machines where fewer tasks are fallbacked (the paper's word: pushed past their deadline).
    pub minimize_newly_late: bool,
    /// Submit fallbacked tasks again.
    pub resubmission: bool,
}

impl Default for PlanFeatures {
    fn default() -> Self {
        PlanFeatures { minimize_newly_late: true, resubmission: true }
    }
}

/// When a queued task is predicted to start.
#[derive(Debug, Clone, Copy)]
pub struct PredictedStart {
    /// The task, as an entry of one.
    pub task: QueueEntry,
    /// Its start; `None` if it is not predicted to start where it waits.
    pub start: Option<Timestamp>,
}

/// The queues of all machines.
#[derive(Debug, Default)]
pub struct Plans {
    machines: BTreeMap<MachineId, PlannedMachine>,
    planned_jobs: HashMap<JobId, PlannedJob>,
    /// Jobs with tasks in queues, most important first.
    by_priority: BTreeSet<(QueuePriority, JobId)>,
    /// Machines whose free resources or queue have changed since `take_changed_machines`.
    changed_machines: BTreeSet<MachineId>,
    /// Parts of the design in force.
    pub features: PlanFeatures,
}

impl Plans {
    /// All machines, by id.
    pub fn machines(&self) -> impl Iterator<Item = &PlannedMachine> {
        self.machines.values()
    }

    /// One machine; `None` if nothing may be planned on it.
    pub fn machine(&self, id: MachineId) -> Option<&PlannedMachine> {
        self.machines.get(&id)
    }

    /// Machines whose free resources or queue have changed since this was asked last.
    pub fn take_changed_machines(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Predicted starts of all tasks in a machine's queue, in its order.
    pub fn predicted_starts(&self, id: MachineId, now: Timestamp) -> Vec<PredictedStart> {
        let Some(machine) = self.machines.get(&id) else { return Vec::new() };
        let mut starts = Vec::new();
        simulation::simulate_queue(machine, now, |entry, start| {
            starts.push(PredictedStart { task: QueueEntry { count: 1, ..*entry }, start })
        });
        starts
    }
}

#[cfg(test)]
mod tests;
