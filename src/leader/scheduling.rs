//! Scheduling: runs the leader's periodic rounds, which assign pending tasks to machine queues, start queued tasks that
//! fit into the free resources of their machine, and preempt tasks of lower priority.

use crate::arrivals::Arrivals;
use crate::cloud;
use crate::effects::Effect;
use crate::jobs::{self, Job};
use crate::leader::{InputContext, Leader};
use crate::plan::{
    self, Correction, JobDirectory, JobProfile, PlacementBias, PlannedMachine, PlannedTasks, Plans, PredictedDurations,
    QueueEntry, QueuePriority, ResourceRelease, ZoneAllowance,
};
use crate::types::{AttemptId, Duration, JobId, MachineId, Resources, TaskId, Timestamp, WallClock};
use crate::workers::{Machine, StopReason, TaskAttempt};
use log::{debug, info};
use quotas::TeamUsage;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod gangs;
mod machine_view;
mod name_interner;
mod pacing;
mod planning_view;
mod preemption;
mod quotas;
mod reclaims;
mod reservation;
mod starts;
mod unplanned_jobs;
mod work_stealing;

pub(crate) use name_interner::NameInterner;
pub(crate) use pacing::Pacing;

/// Minimum interval between two periodic drain rounds. A successful write of drain records triggers additional rounds.
const MIN_DRAIN_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The queues of all machines, and the state that planning carries over from one round to the next.
pub(super) struct Planning {
    pub(super) plans: Plans,
    /// Ratio of actual to estimated run time (the paper's CorrecFAST), by which run-time estimates are scaled.
    pub(super) correction: Correction,
    /// Recent job arrivals by class, from which the demand for headroom is estimated.
    pub(super) arrivals: Arrivals,
    /// Classes with an objective that requires their jobs to start sooner than a new machine can boot.
    pub(super) latency_sensitive_classes: BTreeSet<String>,
    /// Part of each machine's free resources that is reserved for jobs that must start at once.
    pub(super) headroom: BTreeMap<MachineId, Resources>,
    /// Indexes of zones, machine types and images, which the plan uses in place of their names.
    pub(super) names: NameInterner,
    /// Machines whose entries in `plans` are outdated and are refreshed at the beginning of the next round.
    pub(super) changed_machines: BTreeSet<MachineId>,
    /// First job that the last round did not get to because its evaluation budget was used up; the next round continues
    /// with it. `None` if the last round got through all jobs.
    pub(super) resume_from: Option<JobId>,
    /// Whether something has changed since the last round, so that the next one runs before provisioning is due.
    pub(super) replan_needed: bool,
    /// When the last round of planning began.
    pub(super) last_round_at: Timestamp,
    /// When the last round of provisioning began.
    pub(super) last_provisioning_at: Timestamp,
    /// When the waiting jobs were last logged.
    pub(super) waiting_jobs_logged_at: Timestamp,
    /// Intervals between rounds and the evaluation budget of a round.
    pub(super) pacing: Pacing,
}

impl Default for Planning {
    fn default() -> Self {
        Planning {
            plans: Plans::default(),
            correction: Correction::default(),
            arrivals: Arrivals::default(),
            latency_sensitive_classes: BTreeSet::new(),
            headroom: BTreeMap::new(),
            names: NameInterner::default(),
            changed_machines: BTreeSet::new(),
            resume_from: None,
            replan_needed: true,
            last_round_at: Timestamp::ZERO,
            last_provisioning_at: Timestamp::ZERO,
            waiting_jobs_logged_at: Timestamp::ZERO,
            pacing: Pacing::default(),
        }
    }
}

impl Planning {
    /// Machines with at least one queued task.
    fn machines_with_queue(&self) -> Vec<MachineId> {
        self.plans.machines().filter(|machine| !machine.queue.is_empty()).map(|machine| machine.id).collect()
    }

    /// Machines on which a task may be able to start: those with a queue, and those with free CPUs, which can steal
    /// work.
    fn machines_with_queue_or_free_cpus(&self) -> Vec<MachineId> {
        let may_start = |machine: &&PlannedMachine| !machine.queue.is_empty() || machine.free.cpus > 0;
        self.plans.machines().filter(may_start).map(|machine| machine.id).collect()
    }
}

/// Position of a job's tasks in machine queues, from the job's effective priority and its order of arrival.
pub(crate) fn queue_priority(job: &Job) -> QueuePriority {
    QueuePriority { priority: job.effective_priority, sequence: job.queue_order }
}

/// Whether tasks of this job may start in headroom. Headroom is meant for latency-sensitive classes; services and jobs
/// that were promoted because of starvation may use it as well.
fn may_use_headroom(job: &Job, latency_sensitive_classes: &BTreeSet<String>) -> bool {
    job.spec.is_service || job.is_promoted() || latency_sensitive_classes.contains(&job.spec.class)
}

