//! The life cycle of a gang: a job whose tasks run all at the same time or not at all.
//!
//! | phase | on machines | next phase |
//! | --- | --- | --- |
//! | queued | nothing | awaiting members, when all tasks are started under a new attempt number |
//! | awaiting members | tasks of one attempt, waiting for each other | running, when one task is reported running |
//! | | | stopping, when a task ends or the missing ones cannot be started |
//! | running | all tasks | stopping, when a task fails or is lost; if one task finishes, all have finished |
//! | stopping | the remaining tasks of the attempt | queued, when the last task is gone |
//!
//! This module decides on the phase; `leader::scheduling::gangs` carries out the actions that follow from it. The phase
//! is not written to the state service: a new leader learns the live attempt from the heartbeats of fenced machines.
//! There is at most one live attempt, because the next one starts only after no task of the previous one is left.

use crate::types::{AttemptNumber, Duration, MachineId, Timestamp};
use std::collections::BTreeSet;

/// Phase in the life cycle of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GangPhase {
    /// No attempt is on any machine.
    #[default]
    Queued,
    /// The starts of its tasks have been requested; tasks that have started wait for the others.
    AwaitingMembers {
        /// When the attempt began or, if an earlier leader began it, when this leader adopted it.
        since: Timestamp,
    },
    /// At least one task has been reported running, which implies that all tasks have started.
    Running,
    /// The remaining tasks of the attempt are being stopped.
    Stopping {
        /// Time that the tasks have to save their checkpoints.
        grace: Duration,
    },
}

/// Relation of a reported attempt to the gang's live attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The reported task belongs to the live attempt.
    Live,
    /// The reported task is left over from an earlier attempt and has to be stopped.
    Stale,
    /// The reported task belongs to a later attempt than the one that was considered live. The reported attempt is live
    /// from now on, and tasks of the other one are left over.
    Supersedes,
}

/// State of a gang's current attempt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gang {
    /// Phase in the life cycle.
    pub phase: GangPhase,
    /// Number of the live attempt; `None` while the gang is queued.
    pub attempt: Option<AttemptNumber>,
    /// When a task was first found missing while the gang awaits its members; `None` if none is missing.
    pub missing_since: Option<Timestamp>,
    /// Machines on which tasks of any attempt have been started or reported. A worker refuses to start a task while it
    /// holds another attempt of the same task.
    pub attempt_machines: BTreeSet<MachineId>,
}

impl Gang {
    /// Whether no attempt is on any machine, so that a new one may start.
    pub fn is_queued(&self) -> bool {
        self.phase == GangPhase::Queued
    }

    /// Whether the tasks of the live attempt run.
    pub fn is_running(&self) -> bool {
        self.phase == GangPhase::Running
    }

    /// Starts an attempt on these machines.
    pub fn start(&mut self, now: Timestamp, attempt: AttemptNumber, machines: impl Iterator<Item = MachineId>) {
        self.phase = GangPhase::AwaitingMembers { since: now };
        self.attempt = Some(attempt);
        self.missing_since = None;
        self.attempt_machines.extend(machines);
    }

    /// Adopts a task of this attempt that a machine has reported and this leader did not start. `has_ended` is whether
    /// that task has ended already, in which case the rest of a live attempt is stopped.
    pub fn adopt(&mut self, now: Timestamp, attempt: AttemptNumber, machine: MachineId, has_ended: bool) -> Adoption {
        self.attempt_machines.insert(machine);
        match self.attempt {
            Some(live) if attempt < live => Adoption::Stale,
            Some(live) if attempt == live => {
                if has_ended {
                    self.stop(Duration::ZERO);
                }
                Adoption::Live
            }
            Some(_) => {
                self.adopt_attempt(now, attempt, has_ended);
                Adoption::Supersedes
            }
            None => {
                self.adopt_attempt(now, attempt, has_ended);
                Adoption::Live
            }
        }
    }

    /// Makes an attempt the live one.
    fn adopt_attempt(&mut self, now: Timestamp, attempt: AttemptNumber, has_ended: bool) {
        self.attempt = Some(attempt);
        self.missing_since = None;
        self.phase = if has_ended {
            GangPhase::Stopping { grace: Duration::ZERO }
        } else {
            GangPhase::AwaitingMembers { since: now }
        };
    }

    /// Records that a task of this attempt is reported running. All tasks of an attempt begin to run together, so a
    /// task that is lost from now on cannot be replaced.
    pub fn task_running(&mut self, attempt: AttemptNumber) {
        if self.attempt == Some(attempt) && matches!(self.phase, GangPhase::AwaitingMembers { .. }) {
            self.phase = GangPhase::Running;
            self.missing_since = None;
        }
    }

    /// Records that a task was definitely lost together with its machine, without an exit. While the gang awaits its
    /// members, the task can be replaced; in any later phase the remaining tasks are stopped.
    pub fn task_lost(&mut self, now: Timestamp) {
        match self.phase {
            GangPhase::AwaitingMembers { .. } => self.missing_since = Some(self.missing_since.unwrap_or(now)),
            _ => self.stop(Duration::ZERO),
        }
    }

    /// Records that a task of the live attempt ended without finishing. The other tasks are ending too, or can no
    /// longer begin to run.
    pub fn task_ended(&mut self) {
        self.stop(Duration::ZERO);
    }

    /// Stops the attempt, with a grace period in which its tasks can save their checkpoints. An attempt that is being
    /// stopped already keeps its grace period.
    pub fn stop(&mut self, grace: Duration) {
        if matches!(self.phase, GangPhase::AwaitingMembers { .. } | GangPhase::Running) {
            self.phase = GangPhase::Stopping { grace };
        }
    }

    /// Queues the gang again, once no task of the attempt is left on any machine.
    pub fn requeue(&mut self) {
        self.phase = GangPhase::Queued;
        self.attempt = None;
        self.missing_since = None;
    }
}

#[cfg(test)]
mod tests;
