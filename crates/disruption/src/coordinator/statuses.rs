//! Updates the statuses of drains, which are shown to operators.

use super::{Coordinator, ReconcileContext};
use crate::drain::Drain;
use caperstile_types::{Duration, MachineId};
use std::collections::BTreeSet;

/// Maximum number of wait reasons in a status.
const MAX_WAIT_REASONS: usize = 5;
/// Minimum interval between two updates of the statuses. It is multiplied by the number of open drains, to limit the
/// rate of writes.
const STATUS_UPDATE_INTERVAL: Duration = Duration::from_secs(2);

impl Coordinator {
    /// Updates the statuses of all drains if the minimum interval has elapsed.
    pub(super) fn update_statuses(&mut self, context: &ReconcileContext<'_>) {
        let open = self.drains.values().filter(|drain| drain.status.phase.is_open()).count() as u64;
        if context.now.since(self.statuses_updated_at) < STATUS_UPDATE_INTERVAL * open.max(1) {
            return;
        }
        self.statuses_updated_at = context.now;
        let draining = self.draining_machines();
        for (name, drain) in &mut self.drains {
            let reasons = context.wait_reasons.get(name).cloned().unwrap_or_default();
            drain.status.wait_reasons = if drain.is_running() { limit_reasons(reasons) } else { Vec::new() };
            if context.fleet.is_complete() && drain.status.phase.is_open() {
                count_machines(drain, context, &draining);
            }
        }
    }
}

fn limit_reasons(mut reasons: Vec<String>) -> Vec<String> {
    reasons.dedup();
    reasons.truncate(MAX_WAIT_REASONS);
    reasons
}

fn count_machines(drain: &mut Drain, context: &ReconcileContext<'_>, draining: &BTreeSet<MachineId>) {
    let existing: Vec<&MachineId> = drain.members.keys().filter(|machine| context.fleet.exists(**machine)).collect();
    drain.status.draining = existing.iter().filter(|machine| draining.contains(**machine)).count() as u32;
    drain.status.drained = (drain.members.len() - existing.len()) as u32;
}
