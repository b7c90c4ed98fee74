//! Headroom: capacity that is reserved ahead for tasks that must start before a new machine could boot.

use super::MachineDemand;
use crate::arrivals::ClassArrivals;
use crate::leader::Leader;
use crate::plan::PlannedMachine;
use crate::types::{Duration, MachineId, Resources, Timestamp};
use std::collections::BTreeMap;

/// Time that provisioning takes beyond the boot: from a job's submission, over the commit of its record, to the request
/// for a machine, and from the end of the boot until the machine accepts tasks.
const PROVISIONING_OVERHEAD: Duration = Duration::from_secs(5);
/// Share of the tasks expected within one boot time for which capacity is reserved. The others use the capacity of jobs
/// that end in the meantime.
const CLASS_HEADROOM_SHARE: f64 = 0.5;
/// The headroom of a class has capacity for at least this many of its largest jobs, however few tasks are expected.
const MIN_LARGEST_JOBS: u64 = 2;

/// Resources reserved on each machine for jobs that must start at once.
type ReservedCapacity = BTreeMap<MachineId, Resources>;

/// Capacity of a machine that no headroom of this round has taken yet.
struct FreeCapacity {
    machine: MachineId,
    free: Resources,
    /// Resources of the running tasks that a service may preempt.
    preemptible: Resources,
}

impl FreeCapacity {
    /// Takes free resources for at most `limit` tasks and returns for how many they were sufficient.
    fn take(&mut self, per_task: &Resources, limit: u64) -> u64 {
        let count = per_task.count_fitting(&self.free).min(limit);
        for _ in 0..count {
            self.free.saturating_sub(per_task);
        }
        count
    }

    /// Like `take`, but counts the resources of preemptible tasks as well and uses them before the free resources.
    fn take_with_preemption(&mut self, per_task: &Resources, limit: u64) -> u64 {
        let mut total = self.free;
        total.add(&self.preemptible);
        let count = per_task.count_fitting(&total).min(limit);
        for _ in 0..count {
            let mut from_free = *per_task;
            from_free.saturating_sub(&self.preemptible);
            self.preemptible.saturating_sub(per_task);
            self.free.saturating_sub(&from_free);
        }
        count
    }
}

impl Leader {
    /// Returns the demand for on-demand machines that run tasks likely to be submitted within the next boot time and
    /// that must not wait for a boot: those of services, and those of classes with an objective on the start time.
    /// Records on which machines capacity is reserved for these classes.
    pub(super) fn headroom(&mut self, now: Timestamp, boot: Duration) -> Vec<MachineDemand> {
        let mut capacities = self.free_capacities();
        let mut demands: Vec<MachineDemand> = self.service_headroom(now, boot, &mut capacities).into_iter().collect();
        self.planning.latency_sensitive_classes = self.settings.deployment.classes_with_wait_objective_below(boot);
        let mut reserved = ReservedCapacity::new();
        for class in self.latency_sensitive_arrivals() {
            demands.extend(self.class_headroom(now, boot, class, &mut capacities, &mut reserved));
        }
        self.replace_headroom(reserved);
        demands
    }

    /// Returns the arrivals of the classes whose jobs must start at once, the highest priority first. Classes of
    /// services are left out, since `service_headroom` covers them.
    fn latency_sensitive_arrivals(&self) -> Vec<&ClassArrivals> {
        let names = &self.planning.latency_sensitive_classes;
        let classes = self.planning.arrivals.classes().filter(|(name, _)| names.contains(*name));
        let classes = classes.map(|(_, class)| class).filter(|class| !class.largest_job().is_service);
        let mut classes: Vec<&ClassArrivals> = classes.collect();
        classes.sort_by_key(|class| class.largest_job().priority);
        classes
    }

    /// Replaces the reserved capacity. The machines on which it changes are replanned.
    fn replace_headroom(&mut self, reserved: ReservedCapacity) {
        let old = &self.planning.headroom;
        let changed = old.keys().chain(reserved.keys()).filter(|id| old.get(id) != reserved.get(id));
        self.planning.changed_machines.extend(changed);
        self.planning.headroom = reserved;
    }

