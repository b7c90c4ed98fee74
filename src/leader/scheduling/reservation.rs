//! Reservation of a machine's resources for gangs that are ahead in its queue.

use crate::plan::QueueEntry;
use crate::types::{Resources, Timestamp};

/// Resources of one machine that are reserved for gangs that are ahead in its queue and cannot start yet, because other
/// machines lack resources for their remaining tasks.
#[derive(Debug, Default)]
pub(super) struct GangReservation {
    resources: Resources,
    /// Earliest predicted start of these gangs; `None` if nothing is reserved.
    needed_at: Option<Timestamp>,
}

impl GangReservation {
    /// Reserves resources for a gang's tasks on this machine, which are needed from `common_start` on. Reserves nothing
    /// if no common start is predicted for the gang.
    pub(super) fn reserve(&mut self, entry: &QueueEntry, common_start: Option<Timestamp>) {
        let Some(start) = common_start else { return };
        for _ in 0..entry.count {
            self.resources.add(&entry.resources);
        }
        self.needed_at = Some(self.needed_at.map_or(start, |needed_at| needed_at.min(start)));
    }

    /// Whether a task behind these gangs in the queue may start now (backfilling): it must fit beside the reserved
    /// resources, or be predicted to end before the first gang needs them. Short tasks can thus use reserved resources
    /// while a gang waits, without delaying it.
    pub(super) fn allows(&self, entry: &QueueEntry, free: &Resources, now: Timestamp) -> bool {
        let Some(needed_at) = self.needed_at else { return true };
        let mut unreserved = *free;
        unreserved.saturating_sub(&self.resources);
        let ends_in_time = !entry.is_service && now + entry.predicted_duration <= needed_at;
        entry.resources.fits(&unreserved) || ends_in_time
    }
}
