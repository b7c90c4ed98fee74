//! Free room for replicas that have to leave their machines.

use crate::jobs::{self, Job};
use crate::leader::Leader;
use crate::types::{AttemptId, JobId, MachineId, Resources};
use crate::workers::{Machine, TaskAttempt};
use caperstile_disruption::Rooms;
use std::collections::{BTreeSet, HashMap};

/// Room of one machine that is not given away yet.
struct Room<'a> {
    id: MachineId,
    /// None for one that is on its way.
    machine: Option<&'a Machine>,
    kind: &'a str,
    zone_name: &'a str,
    zone: usize,
    free: Resources,
}

/// Room of machines that is given away step by step, so that several replicas do not count on the same.
pub(crate) struct RoomPlanner<'a> {
    term: &'a Leader,
    rooms: Vec<Room<'a>>,
    /// Replicas of a job that were given room in a zone.
    arrived: HashMap<(JobId, usize), u32>,
    /// Replicas of a job that leave a zone.
    left: HashMap<(JobId, usize), u32>,
    /// Only machines that hold the replica's image count, and replicas count where they are until they were moved.
    cautious: bool,
}

/// A replica's new place: which room, and what it takes.
struct Given {
    room: usize,
    need: Resources,
    arrived: (JobId, usize),
    left: Option<(JobId, usize)>,
}

