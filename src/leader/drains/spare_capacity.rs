//! Spare capacity for replicas that are evicted from their machines.

use crate::jobs::{self, Job};
use crate::leader::Leader;
use crate::types::{AttemptId, JobId, MachineId, Resources};
use crate::workers::{Machine, TaskAttempt};
use caperstile_disruption::SpareCapacity;
use std::collections::{BTreeSet, HashMap};

/// A machine with its capacity that is not reserved yet.
struct MachineCapacity<'a> {
    id: MachineId,
    /// `None` for a booting instance.
    machine: Option<&'a Machine>,
    machine_type: &'a str,
    zone_name: &'a str,
    zone: usize,
    free: Resources,
}

/// A job and a zone, as a key for the replicas of the job in the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct JobZone {
    job: JobId,
    zone: usize,
}

/// Plans moves of replicas by reserving spare capacity for one after the other, so that no two replicas are planned on
/// the same capacity.
pub(crate) struct SpareCapacityPlanner<'a> {
    leader: &'a Leader,
    machines: Vec<MachineCapacity<'a>>,
    /// Number of replicas by job and target zone for which capacity is reserved.
    arriving: HashMap<JobZone, u32>,
    /// Number of replicas by job and current zone that are to be moved.
    leaving: HashMap<JobZone, u32>,
    /// Whether replicas are moved only to save cost. Then only machines that hold a replica's image are eligible, and a
    /// replica counts against the limit of its current zone until it has been moved.
    consolidating: bool,
}

/// Capacity that is reserved for one replica.
struct Reservation {
    /// Index in `SpareCapacityPlanner::machines`.
    machine: usize,
    resources: Resources,
    arriving: JobZone,
    leaving: Option<JobZone>,
}

