//! How many replicas of services are likely to need room soon: new ones, and those of zones that are out of reach.

use crate::jobs::Job;
use crate::leader::Leader;
use crate::types::{Duration, JobId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Services that came within this time tell how many come next.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// Arrivals are counted in slots of this length.
const ARRIVAL_SLOT: Duration = Duration::from_secs(10);
/// Most tasks that a slot counts for. Jobs that come all at once, as at a start, say little of what comes next: a slot
/// counts for no more than this, or than `SLOT_LIMIT_MEDIANS` usual ones.
const SLOT_LIMIT_TASKS: u32 = 6;
/// Most tasks that a slot counts for, in median slots.
const SLOT_LIMIT_MEDIANS: u32 = 3;
/// Seconds from the boot of a machine until what came meanwhile has started on it.
const START_AFTER_BOOT_S: f64 = 10.0;
/// Tasks that are expected at least, once a service has come.
const MIN_EXPECTED_TASKS: u64 = 3;
/// A new leader waits this long for heartbeats before it takes a zone that does not answer for lost.
const HEARTBEATS_AFTER_ELECTION: Duration = Duration::from_secs(3);

/// Services that are likely to come.
pub(super) struct ExpectedServices<'a> {
    /// A job like them, the one with the largest tasks.
    pub(super) typical_job: &'a Job,
    /// Tasks of all of them.
    pub(super) tasks: u64,
}

impl Leader {
    /// How many tasks of services are likely to come within a boot; nothing if there is no service to judge by.
    pub(super) fn expected_services(&self, boot_s: f64) -> Option<ExpectedServices<'_>> {
        let now = self.planning.last_round_at;
        let mut tasks_by_slot: BTreeMap<u64, u32> = BTreeMap::new();
        let mut typical_job: Option<&Job> = None;
        for job in self.jobs.live().filter(|job| is_unbound_service(job)) {
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
        let window_s = boot_s + START_AFTER_BOOT_S;
        let tasks = (arrivals_per_s(&tasks_by_slot) * window_s * self.settings.tuning.headroom_factor).ceil() as u64;
        Some(ExpectedServices { typical_job, tasks: tasks.max(MIN_EXPECTED_TASKS) })
    }

    /// Replicas that a new leader holds back because a zone does not answer: they are most likely lost with it, and
    /// the machines for them should be up when that is sure.
    pub(super) fn replicas_held_back(&self, now: Timestamp) -> u64 {
        if self.all_machines_fenced()
            || now.since(self.leader_since) < HEARTBEATS_AFTER_ELECTION
            || self.mostly_unfenced_zones().is_subset(&self.zones.recent_leader_zones)
        {
            return 0;
        }
        let held_back = self
            .jobs
            .live()
            .filter(|job| job.spec.is_service && job.durable && !job.accepted_by_this_leader && !job.cancelling);
        held_back.map(|job| u64::from(job.pending.len().min(job.spec.max_tasks_per_zone()))).sum()
    }

    /// Replicas in zones that are out of reach and may run elsewhere. They go on until their leases end; room for
    /// them should be up by then.
    pub(super) fn replicas_out_of_reach(&self, now: Timestamp) -> u64 {
        let stranded = self.replicas_in_unreachable_zones(now);
        let zones: BTreeSet<&String> = self.cloud.zones().collect();
        let reachable: Vec<&String> =
            zones.into_iter().filter(|zone| self.zone_unreachable_since(zone, now).is_none()).collect();
        let movable = stranded.iter().filter_map(|(id, replicas)| {
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

    /// How many more replicas of a job these zones may take.
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

/// Whether a job is a service of the highest priority that may run in any zone: these are what headroom is kept for.
fn is_unbound_service(job: &Job) -> bool {
    job.spec.is_service && job.spec.priority == 0 && job.spec.zone.is_none()
}

/// Tasks that came each second, with slots of many arrivals cut to the limit.
fn arrivals_per_s(tasks_by_slot: &BTreeMap<u64, u32>) -> f64 {
    let slots = 0..ARRIVAL_WINDOW.as_millis() / ARRIVAL_SLOT.as_millis();
    let mut tasks: Vec<u32> = slots.map(|slot| tasks_by_slot.get(&slot).copied().unwrap_or(0)).collect();
    tasks.sort_unstable();
    let median = tasks[tasks.len() / 2];
    let limit = SLOT_LIMIT_TASKS.max(SLOT_LIMIT_MEDIANS * median);
    let counted: f64 = tasks.iter().map(|tasks| f64::from((*tasks).min(limit))).sum();
    counted / ARRIVAL_WINDOW.as_secs_f64()
}
