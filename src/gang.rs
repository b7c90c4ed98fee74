//! The life of a gang: a job whose tasks all run at the same time, or none does.
//!
//! | phase | what is on machines | what ends it |
//! | --- | --- | --- |
//! | queued | nothing | a start of all tasks under a new attempt number |
//! | gathering | tasks of one attempt, which wait for each other | a task runs: all do; a task ends, or the rest cannot come: stopping |
//! | running | all tasks | a task is done: all are; a task ends or is lost: stopping |
//! | stopping | what is left of the attempt | the last task is gone: queued |
//!
//! This module decides; `scheduling::gangs` carries it out. Nothing of a gang is written to the state service: a new leader learns the
//! live attempt from the reports of fenced machines. There is only one, since the next one starts when nothing of the last is left.

use crate::types::{AttemptNumber, Duration, MachineId, Timestamp};
use std::collections::BTreeSet;

/// Where a gang is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GangPhase {
    /// No attempt is on any machine.
    #[default]
    Queued,
    /// Its tasks were ordered to start and wait for each other, since this time.
    AwaitingMembers {
        /// When the attempt began, or was found by this leader.
        since: Timestamp,
    },
    /// At least one task was seen running, so all have started.
    Running,
    /// What is left of the attempt is ending.
    Stopping {
        /// Time that its tasks have for saving.
        grace: Duration,
    },
}

/// What an attempt that a machine shows is to its gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It belongs to the live attempt.
    Live,
    /// It is left over from an earlier attempt.
    Stale,
    /// It belongs to a later attempt than the one known: what was taken for live is left over.
    Replaces,
}

/// State of a gang.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gang {
    /// Where it is in its life.
    pub phase: GangPhase,
    /// The live attempt; `None` while it is queued.
    pub attempt: Option<AttemptNumber>,
    /// Since when a task of a gathering gang is missing.
    pub missing_since: Option<Timestamp>,
    /// Machines that held tasks of earlier attempts. A worker refuses a task of which it still knows another attempt.
    pub former: BTreeSet<MachineId>,
}

impl Gang {
    /// Whether nothing of it is on any machine, so that an attempt may begin.
    pub fn is_queued(&self) -> bool {
        self.phase == GangPhase::Queued
    }

    /// Whether its tasks run.
    pub fn runs(&self) -> bool {
        self.phase == GangPhase::Running
    }

    /// An attempt begins.
    pub fn start(&mut self, now: Timestamp, attempt: AttemptNumber, machines: impl Iterator<Item = MachineId>) {
        self.phase = GangPhase::AwaitingMembers { since: now };
        self.attempt = Some(attempt);
        self.missing_since = None;
        self.former.extend(machines);
    }

    /// A machine shows a task of this attempt that this leader did not start; `ended`: it has ended already.
    pub fn adopt(&mut self, now: Timestamp, attempt: AttemptNumber, machine: MachineId, ended: bool) -> Adoption {
        self.former.insert(machine);
        if self.attempt.is_some_and(|live| attempt < live) {
            return Adoption::Stale;
        }
        if self.attempt == Some(attempt) {
            if ended {
                self.stop(Duration::ZERO);
            }
            return Adoption::Live;
        }
        let replaces = self.attempt.is_some();
        self.attempt = Some(attempt);
        self.missing_since = None;
        self.phase = if ended {
            GangPhase::Stopping { grace: Duration::ZERO }
        } else {
            GangPhase::AwaitingMembers { since: now }
        };
        if replaces { Adoption::Replaces } else { Adoption::Live }
    }

    /// A task of this attempt was seen running. All tasks start together, so from now on a lost one cannot be replaced.
    pub fn task_runs(&mut self, attempt: AttemptNumber) {
        if self.attempt == Some(attempt) && matches!(self.phase, GangPhase::AwaitingMembers { .. }) {
            self.phase = GangPhase::Running;
            self.missing_since = None;
        }
    }

    /// A task is surely gone without an end, with its machine. While the gang gathers a replacement can complete it; one that
    /// ran is over.
    pub fn task_lost(&mut self, now: Timestamp) {
        match self.phase {
            GangPhase::AwaitingMembers { .. } => self.missing_since = Some(self.missing_since.unwrap_or(now)),
            _ => self.stop(Duration::ZERO),
        }
    }

    /// A task of the live attempt has ended without being done: the others are ending, or cannot begin any more.
    pub fn task_ended(&mut self) {
        self.stop(Duration::ZERO);
    }

    /// The attempt is to end, its tasks having so long for saving. One that is ending already goes on as it was told.
    pub fn stop(&mut self, grace: Duration) {
        if matches!(self.phase, GangPhase::AwaitingMembers { .. } | GangPhase::Running) {
            self.phase = GangPhase::Stopping { grace };
        }
    }

    /// Nothing of the attempt is on any machine any more.
    pub fn emptied(&mut self) {
        self.phase = GangPhase::Queued;
        self.attempt = None;
        self.missing_since = None;
    }
}

#[cfg(test)]
mod tests;
