//! The fleet as the drain coordinator sees it, derived from the leader's state.

use super::SpareCapacityPlanner;
use crate::cloud;
use crate::gang::GangPhase;
use crate::jobs::{Job, Placement};
use crate::leader::Leader;
use crate::types::{AttemptId, Duration, MachineId, Timestamp, WallClock};
use crate::workers::{AttemptPhase, Machine, TaskAttempt};
use crate::write_ahead_log::MachineRecord;
use caperstile_disruption::records::BudgetCharge;
use caperstile_disruption::{
    ChargeState, ClassAvailability, Fleet, InstancePool, MachineView, ReplacementSupply, SpareCapacity, TaskClass,
    TaskKind, TaskView,
};
use std::collections::{BTreeMap, BTreeSet};

/// A view of a leader's machines and jobs at one point in time.
pub(super) struct FleetView<'a> {
    leader: &'a Leader,
    now: Timestamp,
    wall: WallClock,
    /// A machine that was not reached within this time is unreachable.
    overdue_after: Duration,
}

impl<'a> FleetView<'a> {
    /// Creates a view of the leader's current state.
    pub(super) fn new(leader: &'a Leader, now: Timestamp, wall: WallClock) -> FleetView<'a> {
        FleetView { leader, now, wall, overdue_after: leader.settings.deployment.workers.heartbeat_overdue_after() }
    }

    fn is_reachable(&self, machine: &Machine) -> bool {
        machine.reached_within(self.now, self.overdue_after)
    }

    /// Whether a replica is available: it is running, is not being stopped, and its machine is reachable.
    fn is_available(&self, machine: &Machine, task: &TaskAttempt) -> bool {
        is_running(task) && self.is_reachable(machine)
    }

    fn attempt(&self, placement: &Placement) -> Option<&TaskAttempt> {
        self.leader.machines.get(&placement.machine)?.attempts.get(&placement.attempt)
    }

    fn task_view(&self, machine: &Machine, attempt: &AttemptId, task: &TaskAttempt) -> Option<TaskView> {
        let job = self.leader.jobs.get(task.task.job)?;
        let kind = kind_of(job);
        let remaining = |predicted: Duration| (task.requested_at + predicted).since(self.now);
        Some(TaskView {
            attempt: *attempt,
            class: class_of(job),
            kind,
            stopping: is_stopping(task),
            already_unavailable: kind == TaskKind::Replica && !self.is_available(machine, task),
            predicted_remaining: task.predicted_duration.map(remaining),
        })
    }

    fn task_charge_state(&self, job: &Job, index: u32, charge: &BudgetCharge) -> ChargeState {
        let (class, is_replica) = (class_of(job), job.spec.is_service);
        let disrupted = ChargeState::Disrupted { class: class.clone(), already_unavailable: is_replica };
        if job.finished.contains(index) {
            return ChargeState::Released;
        }
        let Some(placement) = job.placements.get(&index) else { return disrupted };
        let Some(task) = self.attempt(placement) else { return disrupted };
        if is_stopping(task) {
            return disrupted;
        }
        if placement.attempt.attempt != charge.attempt {
            let is_replaced = task.phase == AttemptPhase::Running;
            return if is_replaced { ChargeState::Released } else { disrupted };
        }
        let machine = self.leader.machines.get(&placement.machine);
        let is_available = machine.is_some_and(|machine| self.is_available(machine, task));
        ChargeState::Pending { class, already_unavailable: is_replica && !is_available }
    }

    fn gang_charge_state(&self, job: &Job, charge: &BudgetCharge) -> ChargeState {
        let class = class_of(job);
        let Some(gang) = &job.gang else { return ChargeState::Released };
        let is_charged_attempt = gang.attempt == Some(charge.attempt);
        match gang.phase {
            GangPhase::AwaitingMembers { .. } | GangPhase::Running if is_charged_attempt => {
                ChargeState::Pending { class, already_unavailable: false }
            }
            GangPhase::Running => ChargeState::Released,
            _ => ChargeState::Disrupted { class, already_unavailable: false },
        }
    }

    /// Returns the desired number of tasks by team and class. Every replica counts as unavailable at first; the caller
    /// subtracts the available ones.
    fn desired(&self) -> BTreeMap<ClassKey<'_>, ClassAvailability> {
        let mut availability: BTreeMap<ClassKey<'_>, ClassAvailability> = BTreeMap::new();
        for job in self.leader.jobs.live().filter(|job| counts_as_desired(job)) {
            let class = availability.entry(ClassKey::of(job)).or_default();
            let desired = job.spec.task_count.saturating_sub(job.finished.len());
            class.desired += desired;
            class.unavailable += if job.spec.is_service { desired } else { 0 };
        }
        availability
    }

    /// Iterates over the jobs of the replicas that run on a machine, with one entry per replica.
    fn running_replicas(&self, machine: &'a Machine) -> impl Iterator<Item = &'a Job> {
        // Only attempts of services have no predicted duration.
        let replicas = machine
            .attempts
            .values()
            .filter(|task| task.assigned && task.predicted_duration.is_none() && is_running(task));
        let jobs = replicas.filter_map(|task| self.leader.jobs.get(task.task.job));
        jobs.filter(|job| counts_as_desired(job) && job.spec.is_service)
    }
}

/// Team and class of a job, borrowed from its specification. The borrowed form of `TaskClass`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey<'a> {
    team: &'a str,
    class: &'a str,
}

