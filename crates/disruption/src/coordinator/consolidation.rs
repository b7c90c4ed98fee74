//! Consolidation within the budgets: drains machines whose services fit on other machines, to reduce cost.

use super::{Coordinator, ReconcileContext};
use crate::candidates;
use crate::eviction_load::EvictionLoad;
use crate::fleet::{Fleet, TaskView};
use caperstile_types::{MachineId, Timestamp, WallClock};

impl Coordinator {
    /// Starts to drain a machine if the budgets allow all of its replicas to be evicted now. Returns whether the drain
    /// was started. The caller must have checked that the replicas fit on other machines.
    pub fn consolidate(&mut self, now: Timestamp, wall: WallClock, machine: MachineId, fleet: &dyn Fleet) -> bool {
        if !self.may_consolidate(machine, fleet) {
            return false;
        }
        let Some(view) = fleet.machine(machine) else { return false };
        let context = ReconcileContext::new(now, wall, fleet);
        let mut allowances = self.allowances(&context);
        let replicas: Vec<&TaskView> = candidates::replicas(&view).collect();
        if allowances.check(&EvictionLoad::of_tasks(replicas.iter().copied())).is_err() {
            return false;
        }
        self.open_machine_drain(machine, None, wall);
        self.charge(machine, &replicas, &mut allowances);
        self.update_desired_records();
        true
    }

    fn may_consolidate(&self, machine: MachineId, fleet: &dyn Fleet) -> bool {
        self.policy.enabled
            && self.records_restored
            && fleet.is_complete()
            && fleet.unreachable_zone().is_none()
            && !self.machine_drains.contains_key(&machine)
    }

    /// Whether any machine is being consolidated.
    pub fn is_consolidating(&self) -> bool {
        self.machine_drains.values().any(|machine_drain| machine_drain.drain.is_none())
    }
}
