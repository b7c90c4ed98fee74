//! Starts to drain further machines, as budgets, spare capacity and replacements allow.

use super::replacements::ReadyReplacements;
use super::{Coordinator, ReconcileContext};
use crate::allowance::Allowances;
use crate::candidates::{self, DrainableMachine};
use crate::fleet::{Fleet, TaskView};
use crate::selection::{Candidate, SelectionLimits, select_machines};
use caperstile_types::{AttemptId, MachineId};
use std::collections::BTreeSet;

/// Maximum number of machines for whose replicas a reconciliation fails to find spare capacity before it stops trying.
/// New machines are provisioned for these replicas.
const MAX_UNPLACEABLE_MACHINES: usize = 8;

/// Resources for one selection of machines. Starting to drain a machine uses up its share of the replacements and
/// allowances.
struct SelectionBudget<'a> {
    max_machines: u32,
    replacements: &'a mut ReadyReplacements,
    allowances: &'a mut Allowances,
}

impl Coordinator {
    /// Starts to drain as many machines as budgets, spare capacity and replacements allow.
    pub(super) fn start_machine_drains(&mut self, context: &mut ReconcileContext<'_>, allowances: &mut Allowances) {
        let draining = self.draining_machines();
        let pending = candidates::pending_machines(&self.drains, &draining, context.fleet, context.wall);
        let drainable = candidates::drainable_machines(pending, context.fleet);
        let fleet_size = context.fleet.machine_ids().len() as u32;
        let max_machines = self.policy.max_draining_machines.resolve(fleet_size).max(1);
        let mut replacements = self.prepare_replacements(context, &draining, max_machines);
        let blocked_by_batch =
            draining.iter().filter(|machine| is_blocked_by_batch(**machine, context.fleet)).count() as u32;
        let progressing = draining.len() as u32 - blocked_by_batch;
        // Machines that batch tasks keep occupied for long are counted separately. Otherwise they could use up the
        // limit on drained machines and block the drains of all other machines.
        for (has_long_batch_task, in_use) in [(false, progressing), (true, blocked_by_batch)] {
            let machines: Vec<&DrainableMachine> =
                drainable.iter().filter(|machine| machine.has_long_batch_task == has_long_batch_task).collect();
            let max_machines = max_machines.saturating_sub(in_use);
            let mut budget = SelectionBudget { max_machines, replacements: &mut replacements, allowances };
            self.start_selected(context, &machines, &mut budget);
        }
    }

    fn start_selected(
        &mut self,
        context: &mut ReconcileContext<'_>,
        machines: &[&DrainableMachine],
        budget: &mut SelectionBudget<'_>,
    ) {
        if machines.is_empty() || budget.max_machines == 0 {
            return;
        }
        let candidates: Vec<Candidate> =
            machines.iter().map(|machine| candidates::candidate(machine, &self.drains)).collect();
        let limits = SelectionLimits {
            allowances: budget.allowances,
            max_machines: budget.max_machines,
            ready_replacements: budget.replacements.by_pool().clone(),
        };
        let selected: BTreeSet<MachineId> = select_machines(&candidates, &limits).into_iter().collect();
        let started = self.start_placeable(context, machines, &candidates, &selected, budget);
        if started == 0 {
            self.start_partial_drain(context, machines, &candidates, budget);
        }
    }

    /// Starts to drain those selected machines for all of whose replicas other machines have the capacity. Returns
    /// their number.
    fn start_placeable(
        &mut self,
        context: &mut ReconcileContext<'_>,
        machines: &[&DrainableMachine],
        candidates: &[Candidate],
        selected: &BTreeSet<MachineId>,
        budget: &mut SelectionBudget<'_>,
    ) -> usize {
        let excluded = self.machine_drains.keys().chain(selected).copied().collect();
        let mut capacity = (!selected.is_empty()).then(|| context.fleet.spare_capacity(&excluded));
        let mut reserve = |machine: MachineId, replicas: &[AttemptId]| {
            replicas.is_empty() || capacity.as_mut().is_some_and(|capacity| capacity.reserve(machine, replicas))
        };
        let (mut started, mut unplaceable) = (0, 0);
        for (machine, candidate) in machines.iter().zip(candidates) {
            if !selected.contains(&machine.machine) {
                if let Err(reason) = budget.allowances.check(&machine.load) {
                    context.add_wait_reason(Some(&machine.drain), reason.to_string());
                }
            } else if unplaceable >= MAX_UNPLACEABLE_MACHINES {
                // Spare capacity is probably exhausted, so no further machines are tried in this reconciliation.
            } else if reserve(machine.machine, &machine.replicas) {
                started += 1;
                budget.replacements.consume(candidate);
                self.start_machine_drain(context, machine, budget.allowances);
            } else {
                unplaceable += 1;
                self.record_unplaceable(context, Some(&machine.drain), machine.machine, &machine.replicas);
            }
        }
        started
    }

    /// Starts to drain a machine and charges all of its replicas.
    fn start_machine_drain(
        &mut self,
        context: &ReconcileContext<'_>,
        machine: &DrainableMachine,
        allowances: &mut Allowances,
    ) {
        self.open_machine_drain(machine.machine, Some(machine.drain.clone()), context.wall);
        if let Some(view) = context.fleet.machine(machine.machine) {
            let replicas: Vec<&TaskView> = candidates::replicas(&view).collect();
            self.charge(machine.machine, &replicas, allowances);
        }
    }

    /// Starts to drain a machine whose replicas exceed a budget even if nothing else is unavailable. They are evicted
    /// in parts, and at most one machine of each drain is drained in this way at a time.
    fn start_partial_drain(
        &mut self,
        context: &ReconcileContext<'_>,
        machines: &[&DrainableMachine],
        candidates: &[Candidate],
        budget: &mut SelectionBudget<'_>,
    ) {
        let busy_drains = self.drains_moving_replicas(context.fleet);
        let found = machines.iter().zip(candidates).find(|(machine, candidate)| {
            !busy_drains.contains(&machine.drain)
                && budget.replacements.available_for(candidate)
                && needs_partial_drain(machine, context.fleet, budget.allowances)
        });
        if let Some((machine, candidate)) = found {
            budget.replacements.consume(candidate);
            self.open_machine_drain(machine.machine, Some(machine.drain.clone()), context.wall);
        }
    }

    /// Returns the drains with a machine that is being drained and still holds replicas. A machine that only waits for
    /// batch tasks to end does not count, so that it does not block the other machines of its drain.
    fn drains_moving_replicas(&self, fleet: &dyn Fleet) -> BTreeSet<String> {
        let holds_replicas = |machine: MachineId| {
            fleet.machine(machine).is_some_and(|view| candidates::replicas(&view).next().is_some())
        };
        let moving = self.machine_drains.iter().filter(|(machine, _)| holds_replicas(**machine));
        moving.filter_map(|(_, machine_drain)| machine_drain.drain.clone()).collect()
    }
}

/// Whether a machine's replicas exceed a budget even if nothing else is unavailable, and some of them may be evicted
/// now.
fn needs_partial_drain(machine: &DrainableMachine, fleet: &dyn Fleet, allowances: &Allowances) -> bool {
    let evictable = |view| !candidates::evictable_subset(candidates::replicas(&view), allowances).is_empty();
    allowances.exceeds_full_budget(&machine.load) && fleet.machine(machine.machine).is_some_and(evictable)
}

fn is_blocked_by_batch(machine: MachineId, fleet: &dyn Fleet) -> bool {
    fleet.machine(machine).as_ref().is_some_and(candidates::has_long_batch_task)
}
