//! Scale-in: consolidates services onto fewer machines, and releases machines that are idle.

use crate::leader::Leader;
use crate::leader::drains::SpareCapacityPlanner;
use crate::types::{Duration, MachineId, Timestamp, WallClock};
use crate::workers::{DrainReason, Machine, StopReason, TaskAttempt};
use caperstile_disruption::Coordinator;
use log::info;

/// Minimum time that a replica has run, and that this leader has led, before consolidation moves the replica. A start
/// counts only if the task is not stopped within 30 s.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_secs(40);
/// The cloud charges a machine for at least this time, so releasing it earlier saves nothing.
const MINIMUM_CHARGE: Duration = Duration::from_secs(60);
/// Savings are compared as integers, in ten-thousandths of the price unit.
const SAVING_PRECISION: f64 = 1e4;
/// Grace period of stopped replicas. They save no checkpoint, so they are stopped at once.
const STOP_GRACE_S: f64 = 0.0;

impl Leader {
    /// Empties an on-demand machine if its services fit on other machines that hold their images. Moving a replica then
    /// takes a fraction of a second, and the release of an on-demand machine saves its high price.
    pub(crate) fn consolidate(&mut self, now: Timestamp, wall: WallClock) {
        if !self.may_consolidate(now) {
            return;
        }
        let Some(id) = self.best_consolidation_candidate(now) else { return };
        if self.drain_state.coordinator.as_ref().is_some_and(Coordinator::enabled) {
            if self.consolidate_within_budgets(now, wall, id) {
                info!("consolidation started machine={id} within_budgets=true");
            }
        } else {
            self.consolidate_now(id);
        }
    }

    /// Whether a consolidation may start: all machines are fenced, so that their tasks are known, no other
    /// consolidation is in progress, this leader has led for `MIN_RUN_BEFORE_MOVE`, and no request for more machines is
    /// in flight.
    fn may_consolidate(&self, now: Timestamp) -> bool {
        let consolidating = self.machines.values().any(|machine| machine.draining == Some(DrainReason::Consolidated))
            || self.drain_state.coordinator.as_ref().is_some_and(Coordinator::is_consolidating);
        self.all_machines_fenced()
            && !consolidating
            && now.since(self.leader_since) >= MIN_RUN_BEFORE_MOVE
            && !self.cloud.scale_out_in_flight()
    }

    /// Returns the machine whose release saves the most per replica that has to move.
    fn best_consolidation_candidate(&self, now: Timestamp) -> Option<MachineId> {
        let boot_times_s = self.cloud.machine_types().into_iter().flatten().map(|machine_type| machine_type.boot_s);
        let longest_boot_s = boot_times_s.fold(0.0, f64::max);
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

    /// Returns the replicas on a reachable on-demand machine if it is not on trial, runs nothing else, has no queued
    /// tasks, has used up its minimum charge and all replicas may be moved. Returns `None` otherwise.
    fn movable_services<'a>(
        &self,
        now: Timestamp,
        id: MachineId,
        machine: &'a Machine,
    ) -> Option<Vec<&'a TaskAttempt>> {
        let overdue_after = self.settings.deployment.workers.heartbeat_overdue_after();
        let is_eligible = machine.accepts_tasks()
            && !machine.quarantine.is_on_trial()
            && !machine.record.spot
            && machine.reached_within(now, overdue_after)
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

    /// Stops all replicas on a machine, so that they start on other machines, and drains it.
    fn consolidate_now(&mut self, id: MachineId) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let running = machine.attempts.iter().filter(|(_, attempt)| attempt.occupies_resources());
        let running: Vec<_> = running.map(|(attempt, _)| *attempt).collect();
        info!("consolidation started machine={id} services={}", running.len());
        machine.draining = Some(DrainReason::Consolidated);
        for attempt in running {
            self.stop_attempt(id, attempt, STOP_GRACE_S, StopReason::Consolidated);
        }
        self.planning.plans.remove_machine(id);
    }

    /// Whether the replicas of a machine fit on other machines that hold their images, and enough capacity remains for
    /// the services that are likely to be submitted soon.
    fn services_fit_elsewhere(&self, from: MachineId, services: &[&TaskAttempt], boot_s: f64) -> bool {
        let mut capacity = SpareCapacityPlanner::for_consolidation(self, from);
        if !capacity.reserve_all(services.iter().copied()) {
            return false;
        }
        let Some(expected) = self.expected_services(boot_s) else { return true };
        capacity.remaining_tasks(expected.typical_job) >= expected.tasks
    }

    /// Releases machines that have been idle for long enough and are kept neither as headroom nor as replacements for a
    /// drain.
    pub(crate) fn scale_in_idle(&mut self, now: Timestamp) {
        let mut idle = self.idle_machines(now);
        idle.retain(|id| !self.is_retained_replacement(*id));
        for id in idle {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.draining = Some(DrainReason::Idle);
            }
            self.planning.plans.remove_machine(id);
            self.cloud.release(id, DrainReason::Idle);
        }
    }

    /// Updates since when each machine is idle, and returns those that have reached their idle timeout, are not needed
    /// as headroom and have used up the minimum charge.
    fn idle_machines(&mut self, now: Timestamp) -> Vec<MachineId> {
        let overdue_after = self.settings.deployment.workers.heartbeat_overdue_after();
        let mut idle = Vec::new();
        for (id, machine) in &mut self.machines {
            let is_busy = machine.attempts.values().any(TaskAttempt::occupies_resources)
                || self.planning.plans.machine(*id).is_some_and(|planned| !planned.queue.is_empty());
            if is_busy || !machine.accepts_tasks() || !machine.reached_within(now, overdue_after) {
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
            let is_not_headroom = is_spot || !self.planning.headroom.contains_key(id);
            let minimum_charge_used = now.since(machine.known_since) >= MINIMUM_CHARGE;
            if is_not_headroom && minimum_charge_used && now.since(idle_since) >= idle_timeout {
                idle.push(*id);
            }
        }
        idle
    }
}

/// Whether an attempt belongs to a service (only services have no predicted duration), has run for long enough and is
/// not being stopped.
fn is_movable_service(attempt: &TaskAttempt, now: Timestamp) -> bool {
    let has_run_long_enough = attempt.running_since.is_some_and(|since| now.since(since) > MIN_RUN_BEFORE_MOVE);
    attempt.predicted_duration.is_none() && has_run_long_enough && attempt.stop_grace_s.is_none()
}
