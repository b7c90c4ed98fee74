//! Free room for replicas that have to leave their machines.

use crate::intake::Job;
use crate::term::Term;
use crate::units::{JobId, MachineId, Resources, TaskAttempt};
use crate::workers::{Hold, Machine};
use caperstile_disruption::Rooms;
use std::collections::{BTreeSet, HashMap};

struct Room<'a> {
    machine: &'a Machine,
    zone: usize,
    free: Resources,
}

/// Room of machines that is given away step by step, so that several replicas do not count on the same.
pub(crate) struct RoomPlanner<'a> {
    term: &'a Term,
    rooms: Vec<Room<'a>>,
    /// Replicas of a job that were given room in a zone.
    moved: HashMap<(JobId, usize), u32>,
    /// Only machines that hold the replica's image count.
    needs_image: bool,
}

/// A replica's place: which room, and what it takes.
struct Given {
    room: usize,
    need: Resources,
    moved: (JobId, usize),
}

impl<'a> RoomPlanner<'a> {
    /// Room of ordinary machines that take work and are in reach, without these.
    pub(crate) fn new(term: &'a Term, without: &BTreeSet<MachineId>, needs_image: bool) -> RoomPlanner<'a> {
        let overdue = term.settings.deployment.workers.overdue();
        // One that is out of reach, as all are in a zone that is cut off, is no place to move to.
        let open = |m: &&Machine| {
            !without.contains(&m.id()) && m.usable() && !m.record.spot && m.in_reach(term.scheduled, overdue)
        };
        let room = |machine: &'a Machine| {
            let zone = term.names.zone(&machine.record.zone)?;
            Some(Room { machine, zone, free: machine.free() })
        };
        let mut rooms: Vec<Room<'a>> = term.machines.values().filter(open).filter_map(room).collect();
        // Full machines first, so that larger room stays together; those that are to be emptied themselves last.
        let leaves = |id: MachineId| term.drains().is_some_and(|drains| drains.is_member(id));
        rooms.sort_by_cached_key(|room| (leaves(room.machine.id()), room.free.cpus));
        RoomPlanner { term, rooms, moved: HashMap::new(), needs_image }
    }

    /// Gives room to all of these replicas, or to none.
    pub(crate) fn take_all<'h>(&mut self, holds: impl Iterator<Item = &'h Hold>) -> bool {
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

    fn take_one(&mut self, hold: &Hold) -> Option<Given> {
        let job = self.term.jobs.get(hold.task.job)?;
        let parts = self.term.parts();
        let zones = parts.by_zone(job);
        let id = job.record.id;
        let fits = |room: &Room<'_>| {
            // Counted as if the replica stayed where it is: on the safe side.
            let there = zones.get(&room.zone).copied().unwrap_or(0);
            let there = there + self.moved.get(&(id, room.zone)).copied().unwrap_or(0);
            hold.need.fits(&room.free)
                && (!self.needs_image || room.machine.images.contains(&hold.image))
                && parts.allowed(job, room.machine.id())
                && there < job.record.zone_cap()
                && !job.record.together
        };
        let room = self.rooms.iter().position(fits)?;
        let moved = (id, self.rooms[room].zone);
        self.rooms[room].free.sub(&hold.need);
        *self.moved.entry(moved).or_default() += 1;
        Some(Given { room, need: hold.need, moved })
    }

    fn give_back(&mut self, given: Vec<Given>) {
        for Given { room, need, moved } in given {
            self.rooms[room].free.add(&need);
            if let Some(count) = self.moved.get_mut(&moved) {
                *count -= 1;
            }
        }
    }

    /// How many more tasks of a job have room.
    pub(crate) fn count(&self, job: &Job) -> u64 {
        let parts = self.term.parts();
        let rooms = self.rooms.iter().filter(|room| parts.allowed(job, room.machine.id()));
        rooms.map(|room| job.record.need.times_in(&room.free)).sum()
    }
}

impl Rooms for RoomPlanner<'_> {
    fn take(&mut self, from: MachineId, tasks: &[TaskAttempt]) -> bool {
        let Some(machine) = self.term.machines.get(&from) else { return true };
        self.take_all(tasks.iter().filter_map(|key| machine.holds.get(key)))
    }
}
