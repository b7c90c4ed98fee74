//! Headroom: room that is kept ahead for what must not wait until a machine has booted.

use super::MachineDemand;
use crate::arrivals::ClassArrivals;
use crate::leader::Leader;
use crate::plan::PlannedMachine;
use crate::types::{Duration, MachineId, Resources, Timestamp};
use std::collections::BTreeMap;

/// From a job's submission until a machine for it is asked for, and from its boot until it can be used.
const COMMIT_AND_REQUEST: Duration = Duration::from_secs(5);
/// Share of the tasks expected within a boot for which room is kept ahead; the others find that of jobs that end.
const CLASS_HEADROOM_SHARE: f64 = 0.5;
/// Room is kept for so many of the largest jobs of a class, whatever is expected.
const MIN_LARGEST_JOBS: u64 = 2;

/// Resources of machines that are kept for jobs that must start at once.
type ReservedRoom = BTreeMap<MachineId, Resources>;

/// Room of a machine that is not promised to anything yet.
struct FreeRoom {
    machine: MachineId,
    free: Resources,
    /// Resources of tasks that services may preempt.
    preemptible: Resources,
}

impl FreeRoom {
    /// Takes free room for this many tasks at the most; how many fit.
    fn take(&mut self, per_task: &Resources, limit: u64) -> u64 {
        let count = per_task.count_fitting(&self.free).min(limit);
        for _ in 0..count {
            self.free.saturating_sub(per_task);
        }
        count
    }

    /// The same with the room of tasks that may be preempted, which goes first.
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
    /// On-demand machines for what is likely to come before a machine rented for it would be up and must not wait so
    /// long: services, and jobs whose class has an objective at starting. Notes the machines whose room is kept for the
    /// latter.
    pub(super) fn headroom(&mut self, now: Timestamp, boot: Duration) -> Vec<MachineDemand> {
        let mut rooms = self.free_rooms();
        let mut demands: Vec<MachineDemand> = self.service_headroom(now, boot, &mut rooms).into_iter().collect();
        self.planning.latency_sensitive_classes = self.settings.deployment.classes_with_wait_objective_below(boot);
        let mut reserved = ReservedRoom::new();
        for class in self.latency_sensitive_arrivals() {
            demands.extend(self.class_headroom(now, boot, class, &mut rooms, &mut reserved));
        }
        self.reserve_headroom(reserved);
        demands
    }

    /// Arrivals of the classes that must start at once, the highest priority first; services have headroom of their own.
    fn latency_sensitive_arrivals(&self) -> Vec<&ClassArrivals> {
        let names = &self.planning.latency_sensitive_classes;
        let classes = self.planning.arrivals.classes().filter(|(name, _)| names.contains(*name));
        let classes = classes.map(|(_, class)| class).filter(|class| !class.largest_job().is_service);
        let mut classes: Vec<&ClassArrivals> = classes.collect();
        classes.sort_by_key(|class| class.largest_job().priority);
        classes
    }

    /// Keeps this room from now on. Machines whose part changes are planned anew.
    fn reserve_headroom(&mut self, reserved: ReservedRoom) {
        let old = &self.planning.headroom;
        let changed = old.keys().chain(reserved.keys()).filter(|id| old.get(id) != reserved.get(id));
        self.planning.changed_machines.extend(changed);
        self.planning.headroom = reserved;
    }

    /// Free room of machines, the fullest first, so that others become idle.
    fn free_rooms(&self) -> Vec<FreeRoom> {
        let room_of = |machine: &PlannedMachine| FreeRoom {
            machine: machine.id,
            free: machine.free,
            preemptible: machine.preemptible[0],
        };
        let mut rooms: Vec<FreeRoom> = self.planning.plans.machines().map(room_of).collect();
        rooms.sort_by_key(|room| (room.free.cpus, room.machine));
        rooms
    }

    /// Without room, even that of lower tasks, services would wait for the boot.
    fn service_headroom(&self, now: Timestamp, boot: Duration, rooms: &mut [FreeRoom]) -> Option<MachineDemand> {
        let expected = self.expected_services(boot.as_secs_f64())?;
        let job = expected.typical_job;
        let profile = self.planning_view().job_profile(job);
        let mut missing = expected.tasks + self.replicas_out_of_reach(now) + self.replicas_held_back(now);
        for room in rooms.iter_mut() {
            let machine = self.planning.plans.machine(room.machine);
            if missing > 0 && machine.is_some_and(|machine| profile.predicted_duration(machine).is_some()) {
                missing -= room.take_with_preemption(&job.spec.resources, missing);
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

    /// Room for jobs of a class that are likely to come within a boot: what ends meanwhile makes room for half of them,
    /// but the largest one must find room at any time.
    fn class_headroom(
        &self,
        now: Timestamp,
        boot: Duration,
        class: &ClassArrivals,
        rooms: &mut [FreeRoom],
        reserved: &mut ReservedRoom,
    ) -> Option<MachineDemand> {
        let spec = class.largest_job();
        let expected = class.expected_tasks(now, boot + COMMIT_AND_REQUEST);
        if expected <= 0.0 {
            return None;
        }
        let for_largest_jobs = MIN_LARGEST_JOBS * u64::from(spec.task_count);
        let mut missing = ((expected * CLASS_HEADROOM_SHARE).ceil() as u64).max(for_largest_jobs);
        let profile = self.planning_view().spec_profile(spec, Vec::new());
        for room in rooms.iter_mut() {
            let machine = self.planning.plans.machine(room.machine);
            let may_run_there = machine.is_some_and(|machine| profile.predicted_duration(machine).is_some());
            let taken = if may_run_there { room.take(&spec.resources, missing) } else { 0 };
            if taken > 0 {
                let reserved = reserved.entry(room.machine).or_default();
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
