//! The fleet as drains see it.

use super::RoomPlanner;
use crate::gang;
use crate::intake::{Job, Placed};
use crate::records::MachineRecord;
use crate::term::Term;
use crate::types::{AttemptId, Duration, MachineId, Timestamp, WallClock};
use crate::workers::{Hold, Machine, Phase};
use caperstile_disruption::records::Charge;
use caperstile_disruption::{
    ChargeState, Demand, Fleet, MachineView, Place, Rooms, Supply, TaskClass, TaskKind, TaskView,
};
use std::collections::{BTreeMap, BTreeSet};

/// A term at one moment.
pub(super) struct FleetView<'a> {
    term: &'a Term,
    now: Timestamp,
    wall: WallClock,
    overdue: Duration,
}

impl<'a> FleetView<'a> {
    pub(super) fn new(term: &'a Term, now: Timestamp, wall: WallClock) -> FleetView<'a> {
        FleetView { term, now, wall, overdue: term.settings.deployment.workers.overdue() }
    }

    fn reachable(&self, machine: &Machine) -> bool {
        machine.in_reach(self.now, self.overdue)
    }

    fn hold(&self, placed: &Placed) -> Option<&Hold> {
        self.term.machines.get(&placed.machine)?.holds.get(&placed.key)
    }

    fn task(&self, machine: &Machine, key: &AttemptId, hold: &Hold) -> Option<TaskView> {
        let job = self.term.jobs.get(hold.task.job)?;
        let saves = job.record.checkpoint.as_millis() > 0;
        let kind = match (job.record.service, job.record.gang) {
            (true, _) => TaskKind::Replica,
            (false, true) => TaskKind::Gang { saves, tasks: job.record.tasks },
            (false, false) => TaskKind::Batch { saves },
        };
        let ends_in = hold.predicted.map(|predicted| (hold.since + predicted).since(self.now));
        Some(TaskView {
            key: *key,
            class: class_of(job),
            kind,
            stopping: stopping(hold),
            counted: kind == TaskKind::Replica && !(runs(hold) && self.reachable(machine)),
            ends_in,
        })
    }

    fn task_charge_state(&self, job: &Job, index: u32, charge: &Charge) -> ChargeState {
        let (class, replica) = (class_of(job), job.record.service);
        let out = ChargeState::Out { class: class.clone(), counted: replica };
        if job.done.contains(index) {
            return ChargeState::Returned;
        }
        let Some(placed) = job.placed.get(&index) else { return out };
        let Some(hold) = self.hold(placed) else { return out };
        match (placed.key.attempt == charge.attempt, stopping(hold)) {
            (_, true) => out,
            (false, false) if hold.phase == Phase::Running => ChargeState::Returned,
            (false, false) => out,
            (true, false) => {
                let reachable = self.term.machines.get(&placed.machine).is_some_and(|m| self.reachable(m));
                ChargeState::Standing { class, counted: replica && !(runs(hold) && reachable) }
            }
        }
    }

    fn gang_charge_state(&self, job: &Job, charge: &Charge) -> ChargeState {
        let class = class_of(job);
        let Some(gang) = &job.gang else { return ChargeState::Returned };
        let live = gang.attempt == Some(charge.attempt);
        match gang.phase {
            gang::Phase::Gathering { .. } | gang::Phase::Running if live => {
                ChargeState::Standing { class, counted: false }
            }
            gang::Phase::Running => ChargeState::Returned,
            _ => ChargeState::Out { class, counted: false },
        }
    }
}

/// Where and how a machine is rented.
pub(super) fn place_of(record: &MachineRecord) -> Place {
    Place { kind: record.kind.clone(), zone: record.zone.clone(), spot: record.spot }
}

fn class_of(job: &Job) -> TaskClass {
    TaskClass { team: job.record.team.clone(), class: job.record.class.clone() }
}

fn stopping(hold: &Hold) -> bool {
    hold.stop.is_some() || matches!(hold.phase, Phase::Saving | Phase::Exited)
}

fn runs(hold: &Hold) -> bool {
    hold.phase == Phase::Running && !stopping(hold)
}

impl Fleet for FleetView<'_> {
    fn settled(&self) -> bool {
        self.term.loaded() && self.term.open()
    }

