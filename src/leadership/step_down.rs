//! The reasons for which a leader steps down.

use std::fmt;

/// The reason why a leader stepped down, as given in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// Another node announced its election under a higher fencing token.
    AnotherNodeLeads,
    /// A worker's message contained a higher fencing token than that of this leader.
    HigherFencingToken,
    /// A write failed because the leader key no longer has the revision at which this node was elected.
    LeaderKeyChanged,
    /// The leader key was relocated. This node remains the leader, under the fencing token of the new key.
    LeaderKeyRelocated,
    /// The state service reports that the lease has expired or was revoked.
    LeaseLost,
    /// This node has no lease that it could renew.
    NoLease,
    /// This node cannot reach any worker, while another node probably can.
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
