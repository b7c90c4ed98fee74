//! Estimates how many replicas of services will soon need capacity: those of services that are likely to be submitted,
//! and those that are likely to be moved out of unreachable zones.

use crate::jobs::Job;
use crate::leader::Leader;
use crate::types::{Duration, JobId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The arrival rate of services is estimated from the submissions of this period.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// Length of the slots in which arrivals are counted.
const ARRIVAL_SLOT: Duration = Duration::from_secs(10);
/// A slot contributes at most this many tasks, or `MAX_MEDIANS_PER_SLOT` times the median slot if that is more. Bursts,
/// as at the start of a deployment, do not predict later arrivals.
const MAX_TASKS_PER_SLOT: u32 = 6;
/// Maximum contribution of a slot, as a multiple of the median slot.
const MAX_MEDIANS_PER_SLOT: u32 = 3;
/// Seconds from the end of a machine's boot until the tasks that were submitted in the meantime have started on it.
const START_DELAY_AFTER_BOOT_S: f64 = 10.0;
/// Minimum number of tasks that are expected while at least one service exists for which headroom is reserved.
const MIN_EXPECTED_TASKS: u64 = 3;
/// A new leader waits this long for heartbeats before it assumes that a silent zone is lost.
const HEARTBEAT_WAIT_AFTER_ELECTION: Duration = Duration::from_secs(3);

/// The services that are likely to be submitted soon.
pub(super) struct ExpectedServices<'a> {
    /// Of the existing services for which headroom is reserved, the one whose tasks request the most CPUs. The expected
    /// services are assumed to be like it.
    pub(super) typical_job: &'a Job,
    /// Total number of tasks of the expected services.
    pub(super) tasks: u64,
}

impl Leader {
    /// Estimates how many service tasks are submitted until a machine requested now has booted and started them.
    /// Returns `None` while there is no service to estimate from.
    pub(super) fn expected_services(&self, boot_s: f64) -> Option<ExpectedServices<'_>> {
        let now = self.planning.last_round_at;
        let mut tasks_by_slot: BTreeMap<u64, u32> = BTreeMap::new();
        let mut typical_job: Option<&Job> = None;
        for job in self.jobs.live().filter(|job| needs_headroom(job)) {
            let age = now.since(job.submitted_at);
            if age < ARRIVAL_WINDOW {
                let slot = age.as_millis() / ARRIVAL_SLOT.as_millis();
                *tasks_by_slot.entry(slot).or_insert(0) += job.spec.task_count;
            }
            if typical_job.is_none_or(|typical| typical.spec.resources.cpus < job.spec.resources.cpus) {
                typical_job = Some(job);
            }
        }
        let typical_job = typical_job?;
        let window_s = boot_s + START_DELAY_AFTER_BOOT_S;
        let tasks = (arrivals_per_s(&tasks_by_slot) * window_s * self.settings.tuning.headroom_factor).ceil() as u64;
        Some(ExpectedServices { typical_job, tasks: tasks.max(MIN_EXPECTED_TASKS) })
    }

    /// Returns how many replicas a new leader does not start yet because they may still run in a zone that has been
    /// silent since the election. They are most likely lost, and the machines for them should be up once that is
    /// certain. Zones of recent leaders do not count: such a leader most likely keeps the leases of the machines in its
    /// own zone alive.
    pub(super) fn deferred_replicas(&self, now: Timestamp) -> u64 {
        if self.all_machines_fenced()
            || now.since(self.leader_since) < HEARTBEAT_WAIT_AFTER_ELECTION
            || self.mostly_unfenced_zones().is_subset(&self.zones.recent_leader_zones)
        {
            return 0;
        }
        let deferred_jobs = self
            .jobs
            .live()
            .filter(|job| job.spec.is_service && job.durable && !job.accepted_by_this_leader && !job.cancelling);
        deferred_jobs.map(|job| u64::from(job.pending.len().min(job.spec.max_tasks_per_zone()))).sum()
    }

    /// Returns how many replicas in unreachable zones may run in other zones. They keep running until the leases of
    /// their machines expire; the capacity to replace them should be up by then.
    pub(super) fn movable_unreachable_replicas(&self, now: Timestamp) -> u64 {
        let unreachable_replicas = self.replicas_in_unreachable_zones(now);
        let zones: BTreeSet<&String> = self.cloud.zones().collect();
        let reachable: Vec<&String> =
            zones.into_iter().filter(|zone| self.zone_unreachable_since(zone, now).is_none()).collect();
        let movable = unreachable_replicas.iter().filter_map(|(id, replicas)| {
            let job = self.jobs.get(*id)?;
            Some(u64::from(self.replicas_allowed_in(job, &reachable).min(*replicas)))
        });
        movable.sum()
    }

    fn replicas_in_unreachable_zones(&self, now: Timestamp) -> HashMap<JobId, u32> {
        let mut replicas: HashMap<JobId, u32> = HashMap::new();
        let machines = self.machines.values();
        for machine in machines.filter(|machine| self.zone_unreachable_since(&machine.record.zone, now).is_some()) {
            let attempts = machine.attempts.values();
            for attempt in attempts.filter(|attempt| attempt.assigned && attempt.occupies_resources()) {
                if attempt.predicted_duration.is_none() {
                    *replicas.entry(attempt.task.job).or_default() += 1;
                }
            }
        }
        replicas
    }

    /// Returns how many more replicas of a job may run in these zones within its limit per zone.
    fn replicas_allowed_in(&self, job: &Job, zones: &[&String]) -> u32 {
        let placed_by_zone = self.planning_view().tasks_by_zone(job);
        let placed = |zone: &str| {
            let zone = self.planning.names.zone_index_of(zone);
            zone.and_then(|zone| placed_by_zone.get(&zone).copied()).unwrap_or(0)
        };
        let allowed = zones.iter().map(|zone| job.spec.max_tasks_per_zone().saturating_sub(placed(zone)));
        allowed.fold(0, u32::saturating_add)
    }
}

/// Whether headroom is reserved for services like this job: services of the highest priority that may run in any zone.
fn needs_headroom(job: &Job) -> bool {
    job.spec.is_service && job.spec.priority == 0 && job.spec.zone.is_none()
}

/// Returns the arrival rate in tasks per second, with each slot capped as `MAX_TASKS_PER_SLOT` describes.
fn arrivals_per_s(tasks_by_slot: &BTreeMap<u64, u32>) -> f64 {
    let slots = 0..ARRIVAL_WINDOW.as_millis() / ARRIVAL_SLOT.as_millis();
    let mut tasks: Vec<u32> = slots.map(|slot| tasks_by_slot.get(&slot).copied().unwrap_or(0)).collect();
    tasks.sort_unstable();
    let median = tasks[tasks.len() / 2];
    let limit = MAX_TASKS_PER_SLOT.max(MAX_MEDIANS_PER_SLOT * median);
    let counted: f64 = tasks.iter().map(|tasks| f64::from((*tasks).min(limit))).sum();
    counted / ARRIVAL_WINDOW.as_secs_f64()
}