impl<'a> SpareCapacityPlanner<'a> {
    /// Plans with the free capacity of reachable on-demand machines that accept tasks, without the excluded machines.
    pub(crate) fn for_drains(leader: &'a Leader, excluded: &BTreeSet<MachineId>) -> SpareCapacityPlanner<'a> {
        let mut planner = SpareCapacityPlanner {
            leader,
            machines: running_machines(leader, excluded),
            arriving: HashMap::new(),
            leaving: HashMap::new(),
            consolidating: false,
        };
        planner.sort();
        planner
    }

    /// Like `for_drains`, but for replicas that are moved from the given machine only to save cost.
    pub(crate) fn for_consolidation(leader: &'a Leader, from: MachineId) -> SpareCapacityPlanner<'a> {
        let planner = SpareCapacityPlanner::for_drains(leader, &BTreeSet::from([from]));
        SpareCapacityPlanner { consolidating: true, ..planner }
    }

    /// Like `for_drains`, with the capacity of booting instances in addition.
    pub(crate) fn with_booting(leader: &'a Leader, excluded: &BTreeSet<MachineId>) -> SpareCapacityPlanner<'a> {
        let mut planner = SpareCapacityPlanner::for_drains(leader, excluded);
        planner.machines.extend(booting_machines(leader));
        planner
    }

    /// Orders the machines by free CPUs, the fullest machine first, so that large free capacity on other machines is
    /// preserved. Members of running drains come last, since they will be emptied themselves.
    fn sort(&mut self) {
        let is_member = |id: MachineId| self.leader.drains().is_some_and(|drains| drains.is_in_running_drain(id));
        self.machines.sort_by_cached_key(|machine| (is_member(machine.id), machine.free.cpus));
    }

    /// Reserves capacity for all of these replicas and returns true, or reserves nothing and returns false.
    pub(crate) fn reserve_all<'t>(&mut self, replicas: impl Iterator<Item = &'t TaskAttempt>) -> bool {
        let mut reservations = Vec::new();
        for replica in replicas {
            let Some(reservation) = self.reserve_one(replica) else {
                self.cancel(reservations);
                return false;
            };
            reservations.push(reservation);
        }
        true
    }

    fn reserve_one(&mut self, replica: &TaskAttempt) -> Option<Reservation> {
        let job = self.leader.jobs.get(replica.task.job)?;
        let leaving = self.zone_of(job, replica).filter(|_| !self.consolidating);
        let leaving = leaving.map(|zone| JobZone { job: job.spec.id, zone });
        if let Some(leaving) = leaving {
            *self.leaving.entry(leaving).or_default() += 1;
        }
        let Some(machine) = self.find_machine(job, replica) else {
            self.cancel_leaving(leaving);
            return None;
        };
        let arriving = JobZone { job: job.spec.id, zone: self.machines[machine].zone };
        self.machines[machine].free.saturating_sub(&replica.resources);
        *self.arriving.entry(arriving).or_default() += 1;
        Some(Reservation { machine, resources: replica.resources, arriving, leaving })
    }

    /// Returns the index of the first machine that a replica may move to.
    fn find_machine(&self, job: &Job, replica: &TaskAttempt) -> Option<usize> {
        if job.spec.colocate_in_zone {
            return None;
        }
        let tasks_by_zone = self.leader.planning_view().tasks_by_zone(job);
        let task_count = |zone: usize| {
            let key = JobZone { job: job.spec.id, zone };
            let count = |counts: &HashMap<JobZone, u32>| counts.get(&key).copied().unwrap_or(0);
            let present = tasks_by_zone.get(&zone).copied().unwrap_or(0);
            (present + count(&self.arriving)).saturating_sub(count(&self.leaving))
        };
        self.machines.iter().position(|machine| {
            replica.resources.fits(&machine.free)
                && self.allows(job, machine)
                && (!self.consolidating || holds_image(machine, replica))
                && task_count(machine.zone) < job.spec.max_tasks_per_zone()
        })
    }

    /// Returns the index of the zone in which a replica runs.
    fn zone_of(&self, job: &Job, replica: &TaskAttempt) -> Option<usize> {
        let machine = self.leader.machines.get(&job.placements.get(&replica.task.index)?.machine)?;
        self.leader.planning.names.zone_index_of(&machine.record.zone)
    }

    fn allows(&self, job: &Job, machine: &MachineCapacity<'_>) -> bool {
        let is_avoided = job.failed_on.avoids(self.leader.planning.last_round_at, machine.id);
        job.spec.allows(machine.machine_type, machine.zone_name, false) && !is_avoided
    }

    fn cancel(&mut self, reservations: Vec<Reservation>) {
        for reservation in reservations {
            self.machines[reservation.machine].free.add(&reservation.resources);
            if let Some(count) = self.arriving.get_mut(&reservation.arriving) {
                *count -= 1;
            }
            self.cancel_leaving(reservation.leaving);
        }
    }

    fn cancel_leaving(&mut self, leaving: Option<JobZone>) {
        if let Some(count) = leaving.and_then(|leaving| self.leaving.get_mut(&leaving)) {
            *count -= 1;
        }
    }

    /// Returns how many more tasks of a job fit into the capacity that is not reserved.
    pub(crate) fn remaining_tasks(&self, job: &Job) -> u64 {
        let machines = self.machines.iter().filter(|machine| self.allows(job, machine));
        machines.map(|machine| job.spec.resources.count_fitting(&machine.free)).sum()
    }
}

fn holds_image(capacity: &MachineCapacity<'_>, replica: &TaskAttempt) -> bool {
    capacity.machine.is_some_and(|machine| machine.images.contains(&replica.image))
}

/// Returns the reachable on-demand machines that accept tasks, are not on trial and have free CPUs.
fn running_machines<'a>(leader: &'a Leader, excluded: &BTreeSet<MachineId>) -> Vec<MachineCapacity<'a>> {
    let overdue_after = leader.settings.deployment.workers.heartbeat_overdue_after();
    // Replicas cannot be moved to an unreachable machine, such as those of an isolated zone.
    let is_eligible = |machine: &&Machine| {
        !excluded.contains(&machine.id())
            && machine.accepts_tasks()
            && !machine.quarantine.is_on_trial()
            && !machine.record.spot
            && machine.reached_within(leader.planning.last_round_at, overdue_after)
    };
    let capacity = |machine: &'a Machine| {
        let free = machine.free_resources();
        (free.cpus > 0).then_some(())?;
        Some(MachineCapacity {
            id: machine.id(),
            machine: Some(machine),
            machine_type: &machine.record.machine_type,
            zone_name: &machine.record.zone,
            zone: leader.planning.names.zone_index_of(&machine.record.zone)?,
            free,
        })
    };
    leader.machines.values().filter(is_eligible).filter_map(capacity).collect()
}

/// Returns the on-demand machines that have been provisioned but do not accept tasks yet: pending instances, and
/// discovered machines that are not fenced or not durably registered yet.
fn booting_machines(leader: &Leader) -> Vec<MachineCapacity<'_>> {
    let capacity = |id: MachineId, machine_type, zone_name| {
        let free = jobs::capacity(leader.cloud.machine_type(machine_type)?);
        let zone = leader.planning.names.zone_index_of(zone_name)?;
        Some(MachineCapacity { id, machine: None, machine_type, zone_name, zone, free })
    };
    let pending = leader.cloud.pending().filter(|(_, instance)| !instance.spot);
    let pending = pending.filter_map(|(id, instance)| capacity(*id, &instance.machine_type, &instance.zone));
    let is_booting = |machine: &&Machine| !machine.record.spot && !machine.is_ready() && machine.draining.is_none();
    let booting = leader.machines.values().filter(is_booting);
    let booting =
        booting.filter_map(|machine| capacity(machine.id(), &machine.record.machine_type, &machine.record.zone));
    pending.chain(booting).collect()
}

impl SpareCapacity for SpareCapacityPlanner<'_> {
    fn reserve(&mut self, from: MachineId, tasks: &[AttemptId]) -> bool {
        let Some(machine) = self.leader.machines.get(&from) else { return true };
        self.reserve_all(tasks.iter().filter_map(|attempt| machine.attempts.get(attempt)))
    }
}
