//! Demand: tasks that a machine rented now would start soon enough, and the machines that there are would not.

use super::MachineDemand;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::leader::scheduling::queue_priority;
use crate::plan::{PredictedStart, QueueEntry, QueuePriority};
use crate::types::{Duration, JobId, Timestamp};
use std::collections::BTreeMap;

/// Boot time in seconds while no machine type is known.
const UNKNOWN_SHORTEST_BOOT_S: f64 = 30.0;
/// A service is late if it would start this much later than on a machine rented now.
const SERVICE_START_MARGIN: Duration = Duration::from_secs(5);
/// A task that ends by itself may be late only if it would start this much later than on a machine rented now.
const BATCH_START_MARGIN: Duration = Duration::from_secs(3);
/// A job that no round has planned for this time may find room yet, and is no demand.
const RECENTLY_PLANNED: Duration = Duration::from_secs(5);
/// An on-demand machine rented instead of a spot machine runs tasks in turn for about this time: it has to be worth its
/// price.
const ON_DEMAND_USE: Duration = Duration::from_secs(100);
/// Most tasks that such a machine is expected to run in turn.
const MAX_TASKS_IN_TURN: u64 = 4;
/// Limits of teams are given in whole CPUs and GPUs, resources in thousandths.
const THOUSANDTHS: f64 = 1000.0;

/// What the demands of one round are measured against.
#[derive(Clone, Copy)]
pub(super) struct DemandRound {
    pub(super) now: Timestamp,
    /// How long a machine rented now takes to boot.
    pub(super) boot: Duration,
    /// Whether all spot pools refused to scale out lately.
    pub(super) spot_unavailable: bool,
}

impl DemandRound {
    /// When a machine that is rented now is up.
    pub(super) fn machine_up_at(self) -> Timestamp {
        self.now + self.boot
    }
}

/// Late tasks are counted by job, those apart for which on-demand machines are rented too; the first in the queue come
/// first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LateTasks {
    priority: QueuePriority,
    job: JobId,
    justifies_on_demand: bool,
}

impl Leader {
    /// Machines that are wanted for what waits too long, for headroom and for drains.
    pub(super) fn machine_demands(&mut self, now: Timestamp) -> Vec<MachineDemand> {
        let round = DemandRound {
            now,
            boot: self.shortest_boot(),
            spot_unavailable: self.cloud.all_spot_recently_refused(now),
        };
        let mut late_tasks = BTreeMap::new();
        self.count_late_planned_tasks(round, &mut late_tasks);
        self.count_unplanned_tasks(round, &mut late_tasks);
        let headroom = self.headroom(now, round.boot);
        let of_jobs = late_tasks.into_iter().filter_map(|(late, count)| self.demand_of_job(&late, count));
        let demands = of_jobs.chain(headroom).chain(self.replica_demands(now));
        demands.filter(|demand| demand.count > 0).collect()
    }

    fn shortest_boot(&self) -> Duration {
        let boots_s = self.cloud.machine_types().into_iter().flatten().map(|machine_type| machine_type.boot_s);
        Duration::from_secs_f64(boots_s.reduce(f64::min).unwrap_or(UNKNOWN_SHORTEST_BOOT_S))
    }

    /// Counts tasks that wait in a machine's queue and would start too late there.
    fn count_late_planned_tasks(&self, round: DemandRound, late_tasks: &mut BTreeMap<LateTasks, u32>) {
        for machine in self.planning.plans.machines().filter(|machine| !machine.queue.is_empty()) {
            for PredictedStart { task: entry, start } in self.planning.plans.predicted_starts(machine.id, round.now) {
                let job = self.jobs.get(entry.job);
                if self.starts_late(&entry, start, round) {
                    let late = LateTasks {
                        priority: entry.queue_priority,
                        job: entry.job,
                        justifies_on_demand: job
                            .is_some_and(|job| self.justifies_on_demand(job, round, start, entry.predicted_duration)),
                    };
                    *late_tasks.entry(late).or_insert(0) += 1;
                }
            }
        }
    }

