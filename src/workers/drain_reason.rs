//! Why a machine gets no new tasks.

use std::fmt;

/// Why a machine is drained and given back to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The cloud reports that it has failed.
    CloudFailure,
    /// Its tasks of different jobs fail.
    FailingTasks,
    /// Nothing is heard of it.
    Silent,
    /// Its heartbeats arrive, but neither answers nor commands reach it.
    Unreachable,
    /// The cloud reclaims it.
    Reclaimed,
    /// The drain coordinator empties it, for operators or to consolidate within the disruption budgets.
    Drained,
    /// Its services were moved to other machines.
    Consolidated,
    /// It has been idle for long.
    Idle,
}

impl fmt::Display for DrainReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DrainReason::CloudFailure => "failed",
            DrainReason::FailingTasks => "fails its tasks",
            DrainReason::Silent => "silent",
            DrainReason::Unreachable => "takes nothing in",
            DrainReason::Reclaimed => "is taken back",
            DrainReason::Drained => "drained",
            DrainReason::Consolidated => "its services fit elsewhere",
            DrainReason::Idle => "idle",
        })
    }
}
