//! Evictions. A task is evicted once its charge is durable, and the charge is released once another attempt runs.

use super::{Coordinator, ReconcileContext};
use crate::budget::{TaskClass, scopes_for_class};
use crate::effect::{Effect, Eviction};
use crate::fleet::{ChargeState, Fleet};
use crate::records::BudgetCharge;
use caperstile_types::{AttemptId, MachineId, TaskId};

/// An eviction whose charge is durable and whose task has not been stopped yet.
struct DueEviction {
    machine: MachineId,
    charge: BudgetCharge,
    class: TaskClass,
}

impl Coordinator {
    /// Releases the charges of tasks that run again or have ended. If the drain is no longer running, also releases the
    /// charges of tasks that this leader has not evicted and that have not been stopped.
    pub(super) fn release_charges(&mut self, fleet: &dyn Fleet) {
        let drains = &self.drains;
        for machine_drain in self.machine_drains.values_mut() {
            let active = machine_drain.is_active(drains);
            let evicted = &machine_drain.evicted;
            machine_drain.charges.retain(|charge| match fleet.charge_state(charge) {
                ChargeState::Released => false,
                ChargeState::Pending { .. } => active || evicted.contains(charge),
                ChargeState::Disrupted { .. } => true,
            });
            let charges = &machine_drain.charges;
            machine_drain.evicted.retain(|charge| charges.contains(charge));
        }
    }

    /// Drops charges of tasks that have not been stopped yet if more tasks are unavailable than their budget allows by
    /// now, for example after a failure or a change of the budget.
    ///
    /// This is safe because all machines are fenced: a command that an earlier leader sent can no longer stop such a
    /// task.
    pub(super) fn drop_excess_charges(&mut self, context: &ReconcileContext<'_>) {
        let allowances = self.allowances(context);
        for machine_drain in self.machine_drains.values_mut() {
            let evicted = &machine_drain.evicted;
            machine_drain.charges.retain(|charge| match context.fleet.charge_state(charge) {
                ChargeState::Pending { class, .. } => evicted.contains(charge) || !allowances.is_exceeded(&class),
                _ => true,
            });
        }
    }

    /// Evicts the tasks whose charge is durable. The caller has already dropped charges that exceed a budget.
    pub(super) fn evict_durably_charged(&mut self, context: &mut ReconcileContext<'_>) {
        for due in self.due_evictions(context) {
            for scope in scopes_for_class(&due.class) {
                self.last_evictions.record(context.now, scope);
            }
            context.effects.push(Effect::Evict(eviction_for_charge(due.machine, &due.charge)));
            if let Some(machine_drain) = self.machine_drains.get_mut(&due.machine) {
                machine_drain.evicted.insert(due.charge);
            }
        }
    }

    fn due_evictions(&self, context: &ReconcileContext<'_>) -> Vec<DueEviction> {
        let mut due = Vec::new();
        for (machine, machine_drain) in self.active_machine_drains() {
            let durable = self.durable_charges(machine);
            let not_evicted = machine_drain.charges.difference(&machine_drain.evicted);
            for charge in not_evicted.filter(|charge| durable.contains(charge)) {
                if let ChargeState::Pending { class, .. } = context.fleet.charge_state(charge) {
                    due.push(DueEviction { machine, charge: *charge, class });
                }
            }
        }
        due
    }
}

fn eviction_for_charge(machine: MachineId, charge: &BudgetCharge) -> Eviction {
    match charge.index {
        Some(index) => {
            let attempt = AttemptId { attempt: charge.attempt, task: TaskId { job: charge.job, index } };
            Eviction::Task { machine, attempt }
        }
        None => Eviction::Gang(charge.job),
    }
}
