//! The reasons for which a task attempt is stopped by command.

use std::fmt;

/// The reason why an attempt is stopped, as given in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A user has requested the cancellation of its job.
    Cancelled,
    /// Its job no longer needs it: the job has ended, or another attempt has replaced it.
    Abandoned,
    /// A job of higher priority, or a team within its guarantee, needs its place.
    Preempted,
    /// The cloud reclaims its machine.
    MachineReclaimed,
    /// A drain evicts it from its machine.
    Evicted,
    /// Its machine's services are moved to other machines.
    Consolidated,
    /// Its gang is stopped as a whole.
    GangStopped,
}

impl fmt::Display for StopReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StopReason::Cancelled => "cancelled",
            StopReason::Abandoned => "abandoned",
            StopReason::Preempted => "preempted",
            StopReason::MachineReclaimed => "machine reclaimed",
            StopReason::Evicted => "evicted",
            StopReason::Consolidated => "consolidated",
            StopReason::GangStopped => "gang stopped",
        })
    }
}
