//! The fleet as drains see it.

use super::RoomPlanner;
use crate::gang;
use crate::jobs::{Job, Placement};
use crate::leader::Leader;
use crate::types::{AttemptId, Duration, MachineId, Timestamp, WallClock};
use crate::workers::{AttemptPhase, Machine, TaskAttempt};
use crate::write_ahead_log::MachineRecord;
use caperstile_disruption::records::Charge;
use caperstile_disruption::{
    ChargeState, Demand, Fleet, InstancePool, MachineView, Rooms, Supply, TaskClass, TaskKind, TaskView,
};
use std::collections::{BTreeMap, BTreeSet};

/// A term at one moment.
pub(super) struct FleetView<'a> {
    term: &'a Leader,
    now: Timestamp,
    wall: WallClock,
    overdue: Duration,
}

impl<'a> FleetView<'a> {
    pub(super) fn new(term: &'a Leader, now: Timestamp, wall: WallClock) -> FleetView<'a> {
        FleetView { term, now, wall, overdue: term.settings.deployment.workers.overdue() }
    }

    fn reachable(&self, machine: &Machine) -> bool {
        machine.reached_within(self.now, self.overdue)
    }

    fn hold(&self, placed: &Placement) -> Option<&TaskAttempt> {
        self.term.machines.get(&placed.machine)?.attempts.get(&placed.attempt)
    }

    fn task(&self, machine: &Machine, key: &AttemptId, hold: &TaskAttempt) -> Option<TaskView> {
        let job = self.term.jobs.get(hold.task.job)?;
        let saves = job.spec.checkpoint_interval.as_millis() > 0;
        let kind = match (job.spec.is_service, job.spec.is_gang) {
            (true, _) => TaskKind::Replica,
            (false, true) => TaskKind::Gang { saves, tasks: job.spec.task_count },
            (false, false) => TaskKind::Batch { saves },
        };
        let ends_in = hold.predicted_duration.map(|predicted| (hold.requested_at + predicted).since(self.now));
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
        let (class, replica) = (class_of(job), job.spec.is_service);
        let out = ChargeState::Out { class: class.clone(), counted: replica };
        if job.finished.contains(index) {
            return ChargeState::Returned;
        }
        let Some(placed) = job.placements.get(&index) else { return out };
        let Some(hold) = self.hold(placed) else { return out };
        match (placed.attempt.attempt == charge.attempt, stopping(hold)) {
            (_, true) => out,
            (false, false) if hold.phase == AttemptPhase::Running => ChargeState::Returned,
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
            gang::GangPhase::AwaitingMembers { .. } | gang::GangPhase::Running if live => {
                ChargeState::Standing { class, counted: false }
            }
            gang::GangPhase::Running => ChargeState::Returned,
            _ => ChargeState::Out { class, counted: false },
        }
    }
}

/// Where and how a machine is rented.
pub(super) fn place_of(record: &MachineRecord) -> InstancePool {
    InstancePool { kind: record.machine_type.clone(), zone: record.zone.clone(), spot: record.spot }
}

fn class_of(job: &Job) -> TaskClass {
    TaskClass { team: job.spec.team.clone(), class: job.spec.class.clone() }
}

fn stopping(hold: &TaskAttempt) -> bool {
    hold.stop_grace_s.is_some() || matches!(hold.phase, AttemptPhase::Checkpointing | AttemptPhase::Exited)
}

fn runs(hold: &TaskAttempt) -> bool {
    hold.phase == AttemptPhase::Running && !stopping(hold)
}

impl Fleet for FleetView<'_> {
    fn settled(&self) -> bool {
        self.term.is_loaded() && self.term.all_machines_fenced()
    }

    fn lost_zone(&self) -> Option<String> {
        let mut zones: Vec<&String> = self.term.zones.unreachable.keys().collect();
        zones.sort();
        zones.into_iter().find(|zone| self.term.zone_unreachable_since(zone, self.now).is_some()).cloned()
    }

    fn machine_ids(&self) -> Vec<MachineId> {
        self.term.machines.keys().copied().collect()
    }

    fn exists(&self, id: MachineId) -> bool {
        self.term.machines.contains_key(&id)
    }

    fn machine(&self, id: MachineId) -> Option<MachineView> {
        let machine = self.term.machines.get(&id)?;
        let on_machine = machine.attempts.iter().filter(|(_, hold)| hold.assigned && hold.occupies_resources());
        Some(MachineView {
            place: place_of(&machine.record),
            rented_at: machine.record.rented_at,
            reachable: self.reachable(machine),
            // One that is out of order keeps the services that run on it, so it does not go by itself.
            leaving: self.term.cloud.is_releasing(id) || machine.reclaim_at.is_some(),
            tasks: on_machine.filter_map(|(key, hold)| self.task(machine, key, hold)).collect(),
        })
    }

    fn demand(&self) -> BTreeMap<TaskClass, Demand> {
        let mut demand: BTreeMap<(&str, &str), Demand> = BTreeMap::new();
        let counts = |job: &&Job| job.durable && !job.cancelling;
        for job in self.term.jobs.live().filter(counts) {
            let class = demand.entry((&job.spec.team, &job.spec.class)).or_default();
            let wanted = job.spec.task_count.saturating_sub(job.finished.len());
            class.wanted += wanted;
            class.unavailable += if job.spec.is_service { wanted } else { 0 };
        }
        for machine in self.term.machines.values().filter(|machine| self.reachable(machine)) {
            // Services alone have no predicted end.
            let replicas = machine
                .attempts
                .values()
                .filter(|hold| hold.assigned && hold.predicted_duration.is_none() && runs(hold));
            for job in replicas.filter_map(|hold| self.term.jobs.get(hold.task.job)).filter(counts) {
                if let Some(class) = demand.get_mut(&(job.spec.team.as_str(), job.spec.class.as_str())) {
                    class.unavailable = class.unavailable.saturating_sub(u32::from(job.spec.is_service));
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

    fn supply(&self, place: &InstancePool, since: WallClock, without: &BTreeSet<MachineId>) -> Supply {
        let inventory = &self.term.cloud;
        let here = |kind: &str, zone: &str, spot: bool| {
            (kind, zone, spot) == (place.kind.as_str(), place.zone.as_str(), place.spot)
        };
        let fresh = |m: &&Machine| {
            here(&m.record.machine_type, &m.record.zone, m.record.spot)
                && m.record.rented_at >= since
                && !without.contains(&m.id())
                && m.draining.is_none()
                && m.reclaim_at.is_none()
                && !inventory.is_releasing(m.id())
        };
        let (up, coming): (Vec<&Machine>, Vec<&Machine>) =
            self.term.machines.values().filter(fresh).partition(|m| m.accepts_tasks() && self.reachable(m));
        let booting = inventory.pending().filter(|(_, b)| here(&b.machine_type, &b.zone, b.spot));
        let booting = booting.filter(|(_, b)| self.wall.at_timestamp(self.now, b.requested_at) >= since).count();
        Supply {
            up: up.len() as u32,
            booting: (coming.len() + booting) as u32,
            refused: inventory.recently_refused(&place.clone().into(), self.now),
        }
    }
}