    /// Returns the free capacity of all machines that are not on trial, the fullest machine first, so that headroom
    /// concentrates on few machines and others can become idle.
    fn free_capacities(&self) -> Vec<FreeCapacity> {
        let capacity_of = |machine: &PlannedMachine| FreeCapacity {
            machine: machine.id,
            free: machine.free,
            preemptible: machine.preemptible[0],
        };
        let is_on_trial =
            |id: MachineId| self.machines.get(&id).is_some_and(|machine| machine.quarantine.is_on_trial());
        let machines = self.planning.plans.machines().filter(|machine| !is_on_trial(machine.id));
        let mut capacities: Vec<FreeCapacity> = machines.map(capacity_of).collect();
        capacities.sort_by_key(|capacity| (capacity.free.cpus, capacity.machine));
        capacities
    }

    /// Returns the demand for the expected service tasks that do not fit into the free and preemptible capacity: they
    /// would have to wait for a machine to boot. Replicas that are likely to be lost with an unreachable or silent zone
    /// count as expected.
    fn service_headroom(
        &self,
        now: Timestamp,
        boot: Duration,
        capacities: &mut [FreeCapacity],
    ) -> Option<MachineDemand> {
        let expected = self.expected_services(boot.as_secs_f64())?;
        let job = expected.typical_job;
        let profile = self.planning_view().job_profile(job);
        let mut missing = expected.tasks + self.movable_unreachable_replicas(now) + self.deferred_replicas(now);
        for capacity in capacities.iter_mut() {
            let machine = self.planning.plans.machine(capacity.machine);
            if missing > 0 && machine.is_some_and(|machine| profile.predicted_duration(machine).is_some()) {
                missing -= capacity.take_with_preemption(&job.spec.resources, missing);
            }
        }
        Some(MachineDemand {
            job: job.spec.id,
            resources: job.spec.resources,
            count: missing as u32,
            allows_spot: false,
            allows_on_demand: true,
            machine_types: None,
            zone: None,
            max_per_zone: u32::MAX,
            colocate_in_zone: false,
        })
    }

    /// Reserves capacity for the tasks of a class that are likely to be submitted within one boot time, and returns the
    /// demand for what the machines lack. Half of the expected tasks can use the capacity of tasks that end in the
    /// meantime (`CLASS_HEADROOM_SHARE`), but capacity for at least `MIN_LARGEST_JOBS` of the class's
    /// largest job is reserved or requested as long as any tasks are expected.
    fn class_headroom(
        &self,
        now: Timestamp,
        boot: Duration,
        class: &ClassArrivals,
        capacities: &mut [FreeCapacity],
        reserved: &mut ReservedCapacity,
    ) -> Option<MachineDemand> {
        let spec = class.largest_job();
        let expected = class.expected_tasks(now, boot + PROVISIONING_OVERHEAD);
        if expected <= 0.0 {
            return None;
        }
        let for_largest_jobs = MIN_LARGEST_JOBS * u64::from(spec.task_count);
        let mut missing = ((expected * CLASS_HEADROOM_SHARE).ceil() as u64).max(for_largest_jobs);
        let profile = self.planning_view().spec_profile(spec, Vec::new());
        for capacity in capacities.iter_mut() {
            let machine = self.planning.plans.machine(capacity.machine);
            let may_run = machine.is_some_and(|machine| profile.predicted_duration(machine).is_some());
            let taken = if may_run { capacity.take(&spec.resources, missing) } else { 0 };
            if taken > 0 {
                let reserved = reserved.entry(capacity.machine).or_default();
                (0..taken).for_each(|_| reserved.add(&spec.resources));
                missing -= taken;
            }
        }
        Some(MachineDemand {
            job: spec.id,
            resources: spec.resources,
            count: missing as u32,
            allows_spot: false,
            allows_on_demand: true,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            max_per_zone: spec.max_tasks_per_zone(),
            colocate_in_zone: spec.colocate_in_zone,
        })
    }
}
