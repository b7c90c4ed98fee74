//! Charges evictions to the budgets of the tasks' classes and teams.

use super::machine_drain::MachineDrain;
use super::{Coordinator, ReconcileContext};
use crate::allowance::Allowances;
use crate::budget::BatchEviction;
use crate::candidates::{evictable_subset, longest_batch_task, replicas};
use crate::effect::UnplaceableReplica;
use crate::eviction_load::EvictionLoad;
use crate::fleet::{MachineView, SpareCapacity, TaskKind, TaskView};
use crate::records::{BudgetCharge, MAX_CHARGE_BYTES, MAX_MACHINE_RECORD_OVERHEAD_BYTES};
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use std::collections::BTreeSet;

/// The predicted end of a batch task is rounded up to a multiple of this in a status, so that the status does not
/// change all the time.
const REMAINING_TIME_STEP_S: f64 = 10.0;

/// The state of a machine that is being drained, during one reconciliation.
struct DrainingMachine {
    id: MachineId,
    /// Name of the drain; `None` for a consolidation.
    drain: Option<String>,
    started_at: WallClock,
    view: MachineView,
}

impl Coordinator {
    /// Charges the remaining tasks on machines that are being drained, as far as budgets and spare capacity allow.
    /// Machines whose drain started first are charged first.
    pub(super) fn charge_evictions(&mut self, context: &mut ReconcileContext<'_>, allowances: &mut Allowances) {
        let mut oldest_first: Vec<(WallClock, MachineId)> =
            self.active_machine_drains().map(|(id, machine_drain)| (machine_drain.started_at, id)).collect();
        if oldest_first.is_empty() {
            return;
        }
        oldest_first.sort();
        let excluded: BTreeSet<MachineId> = oldest_first.iter().map(|(_, id)| *id).collect();
        let mut capacity = context.fleet.spare_capacity(&excluded);
        for (started_at, id) in oldest_first {
            let Some(view) = context.fleet.machine(id).filter(|view| view.reachable) else { continue };
            let drain = self.machine_drains.get(&id).and_then(|machine_drain| machine_drain.drain.clone());
            let machine = DrainingMachine { id, drain, started_at, view };
            self.charge_replicas(context, &machine, capacity.as_mut(), allowances);
            self.charge_batch_tasks(context, &machine, allowances);
        }
    }

    /// Charges those replicas of a machine that the budgets allow to be evicted, if other machines have the capacity
    /// for all of these.
    fn charge_replicas(
        &mut self,
        context: &mut ReconcileContext<'_>,
        machine: &DrainingMachine,
        capacity: &mut dyn SpareCapacity,
        allowances: &mut Allowances,
    ) {
        let uncharged: Vec<&TaskView> = replicas(&machine.view).filter(|task| !self.is_charged(task)).collect();
        if uncharged.is_empty() {
            return;
        }
        let subset = evictable_subset(uncharged.iter().copied(), allowances);
        if subset.len() < uncharged.len()
            && let Err(reason) = allowances.check(&EvictionLoad::of_tasks(uncharged.iter().copied()))
        {
            context.add_wait_reason(machine.drain.as_ref(), reason.to_string());
        }
        if subset.is_empty() {
            return;
        }
        let attempts: Vec<AttemptId> = subset.iter().map(|task| task.attempt).collect();
        if capacity.reserve(machine.id, &attempts) {
            self.charge(machine.id, &subset, allowances);
        } else {
            self.record_unplaceable(context, machine.drain.as_ref(), machine.id, &attempts);
        }
    }

    /// Records that other machines lack the capacity for these replicas, in the status of the drain and for
    /// provisioning.
    pub(super) fn record_unplaceable(
        &mut self,
        context: &mut ReconcileContext<'_>,
        drain: Option<&String>,
        machine: MachineId,
        replicas: &[AttemptId],
    ) {
        self.unplaceable.extend(replicas.iter().map(|attempt| UnplaceableReplica { machine, attempt: *attempt }));
        context.add_wait_reason(drain, format!("no room elsewhere for {} replicas of {machine}", replicas.len()));
    }

