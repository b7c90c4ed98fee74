//! Where plan, jobs and machines meet: what is planned, started and pushed aside.

use crate::arrivals::Arrivals;
use crate::cloud;
use crate::effects::Effect;
use crate::jobs::{self, Job};
use crate::leader::Leader;
use crate::plan::{
    self, Correction, JobDirectory, JobProfile, PlacementBias, PlannedMachine, Plans, PredictedDurations, QueueEntry,
    QueuePriority, ResourceRelease, ZoneAllowance,
};
use crate::types::{AttemptId, Duration, JobId, MachineId, Resources, TaskId, Timestamp, WallClock};
use crate::workers::{AttemptPhase, Machine, StartUncertainty, TaskAttempt};
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod gangs;
mod limits;
mod pacing;
mod room;
mod starts;
mod view;

pub(crate) use pacing::Pacing;
pub(crate) use view::{NameInterner, PlanningView};

/// Least time between two rounds of drains, beside those that follow a write.
const MIN_DRAIN_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Tasks of one job that are planned at once.
const MAX_TASKS_PER_PLACEMENT: u32 = 128;

/// A job of which nothing has begun for so long is promoted, so that it begins within four minutes.
const STARVATION_THRESHOLD: Duration = Duration::from_secs(120);
/// To this rank, for its first task: before all but services, which it must not push aside.
const PROMOTED_PRIORITY: u8 = 1;

/// Used by tasks of which nothing is known: no limited team may start anything beside it.
const UNKNOWN_USAGE: Resources = Resources { cpus: u64::MAX >> 32, gpus: u64::MAX >> 32, memory: u64::MAX >> 32 };

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
    pub(super) names: NameInterner,
    /// Machines whose plans have to be brought up to date.
    pub(super) changed_machines: BTreeSet<MachineId>,
    /// Where the last round stopped, if it did not get through all jobs.
    pub(super) resume_at: Option<JobId>,
    /// Whether the next round is due early, because something has changed.
    pub(super) replan_needed: bool,
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

pub(crate) fn queue_priority(job: &Job) -> QueuePriority {
    QueuePriority { priority: job.effective_priority, sequence: job.queue_sequence }
}

/// Whether tasks of this job may start in room that is kept ahead: what it is kept for, services, and what has waited too long.
fn may_use_headroom(job: &Job, prompt_classes: &BTreeSet<String>) -> bool {
    job.spec.is_service || job.is_promoted() || prompt_classes.contains(&job.spec.class)
}

fn queue_entry(job: &Job, prompt_classes: &BTreeSet<String>) -> QueueEntry {
    QueueEntry {
        job: job.spec.id,
        queue_priority: queue_priority(job),
        count: 1,
        resources: job.spec.resources,
        predicted_duration: Duration::ZERO,
        is_service: job.spec.is_service,
        deadline: job.deadline(),
        has_zone_constraints: job.spec.colocate_in_zone || job.spec.spread_over_zones,
        is_gang: job.gang.is_some(),
        // By its own rank: a better one that it was given for its turn stops nobody.
        preempts_below: ((job.spec.is_service && job.spec.priority == 0) || job.gang.is_some())
            .then_some(job.spec.priority),
        uses_headroom: may_use_headroom(job, prompt_classes),
    }
}

/// When a hold is predicted to give its room back.
fn predicted_release(hold: &TaskAttempt, now: Timestamp) -> Option<Timestamp> {
    if hold.stop_grace_s.is_some() {
        return Some(now + Duration::from_millis(100));
    }
    let predicted = hold.predicted_duration?;
    let end = hold.requested_at + predicted;
    // Overdue: most likely it ends soon, but not at once.
    Some(end.max(now + (predicted / 10).max(Duration::from_millis(300))))
}

/// Whether a task may be stopped to make room for one of this rank: it must be of a lower one, end by
/// itself, and not be stopping already.
fn may_be_preempted(hold: &TaskAttempt, rank: u8) -> bool {
    let running = hold.assigned && hold.occupies_resources() && hold.stop_grace_s.is_none();
    // Stopping one task of a gang loses the work of all.
    running && hold.priority > rank && hold.predicted_duration.is_some() && !hold.in_gang
}

