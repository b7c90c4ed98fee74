//! Starts to drain machines: the next ones that budgets, spare capacity and replacements allow.

use super::replacements::ReadyReplacements;
use super::{Coordinator, ReconcileContext};
use crate::allowance::Allowances;
use crate::candidates::{self, DrainableMachine};
use crate::fleet::{Fleet, TaskView};
use crate::selection::{Candidate, SelectionLimits, select_machines};
use caperstile_types::{AttemptId, MachineId};
use std::collections::BTreeSet;

/// Machines without spare capacity for their replicas that are tried in one reconciliation, and for which machines are rented.
const MAX_UNPLACEABLE_MACHINES: usize = 8;

/// What one selection of machines may use; it takes from it what it uses.
struct SelectionBudget<'a> {
    max_machines: u32,
    replacements: &'a mut ReadyReplacements,
    allowances: &'a mut Allowances,
}

impl Coordinator {
    /// Starts to drain as many machines as budgets, spare capacity and replacements allow.
    pub(super) fn start_machine_drains(&mut self, context: &mut ReconcileContext<'_>, allowances: &mut Allowances) {
        let draining = self.draining_machines();
        let waiting = candidates::waiting_machines(&self.drains, &draining, context.fleet, context.wall);
        let drainable = candidates::drainable_machines(waiting, context.fleet);
        let fleet_size = context.fleet.machine_ids().len() as u32;
        let max_machines = self.policy.max_draining_machines.resolve(fleet_size).max(1);
        let mut replacements = self.prepare_replacements(context, &draining, max_machines);
        let held_up = draining.iter().filter(|machine| is_held_up(**machine, context.fleet)).count() as u32;
        let progressing = draining.len() as u32 - held_up;
        // Machines that batch tasks hold up are counted apart, so that they do not hold up the others.
        for (has_long_batch, taken) in [(false, progressing), (true, held_up)] {
            let machines: Vec<&DrainableMachine> =
                drainable.iter().filter(|machine| machine.has_long_batch == has_long_batch).collect();
            let max_machines = max_machines.saturating_sub(taken);
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
        let started = self.start_where_placeable(context, machines, &candidates, &selected, budget);
        if started == 0 {
            self.start_partial_drain(context, machines, &candidates, budget);
        }
    }

    /// Starts the selected machines whose replicas all have room elsewhere; how many these are.
    fn start_where_placeable(
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
                    context.note_wait(Some(&machine.drain), reason.to_string());
                }
            } else if unplaceable >= MAX_UNPLACEABLE_MACHINES {
                // Where so many found no capacity others are not tried in this reconciliation.
            } else if reserve(machine.machine, &machine.replicas) {
                started += 1;
                budget.replacements.consume(candidate);
                self.start_machine_drain(context, machine, budget.allowances);
            } else {
                unplaceable += 1;
                self.note_unplaceable(context, Some(&machine.drain), machine.machine, &machine.replicas);
            }
        }
        started
    }

    /// Starts to drain a machine with all of its replicas.
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

    /// A machine that holds more of a class than may ever be unavailable at once is drained in parts, one machine of a drain at a
    /// time.
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

    /// Drains with a machine that still holds replicas. One that only waits for batch tasks to end holds no other up.
    fn drains_moving_replicas(&self, fleet: &dyn Fleet) -> BTreeSet<String> {
        let holds_replicas = |machine: MachineId| {
            fleet.machine(machine).is_some_and(|view| candidates::replicas(&view).next().is_some())
        };
        let moving = self.machine_drains.iter().filter(|(machine, _)| holds_replicas(**machine));
        moving.filter_map(|(_, machine_drain)| machine_drain.drain.clone()).collect()
    }
}

/// Whether a machine's load never fits its budgets at once, and some of it may be evicted now.
fn needs_partial_drain(machine: &DrainableMachine, fleet: &dyn Fleet, allowances: &Allowances) -> bool {
    let evictable = |view| !candidates::evictable_subset(candidates::replicas(&view), allowances).is_empty();
    allowances.exceeds_full_budget(&machine.load) && fleet.machine(machine.machine).is_some_and(evictable)
}

fn is_held_up(machine: MachineId, fleet: &dyn Fleet) -> bool {
    fleet.machine(machine).as_ref().is_some_and(candidates::has_long_batch)
}
