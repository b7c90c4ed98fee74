//! Room that a machine keeps for gangs that are ahead in its queue.

use crate::plan::QueueEntry;
use crate::types::{Resources, Timestamp};

/// Resources of a machine that are reserved for gangs that are ahead in its queue and wait for room elsewhere.
#[derive(Debug, Default)]
pub(super) struct GangReservation {
    resources: Resources,
    /// When the first of them is predicted to need its part.
    needed_at: Option<Timestamp>,
}

impl GangReservation {
    /// Reserves room for a gang's tasks from its common start on; nothing for one that is not known to start.
    pub(super) fn reserve(&mut self, entry: &QueueEntry, common_start: Option<Timestamp>) {
        let Some(start) = common_start else { return };
        for _ in 0..entry.count {
            self.resources.add(&entry.resources);
        }
        self.needed_at = Some(self.needed_at.map_or(start, |needed_at| needed_at.min(start)));
    }

    /// Whether a task that is behind them in the queue may start now: beside what is reserved, or because it is
    /// predicted to be over before that is needed. So reserved room does not lie idle while a gang waits long, and no
    /// gang is starved by short tasks.
    pub(super) fn allows(&self, entry: &QueueEntry, free: &Resources, now: Timestamp) -> bool {
        let Some(needed_at) = self.needed_at else { return true };
        let mut unreserved = *free;
        unreserved.saturating_sub(&self.resources);
        let ends_in_time = !entry.is_service && now + entry.predicted_duration <= needed_at;
        entry.resources.fits(&unreserved) || ends_in_time
    }
}