    /// Whether a new machine would start a task of a queue sooner, and it is late without: a service always, other
    /// tasks if they end past the target of their job.
    fn starts_late(&self, entry: &QueueEntry, predicted_start: Option<Timestamp>, round: DemandRound) -> bool {
        let Some(start) = predicted_start else { return true };
        if entry.is_service {
            return start > round.machine_up_at() + SERVICE_START_MARGIN;
        }
        let target = self.jobs.get(entry.job).map_or(Timestamp::NEVER, |job| self.completion_target(job));
        start > round.machine_up_at() + BATCH_START_MARGIN && start + entry.predicted_duration > target
    }

    /// Counts tasks for which no machine's queue has a place.
    fn count_unplanned_tasks(&self, round: DemandRound, late_tasks: &mut BTreeMap<LateTasks, u32>) {
        let startable = self.jobs.pending_jobs().filter(|job| self.is_startable(job, round.now));
        for job in startable.filter(|job| round.now.since(job.last_planned_at) < RECENTLY_PLANNED) {
            let unplanned = job.pending.len().saturating_sub(self.planning.plans.planned_count(job.spec.id));
            if unplanned > 0 {
                let run = self.planning.correction.predict(job.spec.estimated_duration);
                let late = LateTasks {
                    priority: queue_priority(job),
                    job: job.spec.id,
                    justifies_on_demand: self.justifies_on_demand(job, round, None, run),
                };
                *late_tasks.entry(late).or_insert(0) += unplanned;
            }
        }
    }

    fn demand_of_job(&self, late: &LateTasks, task_count: u32) -> Option<MachineDemand> {
        let job = self.jobs.get(late.job)?;
        let replaces_spot = late.justifies_on_demand && job.spec.allows_spot;
        let tasks_in_turn = if replaces_spot { tasks_in_turn(job.spec.estimated_duration) } else { 1 };
        Some(MachineDemand {
            job: late.job,
            resources: job.spec.resources,
            count: task_count.div_ceil(tasks_in_turn).min(self.max_tasks_of_team(job)),
            allows_spot: job.spec.allows_spot,
            allows_on_demand: late.justifies_on_demand || !job.spec.allows_spot,
            machine_types: job.spec.machine_types.clone(),
            zone: job.spec.zone.clone().or_else(|| self.planned_gang_zone(job)),
            max_per_zone: job.spec.max_tasks_per_zone(),
            colocate_in_zone: is_colocated_gang(job),
        })
    }

    /// The zone in which a gang that wants one zone is planned.
    fn planned_gang_zone(&self, job: &Job) -> Option<String> {
        if !is_colocated_gang(job) {
            return None;
        }
        let machine = self.planning.plans.planned_tasks(job.spec.id).into_iter().next()?.machine;
        let zone = self.planning.plans.machine(machine)?.zone;
        self.planning.names.zone_name(zone).map(str::to_string)
    }

    /// How many tasks of a job its team's limits let run at once.
    fn max_tasks_of_team(&self, job: &Job) -> u32 {
        let teams = &self.settings.deployment.teams;
        let Some(team) = teams.iter().find(|team| team.name == job.spec.team) else { return 0 };
        let by_cpus = tasks_within_limit(team.cpus_max, job.spec.resources.cpus);
        let by_gpus = tasks_within_limit(team.gpus_max, job.spec.resources.gpus);
        by_cpus.min(by_gpus).min(u64::from(u32::MAX)) as u32
    }
}

fn is_colocated_gang(job: &Job) -> bool {
    job.gang.is_some() && job.spec.colocate_in_zone
}

/// How many tasks of this duration an on-demand machine runs in turn instead of spot machines.
fn tasks_in_turn(duration: Duration) -> u32 {
    (ON_DEMAND_USE.as_millis() / duration.as_millis().max(1)).clamp(1, MAX_TASKS_IN_TURN) as u32
}

/// How many tasks that take so many thousandths fit a limit in whole units; a limit of 0 is none.
fn tasks_within_limit(limit: f64, thousandths_per_task: u64) -> u64 {
    let has_limit = limit > 0.0;
    if !has_limit {
        return u64::MAX;
    }
    ((limit * THOUSANDTHS) as u64).checked_div(thousandths_per_task).unwrap_or(u64::MAX)
}