impl<'a> RoomPlanner<'a> {
    /// Room of ordinary machines that take work and are in reach, without these.
    pub(crate) fn for_drains(term: &'a Leader, without: &BTreeSet<MachineId>) -> RoomPlanner<'a> {
        let mut planner = RoomPlanner {
            term,
            rooms: rooms_up(term, without),
            arrived: HashMap::new(),
            left: HashMap::new(),
            cautious: false,
        };
        planner.sort();
        planner
    }

    /// The same, for replicas that are moved only to save money.
    pub(crate) fn for_consolidation(term: &'a Leader, from: MachineId) -> RoomPlanner<'a> {
        RoomPlanner { cautious: true, ..RoomPlanner::for_drains(term, &BTreeSet::from([from])) }
    }

    /// The same as for drains, with room of machines that are on their way.
    pub(crate) fn with_booting(term: &'a Leader, without: &BTreeSet<MachineId>) -> RoomPlanner<'a> {
        let mut planner = RoomPlanner::for_drains(term, without);
        planner.rooms.extend(rooms_on_their_way(term));
        planner
    }

    /// Full machines first, so that larger room stays together; those that are to be emptied themselves last.
    fn sort(&mut self) {
        let leaves = |id: MachineId| self.term.drains().is_some_and(|drains| drains.is_member(id));
        self.rooms.sort_by_cached_key(|room| (leaves(room.id), room.free.cpus));
    }

    /// Gives room to all of these replicas, or to none.
    pub(crate) fn take_all<'h>(&mut self, holds: impl Iterator<Item = &'h TaskAttempt>) -> bool {
        let mut given = Vec::new();
        for hold in holds {
            let Some(place) = self.take_one(hold) else {
                self.give_back(given);
                return false;
            };
            given.push(place);
        }
        true
    }

    fn take_one(&mut self, hold: &TaskAttempt) -> Option<Given> {
        let job = self.term.jobs.get(hold.task.job)?;
        let id = job.spec.id;
        let left = self.zone_of(job, hold).filter(|_| !self.cautious).map(|zone| (id, zone));
        if let Some(left) = left {
            *self.left.entry(left).or_default() += 1;
        }
        let zones = self.term.planning_view().tasks_by_zone(job);
        let counted = |zone: usize| {
            let there = zones.get(&zone).copied().unwrap_or(0) + self.arrived.get(&(id, zone)).copied().unwrap_or(0);
            there.saturating_sub(self.left.get(&(id, zone)).copied().unwrap_or(0))
        };
        let room = self.rooms.iter().position(|room| {
            hold.resources.fits(&room.free)
                && self.allowed(job, room)
                && (!self.cautious || room.machine.is_some_and(|machine| machine.images.contains(&hold.image)))
                && counted(room.zone) < job.spec.max_tasks_per_zone()
                && !job.spec.colocate_in_zone
        });
        let Some(room) = room else {
            self.returns(left);
            return None;
        };
        let arrived = (id, self.rooms[room].zone);
        self.rooms[room].free.saturating_sub(&hold.resources);
        *self.arrived.entry(arrived).or_default() += 1;
        Some(Given { room, need: hold.resources, arrived, left })
    }

    /// The zone in which a replica is.
    fn zone_of(&self, job: &Job, hold: &TaskAttempt) -> Option<usize> {
        let machine = self.term.machines.get(&job.placements.get(&hold.task.index)?.machine)?;
        self.term.planning.names.zone_index_of(&machine.record.zone)
    }

    fn allowed(&self, job: &Job, room: &Room<'_>) -> bool {
        job.spec.allows(room.kind, room.zone_name, false) && !job.failed_on.contains(&room.id)
    }

    fn returns(&mut self, left: Option<(JobId, usize)>) {
        if let Some(count) = left.and_then(|left| self.left.get_mut(&left)) {
            *count -= 1;
        }
    }

    fn give_back(&mut self, given: Vec<Given>) {
        for Given { room, need, arrived, left } in given {
            self.rooms[room].free.add(&need);
            if let Some(count) = self.arrived.get_mut(&arrived) {
                *count -= 1;
            }
            self.returns(left);
        }
    }

    /// How many more tasks of a job have room.
    pub(crate) fn count(&self, job: &Job) -> u64 {
        let rooms = self.rooms.iter().filter(|room| self.allowed(job, room));
        rooms.map(|room| job.spec.resources.copies_in(&room.free)).sum()
    }
}

/// Ordinary machines that take work and are in reach.
fn rooms_up<'a>(term: &'a Leader, without: &BTreeSet<MachineId>) -> Vec<Room<'a>> {
    let overdue = term.settings.deployment.workers.overdue();
    // One that is out of reach, as all are in a zone that is cut off, is no place to move to.
    let open = |m: &&Machine| {
        !without.contains(&m.id())
            && m.accepts_tasks()
            && !m.record.spot
            && m.reached_within(term.planning.last_round_at, overdue)
    };
    let room = |machine: &'a Machine| {
        let free = machine.free_resources();
        (free.cpus > 0).then_some(())?;
        Some(Room {
            id: machine.id(),
            machine: Some(machine),
            kind: &machine.record.machine_type,
            zone_name: &machine.record.zone,
            zone: term.planning.names.zone_index_of(&machine.record.zone)?,
            free,
        })
    };
    term.machines.values().filter(open).filter_map(room).collect()
}

/// Ordinary machines that were rented and have not reported yet, or cannot be used yet.
fn rooms_on_their_way(term: &Leader) -> Vec<Room<'_>> {
    let booting = term.cloud.pending().filter(|(_, b)| !b.spot);
    let booting = booting.map(|(id, b)| (*id, b.machine_type.as_str(), b.zone.as_str()));
    let coming = term.machines.values().filter(|m| !m.record.spot && !m.accepts_tasks() && m.draining.is_none());
    let coming = coming.map(|m| (m.id(), m.record.machine_type.as_str(), m.record.zone.as_str()));
    let room = |(id, kind, zone_name): (MachineId, _, _)| {
        let free = jobs::capacity(term.cloud.machine_type(kind)?);
        Some(Room { id, machine: None, kind, zone_name, zone: term.planning.names.zone_index_of(zone_name)?, free })
    };
    booting.chain(coming).filter_map(room).collect()
}

impl Rooms for RoomPlanner<'_> {
    fn take(&mut self, from: MachineId, tasks: &[AttemptId]) -> bool {
        let Some(machine) = self.term.machines.get(&from) else { return true };
        self.take_all(tasks.iter().filter_map(|key| machine.attempts.get(key)))
    }
}
