//! The status of each drain, which operators see.

use super::{Coordinator, ReconcileContext};
use crate::drain::Drain;
use caperstile_types::{Duration, MachineId};
use std::collections::BTreeSet;

/// Reasons for waiting that a status names.
const MAX_WAIT_REASONS: usize = 5;
/// A drain's status is written no more often, and less often where several drains are open.
const STATUS_UPDATE_INTERVAL: Duration = Duration::from_secs(2);

impl Coordinator {
    /// Updates the status of each drain, not more often than needed.
    pub(super) fn update_statuses(&mut self, context: &ReconcileContext<'_>) {
        let open = self.drains.values().filter(|drain| drain.status.phase.is_open()).count() as u64;
        if context.now.since(self.statuses_updated_at) < STATUS_UPDATE_INTERVAL * open.max(1) {
            return;
        }
        self.statuses_updated_at = context.now;
        let draining = self.draining_machines();
        for (name, drain) in &mut self.drains {
            let reasons = context.wait_reasons.get(name).cloned().unwrap_or_default();
            drain.status.wait_reasons = if drain.is_running() { shortened(reasons) } else { Vec::new() };
            if context.fleet.is_complete() && drain.status.phase.is_open() {
                count_machines(drain, context, &draining);
            }
        }
    }
}

fn shortened(mut reasons: Vec<String>) -> Vec<String> {
    reasons.dedup();
    reasons.truncate(MAX_WAIT_REASONS);
    reasons
}

fn count_machines(drain: &mut Drain, context: &ReconcileContext<'_>, draining: &BTreeSet<MachineId>) {
    let left: Vec<&MachineId> = drain.members.keys().filter(|machine| context.fleet.exists(**machine)).collect();
    drain.status.draining = left.iter().filter(|machine| draining.contains(**machine)).count() as u32;
    drain.status.drained = (drain.members.len() - left.len()) as u32;
}