    /// Charges the batch tasks of a machine. A task becomes eligible once the class's `batch_wait` has elapsed since
    /// the drain of the machine started, and only if the class allows the eviction.
    fn charge_batch_tasks(
        &mut self,
        context: &mut ReconcileContext<'_>,
        machine: &DrainingMachine,
        allowances: &mut Allowances,
    ) {
        add_longest_batch_wait(context, machine);
        let waited = Duration::from_millis(context.wall.as_millis().saturating_sub(machine.started_at.as_millis()));
        let batch = machine.view.tasks.iter().filter(|task| task.kind != TaskKind::Replica && !task.stopping);
        for task in batch {
            if waited < self.policy.batch_wait(&task.class) || !self.may_evict(task) || self.is_charged(task) {
                continue;
            }
            let load = EvictionLoad::of_class(task.class.clone(), charge_for_task(task).task_count);
            match allowances.check(&load) {
                Ok(()) => self.charge(machine.id, &[task], allowances),
                Err(reason) => context.add_wait_reason(machine.drain.as_ref(), reason.to_string()),
            }
        }
    }

    /// Whether a task is charged already. For a task of a gang, the charge may belong to another machine.
    fn is_charged(&self, task: &TaskView) -> bool {
        let charge = charge_for_task(task);
        self.machine_drains.values().any(|machine_drain| machine_drain.charges.contains(&charge))
    }

    fn may_evict(&self, task: &TaskView) -> bool {
        let checkpoints = match task.kind {
            TaskKind::Replica => false,
            TaskKind::Batch { checkpoints } | TaskKind::Gang { checkpoints, .. } => checkpoints,
        };
        match self.policy.batch_eviction(&task.class) {
            BatchEviction::Never => false,
            BatchEviction::Checkpointed => checkpoints,
            BatchEviction::Always => true,
        }
    }

    /// Charges tasks of a machine, up to the number of charges that fit in its record. The others are charged in later
    /// reconciliations, when earlier charges have been released.
    pub(super) fn charge(&mut self, machine: MachineId, tasks: &[&TaskView], allowances: &mut Allowances) {
        let max_charges = self.max_charges_per_machine();
        let Some(machine_drain) = self.machine_drains.get_mut(&machine) else { return };
        for task in tasks {
            if machine_drain.charges.len() >= max_charges {
                return;
            }
            let charge = charge_for_task(task);
            if machine_drain.charges.insert(charge) && !task.already_unavailable {
                allowances.charge(&EvictionLoad::of_class(task.class.clone(), charge.task_count));
            }
        }
    }

    fn max_charges_per_machine(&self) -> usize {
        (self.max_value_bytes.saturating_sub(MAX_MACHINE_RECORD_OVERHEAD_BYTES) / MAX_CHARGE_BYTES).max(1)
    }

    /// Starts the drain of a machine. Keeps charges that remain from an earlier, cancelled drain, since their tasks may
    /// still be unavailable.
    pub(super) fn open_machine_drain(&mut self, machine: MachineId, drain: Option<String>, started_at: WallClock) {
        let MachineDrain { charges, evicted, .. } = self.machine_drains.remove(&machine).unwrap_or_default();
        let machine_drain = MachineDrain { drain, started_at, charges, evicted, uncordoned: false };
        self.machine_drains.insert(machine, machine_drain);
    }
}

fn add_longest_batch_wait(context: &mut ReconcileContext<'_>, machine: &DrainingMachine) {
    let Some((task, remaining)) = longest_batch_task(&machine.view) else { return };
    let steps = remaining.as_secs_f64().div_euclid(REMAINING_TIME_STEP_S);
    let within_s = steps * REMAINING_TIME_STEP_S + REMAINING_TIME_STEP_S;
    let reason = format!("{} of {} on {} ends within {within_s} s", task.attempt.task, task.class, machine.id);
    context.add_wait_reason(machine.drain.as_ref(), reason);
}

/// Returns the charge for evicting a task. For a task of a gang, it is the charge of the whole gang.
fn charge_for_task(task: &TaskView) -> BudgetCharge {
    let (index, task_count) = match task.kind {
        TaskKind::Gang { size, .. } => (None, size),
        _ => (Some(task.attempt.task.index), 1),
    };
    BudgetCharge { job: task.attempt.task.job, index, attempt: task.attempt.attempt, task_count }
}