impl<'a> ClassKey<'a> {
    fn of(job: &'a Job) -> ClassKey<'a> {
        ClassKey { team: &job.spec.team, class: &job.spec.class }
    }

    fn to_class(self) -> TaskClass {
        TaskClass { team: self.team.to_string(), class: self.class.to_string() }
    }
}

/// Returns the instance pool that a machine belongs to.
pub(super) fn pool_of(record: &MachineRecord) -> InstancePool {
    InstancePool { machine_type: record.machine_type.clone(), zone: record.zone.clone(), spot: record.spot }
}

fn class_of(job: &Job) -> TaskClass {
    ClassKey::of(job).to_class()
}

fn kind_of(job: &Job) -> TaskKind {
    let checkpoints = job.spec.checkpoint_interval.as_millis() > 0;
    match (job.spec.is_service, job.spec.is_gang) {
        (true, _) => TaskKind::Replica,
        (false, true) => TaskKind::Gang { checkpoints, size: job.spec.task_count },
        (false, false) => TaskKind::Batch { checkpoints },
    }
}

/// Whether the tasks of a job count as desired in its class: the job is durable and is not being cancelled.
fn counts_as_desired(job: &Job) -> bool {
    job.durable && !job.cancelling
}

fn is_stopping(task: &TaskAttempt) -> bool {
    task.stop_grace_s.is_some() || matches!(task.phase, AttemptPhase::Checkpointing | AttemptPhase::Exited)
}

fn is_running(task: &TaskAttempt) -> bool {
    task.phase == AttemptPhase::Running && !is_stopping(task)
}

impl Fleet for FleetView<'_> {
    fn is_complete(&self) -> bool {
        self.leader.is_loaded() && self.leader.all_machines_fenced()
    }

    fn unreachable_zone(&self) -> Option<String> {
        let mut zones: Vec<&String> = self.leader.zones.unreachable.keys().collect();
        zones.sort();
        zones.into_iter().find(|zone| self.leader.zone_unreachable_since(zone, self.now).is_some()).cloned()
    }

    fn machine_ids(&self) -> Vec<MachineId> {
        self.leader.machines.keys().copied().collect()
    }

    fn exists(&self, id: MachineId) -> bool {
        self.leader.machines.contains_key(&id)
    }

    fn machine(&self, id: MachineId) -> Option<MachineView> {
        let machine = self.leader.machines.get(&id)?;
        let on_machine = machine.attempts.iter().filter(|(_, task)| task.assigned && task.occupies_resources());
        Some(MachineView {
            pool: pool_of(&machine.record),
            provisioned_at: machine.record.provisioned_at,
            reachable: self.is_reachable(machine),
            // A quarantined machine keeps the services that run on it, so it does not become empty without a drain.
            terminating: self.leader.cloud.is_releasing(id) || machine.reclaim_at.is_some(),
            tasks: on_machine.filter_map(|(attempt, task)| self.task_view(machine, attempt, task)).collect(),
        })
    }

    fn availability(&self) -> BTreeMap<TaskClass, ClassAvailability> {
        let mut availability = self.desired();
        for machine in self.leader.machines.values().filter(|machine| self.is_reachable(machine)) {
            for job in self.running_replicas(machine) {
                if let Some(class) = availability.get_mut(&ClassKey::of(job)) {
                    class.unavailable = class.unavailable.saturating_sub(1);
                }
            }
        }
        availability.into_iter().map(|(class, availability)| (class.to_class(), availability)).collect()
    }

    fn charge_state(&self, charge: &BudgetCharge) -> ChargeState {
        let job = self.leader.jobs.get(charge.job).filter(|job| !job.cancelling);
        match (job, charge.index) {
            (None, _) => ChargeState::Released,
            (Some(job), Some(index)) => self.task_charge_state(job, index, charge),
            (Some(job), None) => self.gang_charge_state(job, charge),
        }
    }

    fn spare_capacity<'a>(&'a self, excluded: &BTreeSet<MachineId>) -> Box<dyn SpareCapacity + 'a> {
        Box::new(SpareCapacityPlanner::for_drains(self.leader, excluded))
    }

    fn replacement_supply(
        &self,
        pool: &InstancePool,
        since: WallClock,
        excluded: &BTreeSet<MachineId>,
    ) -> ReplacementSupply {
        let cloud = &self.leader.cloud;
        let pool = cloud::InstancePool::from(pool.clone());
        let is_replacement = |machine: &&Machine| {
            let record = &machine.record;
            is_in_pool(&pool, &record.machine_type, &record.zone, record.spot)
                && record.provisioned_at >= since
                && !excluded.contains(&machine.id())
                && machine.draining.is_none()
                && machine.reclaim_at.is_none()
                && !cloud.is_releasing(machine.id())
        };
        let (ready, booting): (Vec<&Machine>, Vec<&Machine>) = self
            .leader
            .machines
            .values()
            .filter(is_replacement)
            .partition(|machine| machine.accepts_tasks() && self.is_reachable(machine));
        let pending = cloud.pending().filter(|(_, instance)| {
            is_in_pool(&pool, &instance.machine_type, &instance.zone, instance.spot)
                && self.wall.at_timestamp(self.now, instance.requested_at) >= since
        });
        ReplacementSupply {
            ready: ready.len() as u32,
            booting: (booting.len() + pending.count()) as u32,
            recently_refused: cloud.recently_refused(&pool, self.now),
        }
    }
}

fn is_in_pool(pool: &cloud::InstancePool, machine_type: &str, zone: &str, spot: bool) -> bool {
    pool.machine_type == machine_type && pool.zone == zone && pool.spot == spot
}