    fn lost_zone(&self) -> Option<String> {
        let mut zones: Vec<&String> = self.term.lost_zones.keys().collect();
        zones.sort();
        zones.into_iter().find(|zone| self.term.lost_since(zone, self.now).is_some()).cloned()
    }

    fn machine_ids(&self) -> Vec<MachineId> {
        self.term.machines.keys().copied().collect()
    }

    fn exists(&self, id: MachineId) -> bool {
        self.term.machines.contains_key(&id)
    }

    fn machine(&self, id: MachineId) -> Option<MachineView> {
        let machine = self.term.machines.get(&id)?;
        let on_machine = machine.holds.iter().filter(|(_, hold)| hold.claimed && hold.occupies());
        Some(MachineView {
            place: place_of(&machine.record),
            rented_at: machine.record.at,
            reachable: self.reachable(machine),
            // One that is out of order keeps the services that run on it, so it does not go by itself.
            leaving: self.term.inventory.is_returning(id) || machine.notice.is_some(),
            tasks: on_machine.filter_map(|(key, hold)| self.task(machine, key, hold)).collect(),
        })
    }

    fn demand(&self) -> BTreeMap<TaskClass, Demand> {
        let mut demand: BTreeMap<(&str, &str), Demand> = BTreeMap::new();
        let counts = |job: &&Job| job.durable && !job.cancelling;
        for job in self.term.jobs.live().filter(counts) {
            let class = demand.entry((&job.record.team, &job.record.class)).or_default();
            let wanted = job.record.tasks.saturating_sub(job.done.len());
            class.wanted += wanted;
            class.unavailable += if job.record.service { wanted } else { 0 };
        }
        for machine in self.term.machines.values().filter(|machine| self.reachable(machine)) {
            // Services alone have no predicted end.
            let replicas = machine.holds.values().filter(|hold| hold.claimed && hold.predicted.is_none() && runs(hold));
            for job in replicas.filter_map(|hold| self.term.jobs.get(hold.task.job)).filter(counts) {
                if let Some(class) = demand.get_mut(&(job.record.team.as_str(), job.record.class.as_str())) {
                    class.unavailable = class.unavailable.saturating_sub(u32::from(job.record.service));
                }
            }
        }
        let owned = |((team, class), demand): ((&str, &str), Demand)| {
            (TaskClass { team: team.to_string(), class: class.to_string() }, demand)
        };
        demand.into_iter().map(owned).collect()
    }

    fn charge_state(&self, charge: &Charge) -> ChargeState {
        let job = self.term.jobs.get(charge.job).filter(|job| !job.cancelling);
        match (job, charge.index) {
            (None, _) => ChargeState::Returned,
            (Some(job), Some(index)) => self.task_charge_state(job, index, charge),
            (Some(job), None) => self.gang_charge_state(job, charge),
        }
    }

    fn rooms<'a>(&'a self, without: &BTreeSet<MachineId>) -> Box<dyn Rooms + 'a> {
        Box::new(RoomPlanner::for_drains(self.term, without))
    }

    fn supply(&self, place: &Place, since: WallClock, without: &BTreeSet<MachineId>) -> Supply {
        let inventory = &self.term.inventory;
        let here = |kind: &str, zone: &str, spot: bool| {
            (kind, zone, spot) == (place.kind.as_str(), place.zone.as_str(), place.spot)
        };
        let fresh = |m: &&Machine| {
            here(&m.record.kind, &m.record.zone, m.record.spot)
                && m.record.at >= since
                && !without.contains(&m.id())
                && m.draining.is_none()
                && m.notice.is_none()
                && !inventory.is_returning(m.id())
        };
        let (up, coming): (Vec<&Machine>, Vec<&Machine>) =
            self.term.machines.values().filter(fresh).partition(|m| m.usable() && self.reachable(m));
        let booting = inventory.booting().filter(|(_, b)| here(&b.kind, &b.zone, b.spot));
        let booting = booting.filter(|(_, b)| self.wall.at_timestamp(self.now, b.since) >= since).count();
        Supply {
            up: up.len() as u32,
            booting: (coming.len() + booting) as u32,
            refused: inventory.refused(&(place.kind.clone(), place.zone.clone(), place.spot), self.now),
        }
    }
}
