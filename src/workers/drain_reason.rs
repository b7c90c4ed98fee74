//! The reasons for which a machine gets no new tasks and is released.

use std::fmt;

/// The reason why a machine is drained and then released to the cloud, as given in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The cloud reports that the machine has failed.
    CloudFailure,
    /// Tasks fail on it, and the fault is attributed to the machine rather than to their jobs.
    FailingTasks,
    /// Its worker sends no messages.
    Silent,
    /// Its heartbeats arrive, but neither responses nor commands reach it.
    Unreachable,
    /// The cloud has announced that it reclaims the machine.
    Reclaimed,
    /// The drain coordinator evicts its tasks, for an operator's drain or for a consolidation within the disruption
    /// budgets.
    Drained,
    /// Its services are moved to other machines to save its cost.
    Consolidated,
    /// It has had no tasks for the idle timeout.
    Idle,
}

impl fmt::Display for DrainReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DrainReason::CloudFailure => "failed",
            DrainReason::FailingTasks => "tasks fail on it",
            DrainReason::Silent => "silent",
            DrainReason::Unreachable => "takes nothing in",
            DrainReason::Reclaimed => "reclaimed by the cloud",
            DrainReason::Drained => "drained",
            DrainReason::Consolidated => "services fit on other machines",
            DrainReason::Idle => "idle",
        })
    }
}
