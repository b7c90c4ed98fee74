//! Machine demand: the pending tasks that the existing machines would start too late, and a machine requested now would
//! start sooner.

use super::MachineDemand;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::leader::scheduling::queue_priority;
use crate::plan::{PredictedStart, QueueEntry, QueuePriority};
use crate::types::{Duration, JobId, Timestamp};
use std::collections::BTreeMap;

/// Assumed boot time in seconds while the cloud's machine types have not been fetched.
const DEFAULT_SHORTEST_BOOT_S: f64 = 30.0;
/// A task of a service is late if it is predicted to start more than this much later than on a machine requested now.
const SERVICE_START_MARGIN: Duration = Duration::from_secs(5);
/// A batch task can be late only if it is predicted to start more than this much later than on a machine requested now.
const BATCH_START_MARGIN: Duration = Duration::from_secs(3);
/// Only jobs that a scheduling round has tried to place within this time create demand. For any other job it is not
/// known yet whether the existing machines have capacity for it.
const RECENT_PLANNING_WINDOW: Duration = Duration::from_secs(5);
/// An on-demand machine that is requested in place of a spot machine should run tasks one after another for about this
/// long, so that it is worth its price.
const ON_DEMAND_BUSY_TIME: Duration = Duration::from_secs(100);
/// Maximum number of tasks that such a machine is expected to run one after another.
const MAX_SEQUENTIAL_TASKS: u64 = 4;
/// Team quotas are set in whole CPUs and GPUs, resources are counted in thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// Conditions under which the demands of one provisioning round are determined.
#[derive(Clone, Copy)]
pub(super) struct DemandRound {
    pub(super) now: Timestamp,
    /// How long a machine requested now takes to boot.
    pub(super) boot: Duration,
    /// Whether all spot pools are in the backoff that follows a refused request.
    pub(super) spot_unavailable: bool,
}

impl DemandRound {
    /// Returns when a machine that is requested now has booted.
    pub(super) fn machine_up_at(self) -> Timestamp {
        self.now + self.boot
    }
}

/// Key by which late tasks are counted, in the order of the scheduling queue. The tasks of a job that justify on-demand
/// machines are counted apart from its other tasks.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LateTasks {
    priority: QueuePriority,
    job: JobId,
    justifies_on_demand: bool,
}

impl Leader {
    /// Returns the demands for late tasks, for headroom and for the replicas that drains have to move.
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
        let job_demands = late_tasks.into_iter().filter_map(|(late, count)| self.demand_of_job(&late, count));
        let demands = job_demands.chain(headroom).chain(self.replica_demands(now));
        demands.filter(|demand| demand.count > 0).collect()
    }

    fn shortest_boot(&self) -> Duration {
        let boot_times_s = self.cloud.machine_types().into_iter().flatten().map(|machine_type| machine_type.boot_s);
        Duration::from_secs_f64(boot_times_s.reduce(f64::min).unwrap_or(DEFAULT_SHORTEST_BOOT_S))
    }

    /// Counts the tasks that are queued on a machine and would start too late there.
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

    /// Whether a queued task is late: a new machine would start it sooner by more than the margin and, unless it
    /// belongs to a service, it is predicted to end after the completion target of its job.
    fn starts_late(&self, entry: &QueueEntry, predicted_start: Option<Timestamp>, round: DemandRound) -> bool {
        let Some(start) = predicted_start else { return true };
        if entry.is_service {
            return start > round.machine_up_at() + SERVICE_START_MARGIN;
        }
        let target = self.jobs.get(entry.job).map_or(Timestamp::NEVER, |job| self.completion_target(job));
        start > round.machine_up_at() + BATCH_START_MARGIN && start + entry.predicted_duration > target
    }

    /// Counts the startable tasks that the last scheduling round could not add to any machine's queue.
    fn count_unplanned_tasks(&self, round: DemandRound, late_tasks: &mut BTreeMap<LateTasks, u32>) {
        let startable = self.jobs.pending_jobs().filter(|job| self.is_startable(job, round.now));
        for job in startable.filter(|job| round.now.since(job.last_planned_at) < RECENT_PLANNING_WINDOW) {
            let unplanned = job.pending.len().saturating_sub(self.planning.plans.planned_count(job.spec.id));
            if unplanned > 0 {
                let predicted_duration = self.planning.correction.predict(job.spec.estimated_duration);
                let late = LateTasks {
                    priority: queue_priority(job),
                    job: job.spec.id,
                    justifies_on_demand: self.justifies_on_demand(job, round, None, predicted_duration),
                };
                *late_tasks.entry(late).or_insert(0) += unplanned;
            }
        }
    }

    fn demand_of_job(&self, late: &LateTasks, task_count: u32) -> Option<MachineDemand> {
        let job = self.jobs.get(late.job)?;
        let replaces_spot = late.justifies_on_demand && job.spec.allows_spot;
        let sequential_tasks = if replaces_spot { sequential_tasks(job.spec.estimated_duration) } else { 1 };
        Some(MachineDemand {
            job: late.job,
            resources: job.spec.resources,
            count: task_count.div_ceil(sequential_tasks).min(self.max_tasks_of_team(job)),
            allows_spot: job.spec.allows_spot,
            allows_on_demand: late.justifies_on_demand || !job.spec.allows_spot,
            machine_types: job.spec.machine_types.clone(),
            zone: job.spec.zone.clone().or_else(|| self.planned_gang_zone(job)),
            max_per_zone: job.spec.max_tasks_per_zone(),
            colocate_in_zone: is_colocated_gang(job),
        })
    }

    /// Returns the zone in which members of a gang that must run in a single zone are planned already.
    fn planned_gang_zone(&self, job: &Job) -> Option<String> {
        if !is_colocated_gang(job) {
            return None;
        }
        let machine = self.planning.plans.planned_tasks(job.spec.id).into_iter().next()?.machine;
        let zone = self.planning.plans.machine(machine)?.zone;
        self.planning.names.zone_name(zone).map(str::to_string)
    }

    /// Returns how many tasks of a job may run at the same time within the CPU and GPU quotas of its team.
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

/// Returns how many tasks of this duration one on-demand machine runs one after another, in place of spot machines.
fn sequential_tasks(duration: Duration) -> u32 {
    (ON_DEMAND_BUSY_TIME.as_millis() / duration.as_millis().max(1)).clamp(1, MAX_SEQUENTIAL_TASKS) as u32
}

/// Returns how many tasks, each with a request in thousandths, fit into a quota in whole units. 0 means no quota.
fn tasks_within_limit(limit: f64, thousandths_per_task: u64) -> u64 {
    let has_limit = limit > 0.0;
    if !has_limit {
        return u64::MAX;
    }
    ((limit * THOUSANDTHS_PER_UNIT) as u64).checked_div(thousandths_per_task).unwrap_or(u64::MAX)
}
