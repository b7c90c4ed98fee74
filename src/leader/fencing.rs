//! Fencing: which machines of earlier leaders have not seen this leader's fencing token yet.
//!
//! Until such a machine has answered, an earlier leader's commands may still take effect there, so that jobs which were accepted by
//! earlier leaders are not started.

use crate::types::{MachineId, Timestamp};
use std::collections::BTreeSet;

/// Machines of earlier leaders that are not fenced yet.
#[derive(Debug)]
pub(crate) struct Fencing {
    /// Registered by an earlier leader and not known to have seen this leader's fencing token.
    pub(crate) unfenced: BTreeSet<MachineId>,
    /// When a machine of an earlier leader was fenced last.
    pub(crate) last_fenced_at: Timestamp,
    /// Whether it has been logged that all machines are fenced.
    pub(super) completion_logged: bool,
}

impl Fencing {
    /// The state of a new leader, before the log is read back: no machine is known.
    pub(super) fn new(now: Timestamp) -> Fencing {
        Fencing { unfenced: BTreeSet::new(), last_fenced_at: now, completion_logged: false }
    }

    /// Notes that a machine has seen this leader's fencing token.
    pub(super) fn machine_fenced(&mut self, now: Timestamp, id: MachineId) {
        if self.unfenced.remove(&id) {
            self.last_fenced_at = now;
        }
    }
}
