//! Converts registered machines and pending instances to the machines on which the plan places tasks.

use super::*;
use crate::wire::MachineType;
use crate::workers::TRIAL_RUN_TIME;

/// Minimum delay that the plan assumes for starts on a machine that does not accept tasks at the moment.
const NOT_ACCEPTING_START_DELAY: Duration = Duration::from_millis(500);
/// Minimum delay that the plan assumes for starts on a machine on trial, so that only those tasks are queued behind the
/// trial that would wait for longer elsewhere.
const TRIAL_START_DELAY: Duration = TRIAL_RUN_TIME;
/// Minimum delay that the plan assumes for starts on a booting machine, even if it should have been up already.
const BOOTING_START_DELAY: Duration = Duration::from_secs(2);
/// Ratio of the boot time that the plan assumes to the nominal boot time of the machine type; boots usually take
/// somewhat longer than the nominal time.
const BOOT_TIME_FACTOR: f64 = 1.05;
/// Time after which an attempt that is being stopped is assumed to have released its resources.
const STOP_DURATION: Duration = Duration::from_millis(100);
/// Minimum remaining time that is assumed for an attempt past its predicted end. The assumed remaining time is a tenth
/// of its predicted duration, if that is longer.
const MIN_OVERDUE_DURATION: Duration = Duration::from_millis(300);

/// When an attempt is predicted to release its resources; `None` for a service that is not being stopped.
pub(super) fn predicted_release(attempt: &TaskAttempt, now: Timestamp) -> Option<Timestamp> {
    if attempt.stop_grace_s.is_some() {
        return Some(now + STOP_DURATION);
    }
    let predicted = attempt.predicted_duration?;
    let end = attempt.requested_at + predicted;
    // An overdue attempt is likely to end soon, but not at once.
    Some(end.max(now + (predicted / 10).max(MIN_OVERDUE_DURATION)))
}

/// Whether an attempt may be preempted by a job of this priority: it belongs to a job of lower priority, is neither a
/// service nor part of a gang, and is not being stopped already.
pub(super) fn may_be_preempted(attempt: &TaskAttempt, priority: u8) -> bool {
    let is_running = attempt.assigned && attempt.occupies_resources() && attempt.stop_grace_s.is_none();
    // Stopping one task of a gang would lose the work of all of its tasks.
    is_running && attempt.priority > priority && attempt.predicted_duration.is_some() && !attempt.in_gang
}

/// Tie-breaker between otherwise equal machines. Services go to the machine type with the lowest price per CPU, other
/// tasks to spot instances first. Then the machine with fewer free CPUs is preferred, so that other machines become
/// idle and can be released.
fn placement_bias(machine_type: &MachineType, spot: bool, free: &Resources) -> PlacementBias {
    let price_per_cpu = (machine_type.price_per_hour / machine_type.cpus.max(1.0) * 1e4) as u64;
    PlacementBias { for_services: price_per_cpu << 32 | free.cpus, for_other_tasks: u64::from(!spot) << 32 | free.cpus }
}

/// Minimum delay that the plan assumes for starts on a registered machine.
fn min_start_delay(machine: &Machine) -> Duration {
    if machine.quarantine.is_on_trial() {
        TRIAL_START_DELAY
    } else if machine.accepts_tasks() {
        Duration::ZERO
    } else {
        NOT_ACCEPTING_START_DELAY
    }
}

/// Predicted releases and preemptible resources of a machine's running tasks.
#[derive(Default)]
struct RunningTasks {
    releases: Vec<ResourceRelease>,
    /// Resources of preemptible tasks, by the priority of the preempting job.
    preemptible: [Resources; plan::PREEMPTING_PRIORITIES],
}

impl RunningTasks {
    fn of(machine: &Machine, now: Timestamp) -> RunningTasks {
        let mut running = RunningTasks::default();
        for attempt in machine.attempts.values().filter(|attempt| attempt.occupies_resources()) {
            let resources = attempt.resources;
            running.releases.extend(predicted_release(attempt, now).map(|at| ResourceRelease { at, resources }));
            for (priority, preemptible) in (0..).zip(&mut running.preemptible) {
                if may_be_preempted(attempt, priority) {
                    preemptible.add(&resources);
                }
            }
        }
        running
    }
}

impl Leader {
    /// The machine as the plan sees it; `None` if no tasks may be planned on it, for example because it is being
    /// released.
    pub(super) fn planned_machine(&mut self, now: Timestamp, id: MachineId) -> Option<PlannedMachine> {
        if self.cloud.is_releasing(id) {
            None
        } else if self.machines.contains_key(&id) {
            self.planned_worker_machine(now, id)
        } else {
            self.planned_booting_machine(id)
        }
    }

    /// A registered machine; `None` while it drains, is being reclaimed or is unreachable.
    fn planned_worker_machine(&mut self, now: Timestamp, id: MachineId) -> Option<PlannedMachine> {
        let machine = self.machines.get_mut(&id)?;
        let overdue = self.settings.deployment.workers.heartbeat_overdue_after();
        let machine_type = self.cloud.machine_type(&machine.record.machine_type)?;
        if machine.capacity == Resources::default() {
            machine.capacity = jobs::capacity(machine_type);
        }
        if machine.draining.is_some() || machine.reclaim_at.is_some() || !machine.reached_within(now, overdue) {
            return None;
        }
        let RunningTasks { releases, preemptible } = RunningTasks::of(machine, now);
        let free = machine.free_resources();
        let is_drain_member =
            self.drain_state.coordinator.as_ref().is_some_and(|drains| drains.is_in_running_drain(id));
        let bias = match is_drain_member {
            true => PlacementBias::LEAST_PREFERRED,
            false => placement_bias(machine_type, machine.record.spot, &free),
        };
        Some(PlannedMachine {
            id,
            zone: self.planning.names.intern_zone(&machine.record.zone),
            machine_type: self.planning.names.intern_machine_type(&machine.record.machine_type),
            spot: machine.record.spot,
            ready_at: now,
            min_start_delay: min_start_delay(machine),
            bias,
            free,
            preemptible,
            releases,
            headroom: self.planning.headroom.get(&id).copied().unwrap_or_default(),
            images: self.planning.names.intern_images(machine.images.iter()),
            ..PlannedMachine::default()
        })
    }

    /// A pending instance, with all of its capacity free once it is up; `None` if its zone is suspected to be
    /// unreachable.
    fn planned_booting_machine(&mut self, id: MachineId) -> Option<PlannedMachine> {
        let pending =
            self.cloud.pending_instance(id).filter(|pending| !self.zones.suspected.contains(&pending.zone))?;
        let machine_type = self.cloud.machine_type(&pending.machine_type)?;
        let free = jobs::capacity(machine_type);
        Some(PlannedMachine {
            id,
            zone: self.planning.names.intern_zone(&pending.zone),
            machine_type: self.planning.names.intern_machine_type(&pending.machine_type),
            spot: pending.spot,
            ready_at: pending.requested_at + Duration::from_secs_f64(machine_type.boot_s * BOOT_TIME_FACTOR),
            min_start_delay: BOOTING_START_DELAY,
            bias: placement_bias(machine_type, pending.spot, &free),
            free,
            ..PlannedMachine::default()
        })
    }
}
