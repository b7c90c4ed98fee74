//! Machines as the plan sees them: those with a worker, and those that are booting.

use super::*;
use crate::wire::MachineType;

/// A machine that does not accept tasks just now starts nothing sooner than this.
const NOT_ACCEPTING_START_DELAY: Duration = Duration::from_millis(500);
/// A machine that boots starts nothing sooner than this, however overdue it is.
const BOOTING_START_DELAY: Duration = Duration::from_secs(2);
/// Boots take somewhat longer than their type's boot time.
const BOOT_TIME_FACTOR: f64 = 1.05;
/// A task that was told to stop is expected to be gone after this time.
const STOP_DURATION: Duration = Duration::from_millis(100);
/// A task that is past its predicted end ends after a tenth of its predicted time, and no sooner than this.
const MIN_OVERDUE_DURATION: Duration = Duration::from_millis(300);

/// When a task is predicted to release its resources; `None` for one that runs until it is stopped.
pub(super) fn predicted_release(attempt: &TaskAttempt, now: Timestamp) -> Option<Timestamp> {
    if attempt.stop_grace_s.is_some() {
        return Some(now + STOP_DURATION);
    }
    let predicted = attempt.predicted_duration?;
    let end = attempt.requested_at + predicted;
    // Overdue: most likely it ends soon, but not at once.
    Some(end.max(now + (predicted / 10).max(MIN_OVERDUE_DURATION)))
}

/// Whether a task may be preempted for one of this priority: it must be of a lower one, end by itself, and not be
/// stopping already.
pub(super) fn may_be_preempted(attempt: &TaskAttempt, priority: u8) -> bool {
    let is_running = attempt.assigned && attempt.occupies_resources() && attempt.stop_grace_s.is_none();
    // Stopping one task of a gang loses the work of all.
    is_running && attempt.priority > priority && attempt.predicted_duration.is_some() && !attempt.in_gang
}

/// Services fill cheap machines that are in use; other tasks go to spot machines first. The fuller machine is
/// preferred, so that others become idle and can be given back.
fn placement_bias(machine_type: &MachineType, spot: bool, free: &Resources) -> PlacementBias {
    let price_per_cpu = (machine_type.price_per_hour / machine_type.cpus.max(1.0) * 1e4) as u64;
    PlacementBias { for_services: price_per_cpu << 32 | free.cpus, for_other_tasks: u64::from(!spot) << 32 | free.cpus }
}

/// What the plan is shown of a machine's running tasks.
#[derive(Default)]
struct RunningTasks {
    releases: Vec<ResourceRelease>,
    /// Resources that may be preempted, by the priority of what preempts them.
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
    /// A machine as the plan sees it; `None` if nothing may be planned there.
    pub(super) fn planned_machine(&mut self, now: Timestamp, id: MachineId) -> Option<PlannedMachine> {
        if self.cloud.is_releasing(id) {
            None
        } else if self.machines.contains_key(&id) {
            self.planned_worker_machine(now, id)
        } else {
            self.planned_booting_machine(id)
        }
    }

    /// A machine whose worker has sent heartbeats.
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
        let is_drained_soon = self.drain_state.coordinator.as_ref().is_some_and(|drains| drains.is_member(id));
        let bias = match is_drained_soon {
            true => PlacementBias::LAST,
            false => placement_bias(machine_type, machine.record.spot, &free),
        };
        Some(PlannedMachine {
            id,
            zone: self.planning.names.intern_zone(&machine.record.zone),
            machine_type: self.planning.names.intern_machine_type(&machine.record.machine_type),
            spot: machine.record.spot,
            ready_at: now,
            min_start_delay: if machine.accepts_tasks() { Duration::ZERO } else { NOT_ACCEPTING_START_DELAY },
            bias,
            free,
            preemptible,
            releases,
            headroom: self.planning.headroom.get(&id).copied().unwrap_or_default(),
            images: self.planning.names.intern_images(machine.images.iter()),
            ..PlannedMachine::default()
        })
    }

    /// A machine that was requested from the cloud and is not up yet.
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
