//! Fencing: tracks the machines of earlier leaders that have not confirmed this leader's fencing token yet.
//!
//! Until such a machine responds, it may still execute commands of an earlier leader. Jobs that earlier leaders
//! accepted are therefore not started before all of these machines are fenced: otherwise a task could run twice.

use crate::types::{MachineId, Timestamp};
use std::collections::BTreeSet;

/// The progress of fencing since the election.
#[derive(Debug)]
pub(crate) struct Fencing {
    /// Machines that an earlier leader registered and that have not confirmed this leader's fencing token.
    pub(crate) unfenced: BTreeSet<MachineId>,
    /// When a machine of an earlier leader was last fenced; the time of the election before the first.
    pub(crate) last_fenced_at: Timestamp,
    /// Whether the completion of fencing has been logged.
    pub(super) completion_logged: bool,
}

impl Fencing {
    /// The state of a new leader before it has loaded the log: no machine is known.
    pub(super) fn new(now: Timestamp) -> Fencing {
        Fencing { unfenced: BTreeSet::new(), last_fenced_at: now, completion_logged: false }
    }

    /// Records that a machine has confirmed this leader's fencing token.
    pub(super) fn machine_fenced(&mut self, now: Timestamp, id: MachineId) {
        if self.unfenced.remove(&id) {
            self.last_fenced_at = now;
        }
    }
}
