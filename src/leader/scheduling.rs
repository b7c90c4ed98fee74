//! Scheduling: where plan, jobs and machines meet. Rounds place what waits, start what has room, and preempt.

use crate::arrivals::Arrivals;
use crate::cloud;
use crate::effects::Effect;
use crate::jobs::{self, Job};
use crate::leader::Leader;
use crate::plan::{
    self, Correction, JobDirectory, JobProfile, PlacementBias, PlannedMachine, PlannedTasks, Plans, PredictedDurations,
    QueueEntry, QueuePriority, ResourceRelease, ZoneAllowance,
};
use crate::types::{AttemptId, Duration, JobId, MachineId, Resources, TaskId, Timestamp, WallClock};
use crate::workers::{AttemptPhase, Machine, StartUncertainty, TaskAttempt};
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
mod waiting_jobs;
mod work_stealing;

pub(crate) use name_interner::NameInterner;
pub(crate) use pacing::Pacing;

/// Least time between two rounds of drains, beside those that follow a write.
const MIN_DRAIN_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The plans of all machines, and what planning remembers from round to round.
pub(super) struct Planning {
    pub(super) plans: Plans,
    /// What CorrecFAST has learnt about the error of run-time estimates.
    pub(super) correction: Correction,
    /// How often jobs of each class came lately.
    pub(super) arrivals: Arrivals,
    /// Classes whose jobs are to start sooner than a machine boots.
    pub(super) latency_sensitive_classes: BTreeSet<String>,
    /// Free resources of machines that are kept for jobs that must start at once.
    pub(super) headroom: BTreeMap<MachineId, Resources>,
    /// Indexes of zones, machine types and images.
    pub(super) names: NameInterner,
    /// Machines whose plans have to be brought up to date.
    pub(super) changed_machines: BTreeSet<MachineId>,
    /// Where the last round stopped, if it did not get through all jobs.
    pub(super) resume_at: Option<JobId>,
    /// Whether the next round is due early, because something has changed.
    pub(super) replan_needed: bool,
    /// When the last round was.
    pub(super) last_round_at: Timestamp,
    /// When provisioning had its last round.
    pub(super) last_provisioning_at: Timestamp,
    /// How often and how much is planned.
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
            resume_at: None,
            replan_needed: true,
            last_round_at: Timestamp::ZERO,
            last_provisioning_at: Timestamp::ZERO,
            pacing: Pacing::default(),
        }
    }
}

impl Planning {
    /// Machines in whose queues tasks wait.
    fn machines_with_queue(&self) -> Vec<MachineId> {
        self.plans.machines().filter(|machine| !machine.queue.is_empty()).map(|machine| machine.id).collect()
    }

    /// Machines on which something may start: those with a queue, or with free CPUs.
    fn machines_with_queue_or_room(&self) -> Vec<MachineId> {
        let may_start = |machine: &&PlannedMachine| !machine.queue.is_empty() || machine.free.cpus > 0;
        self.plans.machines().filter(may_start).map(|machine| machine.id).collect()
    }
}

/// Where a job's tasks stand in queues.
pub(crate) fn queue_priority(job: &Job) -> QueuePriority {
    QueuePriority { priority: job.effective_priority, sequence: job.queue_order }
}

/// Whether tasks of this job may start in headroom: what it is reserved for, services, and what has waited too long.
fn may_use_headroom(job: &Job, latency_sensitive_classes: &BTreeSet<String>) -> bool {
    job.spec.is_service || job.is_promoted() || latency_sensitive_classes.contains(&job.spec.class)
}

impl Leader {
    /// Runs a round of planning if one is due, and with it provisioning and drains as often as they are due.
    pub(crate) fn schedule_if_due(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        out: &mut Vec<Effect>,
    ) {
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

    /// Scales out and in, empties machines that are not worth their price, and goes on with drains.
    fn run_provisioning_round(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        self.scale_out(now, wall, out);
        self.scale_in_idle(now);
        self.consolidate(now, wall);
        if now.since(self.drain_state.last_round_at) >= MIN_DRAIN_ROUND_INTERVAL {
            self.drain_state.last_round_at = now;
            self.run_drain_round(now, wall, out);
        }
    }

    /// A round of planning: what changed since the last one, and everything when provisioning is due, since that
    /// follows from the plan.
    fn run_scheduling_round(&mut self, now: Timestamp, provisioning_due: bool) {
        self.refresh_plans(now);
        self.drain_reclaimed_machines(now);
        self.update_gangs(now);
        let everything = provisioning_due || self.has_any_quota();
        if everything {
            self.promote_starved(now);
            let queues = self.planning.machines_with_queue();
            self.planning.plans.unplan_stuck(now, queues.into_iter());
            self.unplan_misplaced();
            self.unplan_waiting_gangs();
        }
        let mut usage = self.team_usage();
        self.plan_waiting(now, &usage);
        let changed = self.planning.plans.take_changed_machines();
        let machines: Vec<MachineId> =
            if everything { self.planning.machines_with_queue_or_room() } else { changed.into_iter().collect() };
        self.start_planned(now, &machines, &mut usage);
        self.steal_work(now, &machines, &mut usage);
        self.preempt_for_services(now);
        self.preempt_for_gangs(now);
    }

    /// Starts what is planned next on a machine that has just shown a change, without waiting for a round.
    ///
    /// Its heartbeat is about to be answered, and a start that goes with the answer needs no command of its own: each
    /// of those took a connection, and at 980 machines they were more than half of a leader's work.
    pub(crate) fn start_next_tasks(&mut self, now: Timestamp, id: MachineId) {
        if self.planning.plans.machine(id).is_none() || !self.machines.get(&id).is_some_and(Machine::accepts_tasks) {
            return;
        }
        if self.has_any_quota() && self.planning.plans.planned_jobs().any(|planned| self.has_quota(planned.id())) {
            // What a team with a quota uses is counted over all machines, once a round. Until then its tasks could
            // not start, and lower ones would take the room.
            return;
        }
        self.planning.changed_machines.remove(&id);
        let Some(machine) = self.planned_machine(now, id) else { return self.planning.plans.remove_machine(id) };
        self.planning.plans.update_machine(machine);
        // Nothing of a team with a quota waits; if it did, what it uses may be anything.
        let mut usage = TeamUsage::unknown();
        self.start_planned(now, &[id], &mut usage);
        self.steal_work(now, &[id], &mut usage);
    }

    /// Brings the plan's machines up to date, as far as something changed.
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