impl Leader {
    pub(crate) fn planning_view(&self) -> PlanningView<'_> {
        PlanningView {
            jobs: &self.jobs,
            machines: &self.machines,
            cloud: &self.cloud,
            correction: self.planning.correction,
            names: &self.planning.names,
        }
    }

    pub(crate) fn schedule_if_due(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_loaded()
            || self.cloud.machine_types().is_none()
            || now.since(self.planning.last_round_at) < self.planning.pacing.round_interval()
        {
            return;
        }
        let look = now.since(self.planning.last_provisioning_at) >= self.planning.pacing.provisioning_interval();
        if !self.planning.replan_needed && !look {
            return;
        }
        self.planning.replan_needed = false;
        self.planning.last_round_at = now;
        self.planning.pacing.begin_round();
        if look {
            self.update_suspected_zones(now);
        }
        self.run_scheduling_round(now, look);
        if look {
            self.planning.last_provisioning_at = now;
            if lease_valid {
                self.scale_out(now, wall, out);
                self.scale_in_idle(now);
                self.consolidate(now, wall);
                if now.since(self.drain_state.last_round_at) >= MIN_DRAIN_ROUND_INTERVAL {
                    self.drain_state.last_round_at = now;
                    self.run_drain_round(now, wall, out);
                }
            }
        }
    }

    /// A round of planning: what changed since the last one, and everything when it is time to look.
    fn run_scheduling_round(&mut self, now: Timestamp, look: bool) {
        self.refresh_plans(now);
        self.drain_reclaimed_machines(now);
        self.update_gangs(now);
        let everything = look || self.has_any_quota();
        if everything {
            self.promote_starved(now);
            let ids: Vec<MachineId> =
                self.planning.plans.machines().filter(|s| !s.queue.is_empty()).map(|s| s.id).collect();
            self.planning.plans.unplan_stuck(now, ids.into_iter());
            self.unplan_misplaced();
            self.unplan_waiting_gangs();
        }
        let mut used = self.team_usage();
        self.plan_waiting(now, &used);
        let touched = self.planning.plans.take_changed_machines();
        let ids: Vec<MachineId> = if everything {
            self.planning.plans.machines().filter(|s| !s.queue.is_empty() || s.free.cpus > 0).map(|s| s.id).collect()
        } else {
            touched.into_iter().collect()
        };
        self.start_planned(now, &ids, &mut used);
        self.steal_work(now, &ids, &mut used);
        self.preempt_for_services(now);
        self.preempt_for_gangs(now);
    }

    /// Takes tasks out of the plan that have room where they wait, but may not start there: their job has as many in that zone as it
    /// may, or is in another one. An idle machine had taken a task from the queue of another zone, so that those planned in its own
    /// were one too many; they waited there for ever.
    fn unplan_misplaced(&mut self) {
        let mut misplaced = Vec::new();
        for planned in self.planning.plans.planned_jobs() {
            let (id, machines) = (planned.id(), planned.machines());
            let Some(job) = self.jobs.get(id).filter(|job| job.gang.is_none()) else { continue };
            if !job.spec.spread_over_zones && !job.spec.colocate_in_zone {
                continue;
            }
            let there = self.planning_view().tasks_by_zone(job);
            let closed = |zone: usize| {
                there.get(&zone).is_some_and(|count| *count >= job.spec.max_tasks_per_zone())
                    || (job.spec.colocate_in_zone && there.keys().any(|other| *other != zone))
            };
            let in_closed =
                |machine: &MachineId| self.planning.plans.machine(*machine).is_some_and(|server| closed(server.zone));
            misplaced.extend(machines.filter(in_closed).map(|machine| (machine, id)));
        }
        for (machine, job) in misplaced {
            self.planning.plans.unplan_last(machine, job);
        }
    }

    /// Starts what is planned next on a machine that has just shown a change, without waiting for a round.
    ///
    /// Its report is about to be answered, and what is ordered with the answer needs no command: each of those took a
    /// connection, and at 980 machines they were more than half of a leader's work.
    pub(crate) fn start_next_tasks(&mut self, now: Timestamp, id: MachineId) {
        if self.planning.plans.machine(id).is_none() || !self.machines.get(&id).is_some_and(Machine::accepts_tasks) {
            return;
        }
        if self.has_any_quota() && self.planning.plans.planned_jobs().any(|planned| self.has_quota(planned.id())) {
            // What a team with a limit uses is counted over all machines, once a round. Until then its tasks could not
            // start, and lower ones would take the room.
            return;
        }
        self.planning.changed_machines.remove(&id);
        let Some(server) = self.planned_machine(now, id) else { return self.planning.plans.remove_machine(id) };
        self.planning.plans.update_machine(server);
        // Nothing of a team with a limit waits; if it did, what it uses may be anything.
        let mut used = HashMap::from([(String::new(), UNKNOWN_USAGE)]);
        self.start_planned(now, &[id], &mut used);
        self.steal_work(now, &[id], &mut used);
    }

    /// Brings the plan's machines up to date, as far as something changed.
    fn refresh_plans(&mut self, now: Timestamp) {
        if self.cloud.take_new_pending() {
            self.planning.changed_machines.extend(self.cloud.pending().map(|(id, _)| *id));
        }
        let mut fresh = Vec::new();
        for id in std::mem::take(&mut self.planning.changed_machines) {
            match self.planned_machine(now, id) {
                Some(server) if self.planning.plans.machine(id).is_some() => {
                    self.planning.plans.update_machine(server);
                }
                Some(server) => fresh.push(server),
                None => self.planning.plans.remove_machine(id),
            }
        }
        self.planning.plans.add_machines(now, fresh);
    }

    /// A machine as the plan sees it; `None` if nothing may be planned there.
    fn planned_machine(&mut self, now: Timestamp, id: MachineId) -> Option<PlannedMachine> {
        if self.cloud.is_releasing(id) {
            return None;
        }
        // Services fill cheap machines that are in use; other tasks go to spot machines first. The
        // fuller machine is preferred, so that others become idle and can be given back.
        let bias = |flavor: &crate::wire::MachineType, spot: bool, free: &Resources| {
            let price = (flavor.price_per_hour / flavor.cpus.max(1.0) * 1e4) as u64;
            PlacementBias { for_services: price << 32 | free.cpus, for_other_tasks: u64::from(!spot) << 32 | free.cpus }
        };
        if let Some(m) = self.machines.get_mut(&id) {
            let overdue = self.settings.deployment.workers.overdue();
            let flavor = self.cloud.machine_type(&m.record.machine_type)?;
            if m.capacity == Resources::default() {
                m.capacity = jobs::capacity(flavor);
            }
            if m.draining.is_some() || m.reclaim_at.is_some() || !m.reached_within(now, overdue) {
                return None;
            }
            let mut releases: Vec<ResourceRelease> = Vec::new();
            let mut soft = [Resources::default(); plan::PREEMPTING_PRIORITIES];
            for hold in m.attempts.values().filter(|h| h.occupies_resources()) {
                releases
                    .extend(predicted_release(hold, now).map(|at| ResourceRelease { at, resources: hold.resources }));
                for (rank, room) in (0..).zip(&mut soft) {
                    if may_be_preempted(hold, rank) {
                        room.add(&hold.resources);
                    }
                }
            }
            let free = m.free_resources();
            let leaves = self.drain_state.coordinator.as_ref().is_some_and(|drains| drains.is_member(id));
            return Some(PlannedMachine {
                id,
                zone: self.planning.names.intern_zone(&m.record.zone),
                machine_type: self.planning.names.intern_machine_type(&m.record.machine_type),
                spot: m.record.spot,
                ready_at: now,
                min_start_delay: if m.accepts_tasks() { Duration::ZERO } else { Duration::from_millis(500) },
                // What is to be emptied soon is filled last.
                bias: if leaves { PlacementBias::LAST } else { bias(flavor, m.record.spot, &free) },
                free,
                preemptible: soft,
                releases,
                headroom: self.planning.headroom.get(&id).copied().unwrap_or_default(),
                images: self.planning.names.intern_images(m.images.iter()),
                ..PlannedMachine::default()
            });
        }
        let b = self.cloud.pending_instance(id).filter(|b| !self.zones.suspected.contains(&b.zone))?;
        let flavor = self.cloud.machine_type(&b.machine_type)?;
        let free = jobs::capacity(flavor);
        Some(PlannedMachine {
            id,
            zone: self.planning.names.intern_zone(&b.zone),
            machine_type: self.planning.names.intern_machine_type(&b.machine_type),
            spot: b.spot,
            ready_at: b.requested_at + Duration::from_secs_f64(flavor.boot_s * 1.05),
            min_start_delay: Duration::from_secs(2),
            bias: bias(flavor, b.spot, &free),
            free,
            ..PlannedMachine::default()
        })
    }

    /// Of jobs that have waited long without any task begun one task goes before all but services.
    ///
    /// The paper's priorities are absolute: under a lasting overload of a higher one, a lower one would
    /// never start (docs/design.md, exception 8).
    fn promote_starved(&mut self, now: Timestamp) {
        let starved: Vec<JobId> = self
            .jobs
            .waiting()
            .filter(|j| {
                let begun = !j.placements.is_empty() || !j.finished.is_empty();
                j.effective_priority > PROMOTED_PRIORITY
                    && !begun
                    && self.is_startable(j, now)
                    && now.since(j.submitted_at) >= STARVATION_THRESHOLD
            })
            .map(|j| j.spec.id)
            .collect();
        for id in starved {
            info!("promoted {id}: nothing of it has begun");
            self.planning.plans.unplan_job(id);
            self.jobs.promote(id, PROMOTED_PRIORITY);
        }
    }

    /// Places what waits unplanned, most important first, as far as a round goes.
    ///
    /// Half of a round begins with the most important job, the other half where the last round stopped. When all began
    /// with the most important one, some services that found no room anywhere kept everything else from being
    /// looked at, for as long as they waited.
    fn plan_waiting(&mut self, now: Timestamp, used: &HashMap<String, Resources>) {
        self.jobs.prune_waiting();
        let waiting: Vec<(JobId, u32)> = self
            .jobs
            .waiting()
            .filter(|j| self.is_startable(j, now) && self.within_quota(used, j, 1))
            .filter_map(|j| {
                let left = j.pending.len().saturating_sub(self.planning.plans.planned_count(j.spec.id));
                // Of a promoted job one task goes first; the others follow at their own rank.
                let left = if j.is_promoted() && j.gang.is_none() {
                    left.min(1 - self.planning.plans.planned_count(j.spec.id).min(1))
                } else {
                    left
                };
                (left > 0).then_some((j.spec.id, left))
            })
            .collect();
        // Like tasks that found no machine in this round are not tried one by one, nor larger ones.
        let mut hopeless: Vec<(Resources, bool, bool)> = Vec::new();
        let mut looks = 0;
        let most = self.planning.pacing.evaluation_budget(self.planning.plans.machines().count());
        let top = self.plan_in_order(now, &waiting, most / 2, &mut looks, &mut hopeless);
        let rest = &waiting[top..];
        let from =
            self.planning.resume_at.take().and_then(|id| rest.iter().position(|(job, _)| *job == id)).unwrap_or(0);
        let turned: Vec<(JobId, u32)> = rest[from..].iter().chain(&rest[..from]).copied().collect();
        let done = self.plan_in_order(now, &turned, most, &mut looks, &mut hopeless);
        if let Some((id, _)) = turned.get(done) {
            // The rest is for the next round, so that reports and users are not kept waiting.
            self.planning.replan_needed = true;
            self.planning.resume_at = Some(*id);
        }
    }

    /// Places jobs in this order until so many machines were looked at; returns how many jobs had their turn.
    fn plan_in_order(
        &mut self,
        now: Timestamp,
        waiting: &[(JobId, u32)],
        most: usize,
        looks: &mut usize,
        hopeless: &mut Vec<(Resources, bool, bool)>,
    ) -> usize {
        let servers = self.planning.plans.machines().count();
        for (turn, (id, left)) in waiting.iter().enumerate() {
            if *looks >= most {
                return turn;
            }
            let Some(job) = self.jobs.get_mut(*id) else { continue };
            job.last_planned_at = now;
            let (need, spot, service) = (job.spec.resources, job.spec.allows_spot, job.spec.is_service);
            let plain = job.spec.machine_types.is_none() && job.spec.zone.is_none();
            if plain && hopeless.iter().any(|(n, p, s)| (*p, *s) == (spot, service) && n.fits(&need)) {
                continue;
            }
            *looks += servers;
            let entry = queue_entry(job, &self.planning.latency_sensitive_classes);
            if entry.is_gang {
                self.plan_gang(now, entry);
                continue;
            }
            let want = (*left).min(MAX_TASKS_PER_PLACEMENT);
            let mut plans = std::mem::take(&mut self.planning.plans);
            let parts = self.planning_view();
            let placed = plans.place(now, entry, want, &parts);
            self.planning.plans = plans;
            if placed < want && plain && !entry.has_zone_constraints {
                hopeless.push((need, spot, service));
            }
        }
        waiting.len()
    }
}
