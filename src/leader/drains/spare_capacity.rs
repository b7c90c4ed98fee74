//! Spare capacity for replicas that have to leave their machines.

use crate::jobs::{self, Job};
use crate::leader::Leader;
use crate::types::{AttemptId, JobId, MachineId, Resources};
use crate::workers::{Machine, TaskAttempt};
use caperstile_disruption::SpareCapacity;
use std::collections::{BTreeSet, HashMap};

/// The capacity of one machine that is not reserved yet.
struct MachineCapacity<'a> {
    id: MachineId,
    /// None for one that is booting.
    machine: Option<&'a Machine>,
    machine_type: &'a str,
    zone_name: &'a str,
    zone: usize,
    free: Resources,
}

/// A job in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct JobZone {
    job: JobId,
    zone: usize,
}

/// Spare capacity that is reserved step by step, so that several replicas do not count on the same.
pub(crate) struct SpareCapacityPlanner<'a> {
    leader: &'a Leader,
    machines: Vec<MachineCapacity<'a>>,
    /// How many replicas of a job have a reservation in a zone.
    arriving: HashMap<JobZone, u32>,
    /// How many replicas of a job leave a zone.
    leaving: HashMap<JobZone, u32>,
    /// Only machines that hold the replica's image count, and replicas count where they are until they were moved.
    consolidating: bool,
}

/// The capacity that is reserved for one replica.
struct Reservation {
    /// Index of the machine.
    machine: usize,
    resources: Resources,
    arriving: JobZone,
    leaving: Option<JobZone>,
}

impl<'a> SpareCapacityPlanner<'a> {
    /// Capacity of on-demand machines that accept tasks and are reachable, without the excluded ones.
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

    /// The same, for replicas that are moved only to save cost.
    pub(crate) fn for_consolidation(leader: &'a Leader, from: MachineId) -> SpareCapacityPlanner<'a> {
        let planner = SpareCapacityPlanner::for_drains(leader, &BTreeSet::from([from]));
        SpareCapacityPlanner { consolidating: true, ..planner }
    }

    /// The same as for drains, with the capacity of machines that are booting.
    pub(crate) fn with_booting(leader: &'a Leader, excluded: &BTreeSet<MachineId>) -> SpareCapacityPlanner<'a> {
        let mut planner = SpareCapacityPlanner::for_drains(leader, excluded);
        planner.machines.extend(booting_machines(leader));
        planner
    }

    /// Full machines first, so that larger capacity stays together; those that are to be drained themselves last.
    fn sort(&mut self) {
        let is_member = |id: MachineId| self.leader.drains().is_some_and(|drains| drains.is_member(id));
        self.machines.sort_by_cached_key(|machine| (is_member(machine.id), machine.free.cpus));
    }

    /// Reserves capacity for all of these replicas, or for none.
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

    /// The index of the first machine that a replica may move to.
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

    /// The zone in which a replica is.
    fn zone_of(&self, job: &Job, replica: &TaskAttempt) -> Option<usize> {
        let machine = self.leader.machines.get(&job.placements.get(&replica.task.index)?.machine)?;
        self.leader.planning.names.zone_index_of(&machine.record.zone)
    }

    fn allows(&self, job: &Job, machine: &MachineCapacity<'_>) -> bool {
        job.spec.allows(machine.machine_type, machine.zone_name, false) && !job.failed_on.contains(&machine.id)
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

    /// How many more tasks of a job fit.
    pub(crate) fn remaining_tasks(&self, job: &Job) -> u64 {
        let machines = self.machines.iter().filter(|machine| self.allows(job, machine));
        machines.map(|machine| job.spec.resources.count_fitting(&machine.free)).sum()
    }
}

fn holds_image(capacity: &MachineCapacity<'_>, replica: &TaskAttempt) -> bool {
    capacity.machine.is_some_and(|machine| machine.images.contains(&replica.image))
}

/// On-demand machines that accept tasks and are reachable.
fn running_machines<'a>(leader: &'a Leader, excluded: &BTreeSet<MachineId>) -> Vec<MachineCapacity<'a>> {
    let overdue = leader.settings.deployment.workers.heartbeat_overdue_after();
    // One that is unreachable, as all are in a zone that is cut off, is no place to move to.
    let is_open = |machine: &&Machine| {
        !excluded.contains(&machine.id())
            && machine.accepts_tasks()
            && !machine.record.spot
            && machine.reached_within(leader.planning.last_round_at, overdue)
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
    leader.machines.values().filter(is_open).filter_map(capacity).collect()
}

/// On-demand machines that were rented and have not sent a heartbeat yet, or cannot be used yet.
fn booting_machines(leader: &Leader) -> Vec<MachineCapacity<'_>> {
    let capacity = |id: MachineId, machine_type, zone_name| {
        let free = jobs::capacity(leader.cloud.machine_type(machine_type)?);
        let zone = leader.planning.names.zone_index_of(zone_name)?;
        Some(MachineCapacity { id, machine: None, machine_type, zone_name, zone, free })
    };
    let pending = leader.cloud.pending().filter(|(_, instance)| !instance.spot);
    let pending = pending.filter_map(|(id, instance)| capacity(*id, &instance.machine_type, &instance.zone));
    let is_coming = |machine: &&Machine| !machine.record.spot && !machine.accepts_tasks() && machine.draining.is_none();
    let coming = leader.machines.values().filter(is_coming);
    let coming =
        coming.filter_map(|machine| capacity(machine.id(), &machine.record.machine_type, &machine.record.zone));
    pending.chain(coming).collect()
}

impl SpareCapacity for SpareCapacityPlanner<'_> {
    fn reserve(&mut self, from: MachineId, tasks: &[AttemptId]) -> bool {
        let Some(machine) = self.leader.machines.get(&from) else { return true };
        self.reserve_all(tasks.iter().filter_map(|attempt| machine.attempts.get(attempt)))
    }
}