impl Leader {
    /// Runs a round of planning if one is due. Provisioning and drains have longer intervals of their own; if they are
    /// due, they run in the same call, but only while the leader's lease is valid.
    pub(crate) fn schedule_if_due(&mut self, context: InputContext, out: &mut Vec<Effect>) {
        let InputContext { now, wall, lease_valid } = context;
        if !self.is_loaded() || self.cloud.machine_types().is_none() {
            return;
        }
        let planning = &mut self.planning;
        if now.since(planning.last_round_at) < planning.pacing.round_interval() {
            return;
        }
        let provisioning_due = now.since(planning.last_provisioning_at) >= planning.pacing.provisioning_interval();
        if !planning.replan_needed && !provisioning_due {
            return;
        }
        planning.replan_needed = false;
        planning.last_round_at = now;
        planning.pacing.begin_round();
        if provisioning_due {
            self.update_suspected_zones(now);
        }
        self.run_scheduling_round(now, provisioning_due);
        if provisioning_due {
            self.planning.last_provisioning_at = now;
            if lease_valid {
                self.run_provisioning_round(now, wall, out);
            }
        }
    }

    /// Requests and releases machines, consolidates services off machines that are not worth their price, and continues
    /// drains.
    fn run_provisioning_round(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        self.scale_out(now, wall, out);
        self.scale_in_idle(now);
        self.consolidate(now, wall);
        if now.since(self.drain_state.last_round_at) >= MIN_DRAIN_ROUND_INTERVAL {
            self.drain_state.last_round_at = now;
            self.run_drain_round(now, wall, out);
        }
    }

    /// Runs a round of planning.
    ///
    /// A round usually covers only what has changed since the last one. It covers all queues if a team has a quota, or
    /// if provisioning is due, because machine demand is derived from the whole plan.
    fn run_scheduling_round(&mut self, now: Timestamp, provisioning_due: bool) {
        self.refresh_plans(now);
        self.stop_tasks_on_reclaimed_machines(now);
        self.update_gangs(now);
        let is_full_round = provisioning_due || self.has_any_quota();
        if is_full_round {
            self.promote_starved(now);
            let queues = self.planning.machines_with_queue();
            self.planning.plans.unplan_stuck(now, queues.into_iter());
            self.unplan_zone_violations();
            self.unplan_queued_gangs();
        }
        let mut usage = self.team_usage();
        self.plan_unplanned_tasks(now, &usage);
        let changed = self.planning.plans.take_changed_machines();
        let machines: Vec<MachineId> = if is_full_round {
            self.planning.machines_with_queue_or_free_cpus()
        } else {
            changed.into_iter().collect()
        };
        self.start_planned(now, &machines, &mut usage);
        self.steal_work(now, &machines, &mut usage);
        self.preempt_for_services(now);
        self.preempt_for_gangs(now);
    }

    /// Starts tasks from a machine's queue, or steals work for it, right after a heartbeat has reported a change,
    /// without waiting for the next round.
    ///
    /// The response to that heartbeat can carry the start commands. A start that is sent as a separate command takes a
    /// connection of its own; with 980 machines, such commands made up more than half of the leader's work.
    pub(crate) fn start_next_tasks(&mut self, now: Timestamp, id: MachineId) {
        if self.planning.plans.machine(id).is_none() || !self.machines.get(&id).is_some_and(Machine::accepts_tasks) {
            return;
        }
        if self.has_any_quota() && self.planning.plans.planned_jobs().any(|planned| self.has_quota(planned.id())) {
            // The usage of teams with a quota is summed over all machines once per round. Without that sum none of
            // their tasks may start here, and tasks of lower priority would take the free resources ahead of them.
            return;
        }
        self.planning.changed_machines.remove(&id);
        let Some(machine) = self.planned_machine(now, id) else { return self.planning.plans.remove_machine(id) };
        self.planning.plans.update_machine(machine);
        // No job of a team with a quota is queued at this point. Unknown usage is the safe assumption: should such a
        // job appear nevertheless, its tasks cannot start.
        let mut usage = TeamUsage::unknown();
        self.start_planned(now, &[id], &mut usage);
        self.steal_work(now, &[id], &mut usage);
    }

    /// Refreshes the plan's view of all machines that have changed since the last round: updates known machines, adds
    /// new ones and removes those that are gone.
    fn refresh_plans(&mut self, now: Timestamp) {
        if self.cloud.take_new_pending() {
            self.planning.changed_machines.extend(self.cloud.pending().map(|(id, _)| *id));
        }
        let mut new_machines = Vec::new();
        for id in std::mem::take(&mut self.planning.changed_machines) {
            match self.planned_machine(now, id) {
                Some(machine) if self.planning.plans.machine(id).is_some() => {
                    self.planning.plans.update_machine(machine);
                }
                Some(machine) => new_machines.push(machine),
                None => self.planning.plans.remove_machine(id),
            }
        }
        self.planning.plans.add_machines(now, new_machines);
    }
}
