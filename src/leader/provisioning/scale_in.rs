//! Scaling in: machines that are emptied because their services fit elsewhere, and idle ones that are given back.

use crate::leader::Leader;
use crate::leader::drains::SpareCapacityPlanner;
use crate::types::{Duration, MachineId, Timestamp, WallClock};
use crate::workers::{DrainReason, Machine, TaskAttempt};
use caperstile_disruption::Coordinator;
use log::info;

/// How long a replica runs, and a leader leads, before replicas are moved: a start counts only if the task is not stopped
/// within 30 s.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_secs(40);
/// A machine is paid for this time at least, which is better used than wasted.
const MINIMUM_CHARGE: Duration = Duration::from_secs(60);
/// Savings are compared as whole ten-thousandths of the price unit.
const SAVING_PRECISION: f64 = 1e4;
/// Stopped replicas get no time to end by themselves, as they save nothing.
const STOP_GRACE_S: f64 = 0.0;

impl Leader {
    /// Empties an on-demand machine whose services fit on others that hold their images: a replica is
    /// moved within a fraction of a second, and an on-demand machine is dear.
    pub(crate) fn consolidate(&mut self, now: Timestamp, wall: WallClock) {
        if !self.may_consolidate(now) {
            return;
        }
        let Some(id) = self.best_to_consolidate(now) else { return };
        if self.drain_state.coordinator.as_ref().is_some_and(Coordinator::enabled) {
            if self.consolidate_within_budgets(now, wall, id) {
                info!("consolidation started machine={id} within_budgets=true");
            }
        } else {
            self.consolidate_now(id);
        }
    }

    /// One consolidation at a time, by a leader that knows all machines, and not while more are being rented.
    fn may_consolidate(&self, now: Timestamp) -> bool {
        let consolidating = self.machines.values().any(|machine| machine.draining == Some(DrainReason::Consolidated))
            || self.drain_state.coordinator.as_ref().is_some_and(Coordinator::is_consolidating);
        self.all_machines_fenced()
            && !consolidating
            && now.since(self.leader_since) >= MIN_RUN_BEFORE_MOVE
            && !self.cloud.scale_out_in_flight()
    }

    /// The machine that saves most for each service that has to move.
    fn best_to_consolidate(&self, now: Timestamp) -> Option<MachineId> {
        let boots_s = self.cloud.machine_types().into_iter().flatten().map(|machine_type| machine_type.boot_s);
        let longest_boot_s = boots_s.fold(0.0, f64::max);
        let mut best: Option<(u64, MachineId)> = None;
        for (id, machine) in &self.machines {
            let Some(services) = self.movable_services(now, *id, machine) else { continue };
            let machine_type = self.cloud.machine_type(&machine.record.machine_type);
            let price_per_hour = machine_type.map_or(0.0, |machine_type| machine_type.price_per_hour);
            let saving = (price_per_hour * SAVING_PRECISION) as u64 / (services.len() as u64);
            let is_better = best.is_none_or(|(best_saving, _)| saving > best_saving);
            if is_better && self.services_fit_elsewhere(*id, &services, longest_boot_s) {
                best = Some((saving, *id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The services of an on-demand machine that runs nothing else, if all of them may be moved.
    fn movable_services<'a>(
        &self,
        now: Timestamp,
        id: MachineId,
        machine: &'a Machine,
    ) -> Option<Vec<&'a TaskAttempt>> {
        let overdue = self.settings.deployment.workers.heartbeat_overdue_after();
        let is_eligible = machine.accepts_tasks()
            && !machine.record.spot
            && machine.reached_within(now, overdue)
            && now.since(machine.known_since) >= MINIMUM_CHARGE
            && !self.has_queued_tasks(id);
        if !is_eligible {
            return None;
        }
        let attempts = machine.attempts.values().filter(|attempt| attempt.occupies_resources());
        let services: Vec<&TaskAttempt> = attempts.collect();
        let all_movable = services.iter().all(|attempt| is_movable_service(attempt, now));
        (!services.is_empty() && all_movable).then_some(services)
    }

    fn has_queued_tasks(&self, id: MachineId) -> bool {
        self.planning.plans.machine(id).is_some_and(|planned| !planned.queue.is_empty())
    }

    /// Stops all services of a machine, to start elsewhere, and drains it.
    fn consolidate_now(&mut self, id: MachineId) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let running = machine.attempts.iter().filter(|(_, attempt)| attempt.occupies_resources());
        let running: Vec<_> = running.map(|(attempt, _)| *attempt).collect();
        info!("consolidation started machine={id} services={}", running.len());
        machine.draining = Some(DrainReason::Consolidated);
        for attempt in running {
            self.stop_attempt(id, attempt, STOP_GRACE_S);
        }
        self.planning.plans.remove_machine(id);
    }

    /// Whether services of a machine fit into free room of others that hold their images, with room
    /// left for those that are likely to come.
    fn services_fit_elsewhere(&self, from: MachineId, services: &[&TaskAttempt], boot_s: f64) -> bool {
        let mut capacity = SpareCapacityPlanner::for_consolidation(self, from);
        if !capacity.reserve_all(services.iter().copied()) {
            return false;
        }
        let Some(expected) = self.expected_services(boot_s) else { return true };
        capacity.remaining_tasks(expected.typical_job) >= expected.tasks
    }

    /// Gives back what has been idle for long enough and is not kept as headroom or for a drain.
    pub(crate) fn scale_in_idle(&mut self, now: Timestamp) {
        let mut idle = self.idle_machines(now);
        idle.retain(|id| !self.is_replacement(*id));
        for id in idle {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.draining = Some(DrainReason::Idle);
            }
            self.planning.plans.remove_machine(id);
            self.cloud.release(id, DrainReason::Idle);
        }
    }

    /// Notes since when each machine is idle; those that have been for long enough.
    fn idle_machines(&mut self, now: Timestamp) -> Vec<MachineId> {
        let overdue = self.settings.deployment.workers.heartbeat_overdue_after();
        let mut idle = Vec::new();
        for (id, machine) in &mut self.machines {
            let is_busy = machine.attempts.values().any(TaskAttempt::occupies_resources)
                || self.planning.plans.machine(*id).is_some_and(|planned| !planned.queue.is_empty());
            if is_busy || !machine.accepts_tasks() || !machine.reached_within(now, overdue) {
                machine.idle_since = None;
                continue;
            }
            let idle_since = *machine.idle_since.get_or_insert(now);
            let is_spot = machine.record.spot;
            let idle_timeout = if is_spot {
                self.settings.tuning.spot_idle_timeout
            } else {
                self.settings.tuning.on_demand_idle_timeout
            };
            let is_spare = is_spot || !self.planning.headroom.contains_key(id);
            let is_paid_for = now.since(machine.known_since) >= MINIMUM_CHARGE;
            if is_spare && is_paid_for && now.since(idle_since) >= idle_timeout {
                idle.push(*id);
            }
        }
        idle
    }
}

/// Whether an attempt is of a service, has run for long enough and is not being stopped.
fn is_movable_service(attempt: &TaskAttempt, now: Timestamp) -> bool {
    let has_settled = attempt.running_since.is_some_and(|since| now.since(since) > MIN_RUN_BEFORE_MOVE);
    attempt.predicted_duration.is_none() && has_settled && attempt.stop_grace_s.is_none()
}
