//! Why a node gives its leadership up.

use std::fmt;

/// Why a node no longer leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// Another node announced that it leads, under a higher fencing token.
    AnotherNodeLeads,
    /// A worker obeys a later leader.
    HigherFencingToken,
    /// The leader key has another revision or another holder.
    LeaderKeyChanged,
    /// The leader key was relocated; this node leads on under the new one.
    LeaderKeyRelocated,
    /// The lease has expired or was revoked.
    LeaseLost,
    /// There is no lease that could be renewed.
    NoLease,
    /// This node reaches no worker.
    NoWorkerReachable,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::AnotherNodeLeads => "another node leads",
            StepDownReason::HigherFencingToken => "a worker has seen a higher fencing token",
            StepDownReason::LeaderKeyChanged => "the leader key has changed",
            StepDownReason::LeaderKeyRelocated => "the leader key was relocated: all controllers are upgraded",
            StepDownReason::LeaseLost => "lease lost",
            StepDownReason::NoLease => "no lease",
            StepDownReason::NoWorkerReachable => "no worker is reachable",
        })
    }
}
