//! The life cycle of a gang: a job whose tasks all run at the same time, or none does.
//!
//! | phase | what is on machines | what ends it |
//! | --- | --- | --- |
//! | queued | nothing | a start of all tasks under a new attempt number |
//! | awaiting members | tasks of one attempt, which wait for each other | a task runs: all do; a task ends, or the rest cannot come: stopping |
//! | running | all tasks | a task is finished: all are; a task ends or is lost: stopping |
//! | stopping | what is left of the attempt | the last task is gone: queued |
//!
//! This module decides; `leader::scheduling::gangs` carries it out. Nothing of a gang's phase is written to the key-value store: a
//! new leader learns the live attempt from the heartbeats of fenced machines. There is only one, since the next one starts when
//! nothing of the last is left.

use crate::types::{AttemptNumber, Duration, MachineId, Timestamp};
use std::collections::BTreeSet;

/// Where a gang is in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GangPhase {
    /// No attempt is on any machine.
    #[default]
    Queued,
    /// The starts of its tasks were requested, and they wait for each other.
    AwaitingMembers {
        /// When the attempt began, or was found by this leader.
        since: Timestamp,
    },
    /// At least one task was reported running, so all have started.
    Running,
    /// What is left of the attempt is ending.
    Stopping {
        /// Time that its tasks have for their checkpoints.
        grace: Duration,
    },
}

/// What an attempt that a machine reports is to its gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It belongs to the live attempt.
    Live,
    /// It is left over from an earlier attempt.
    Stale,
    /// It belongs to a later attempt than the one known: what was taken for live is left over.
    Supersedes,
}

/// The state of a gang.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gang {
    /// Where it is in its life cycle.
    pub phase: GangPhase,
    /// The live attempt; `None` while it is queued.
    pub attempt: Option<AttemptNumber>,
    /// Since when a task of a gang that awaits its members is missing.
    pub missing_since: Option<Timestamp>,
    /// Machines that held tasks of earlier attempts. A worker refuses a task of which it still holds another attempt.
    pub attempt_machines: BTreeSet<MachineId>,
}

impl Gang {
    /// Whether nothing of it is on any machine, so that an attempt may begin.
    pub fn is_queued(&self) -> bool {
        self.phase == GangPhase::Queued
    }

    /// Whether its tasks run.
    pub fn is_running(&self) -> bool {
        self.phase == GangPhase::Running
    }

    /// Begins an attempt on these machines.
    pub fn start(&mut self, now: Timestamp, attempt: AttemptNumber, machines: impl Iterator<Item = MachineId>) {
        self.phase = GangPhase::AwaitingMembers { since: now };
        self.attempt = Some(attempt);
        self.missing_since = None;
        self.attempt_machines.extend(machines);
    }

    /// Notes that a machine reports a task of this attempt that this leader did not start, and whether that has ended already.
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

    /// Takes an attempt for the live one.
    fn adopt_attempt(&mut self, now: Timestamp, attempt: AttemptNumber, has_ended: bool) {
        self.attempt = Some(attempt);
        self.missing_since = None;
        self.phase = if has_ended {
            GangPhase::Stopping { grace: Duration::ZERO }
        } else {
            GangPhase::AwaitingMembers { since: now }
        };
    }

    /// Notes that a task of this attempt is reported running. All tasks start together, so from now on a lost one cannot be
    /// replaced.
    pub fn task_running(&mut self, attempt: AttemptNumber) {
        if self.attempt == Some(attempt) && matches!(self.phase, GangPhase::AwaitingMembers { .. }) {
            self.phase = GangPhase::Running;
            self.missing_since = None;
        }
    }

    /// Notes that a task is surely gone without an end, with its machine. While the gang awaits its members a replacement can
    /// complete it; one that ran is to end.
    pub fn task_lost(&mut self, now: Timestamp) {
        match self.phase {
            GangPhase::AwaitingMembers { .. } => self.missing_since = Some(self.missing_since.unwrap_or(now)),
            _ => self.stop(Duration::ZERO),
        }
    }

    /// Notes that a task of the live attempt ended without being finished: the others are ending, or cannot begin any more.
    pub fn task_ended(&mut self) {
        self.stop(Duration::ZERO);
    }

    /// Ends the attempt, with this much time for its tasks' checkpoints. One that is ending already goes on as it was told.
    pub fn stop(&mut self, grace: Duration) {
        if matches!(self.phase, GangPhase::AwaitingMembers { .. } | GangPhase::Running) {
            self.phase = GangPhase::Stopping { grace };
        }
    }

    /// Notes that nothing of the attempt is on any machine any more: the gang is queued again.
    pub fn requeue(&mut self) {
        self.phase = GangPhase::Queued;
        self.attempt = None;
        self.missing_since = None;
    }
}

#[cfg(test)]
mod tests;
