//! Data model of the plan: queue entries, machines, and the interface through which the plan looks up jobs.

use super::PREEMPTING_PRIORITIES;
use crate::types::{Duration, JobId, MachineId, Resources, Timestamp};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Position of an entry in a queue: by priority, then by order of arrival. The derived order depends on the order of
/// the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePriority {
    /// Effective priority of the job; 0 is the highest.
    pub priority: u8,
    /// Order among jobs of the same priority; the lower value goes first.
    pub sequence: u64,
}

/// One or more identical tasks of one job in a machine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// Job to which the tasks belong.
    pub job: JobId,
    /// Position of the entry in the queue.
    pub queue_priority: QueuePriority,
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Predicted duration of each task on this machine, including an image fetch if one is needed.
    pub predicted_duration: Duration,
    /// Whether the tasks are replicas of a service, which run until they are cancelled.
    pub is_service: bool,
    /// Deadline of the job; `Timestamp::NEVER` if it has none.
    pub deadline: Timestamp,
    /// Whether the job's tasks have to spread over zones (anti-affinity) or share a zone (colocation).
    pub has_zone_constraints: bool,
    /// Whether the job is a gang, all of whose tasks start at the same time.
    pub is_gang: bool,
    /// Tasks of lower priority than this may be preempted for the entry; `None` if it may not preempt.
    pub preempts_below: Option<u8>,
    /// Whether the tasks may start in headroom, the part of the free resources that is reserved for jobs that must
    /// start at once.
    pub uses_headroom: bool,
}

impl QueueEntry {
    /// The free resources that the tasks of this entry may use: all of `free`, or `free` without the headroom.
    pub fn usable_resources(&self, free: &Resources, headroom: &Resources) -> Resources {
        let mut usable = *free;
        if !self.uses_headroom {
            usable.saturating_sub(headroom);
        }
        usable
    }
}

/// Tie-breaker between otherwise equal machines; the lowest value wins. The leader derives it from price or purchase
/// model, and from free CPUs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementBias {
    /// Applies to services.
    pub for_services: u64,
    /// Applies to tasks that end by themselves.
    pub for_other_tasks: u64,
}

impl PlacementBias {
    /// Ranks a machine behind all others that are otherwise equal.
    pub const LEAST_PREFERRED: PlacementBias = PlacementBias { for_services: u64::MAX, for_other_tasks: u64::MAX };
}

/// A future release of resources. Ordered by time, then by resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceRelease {
    /// When the resources become free.
    pub at: Timestamp,
    /// The resources that become free.
    pub resources: Resources,
}

impl Ord for ResourceRelease {
    fn cmp(&self, other: &ResourceRelease) -> Ordering {
        let sort_key = |release: &ResourceRelease| {
            let Resources { cpus, gpus, memory } = release.resources;
            (release.at, cpus, gpus, memory)
        };
        sort_key(self).cmp(&sort_key(other))
    }
}

impl PartialOrd for ResourceRelease {
    fn partial_cmp(&self, other: &ResourceRelease) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A machine on which the plan places tasks.
#[derive(Debug, Clone, Default)]
pub struct PlannedMachine {
    /// Identifies the machine, also in the keys of `Plans`.
    pub id: MachineId,
    /// Zone index, assigned by the leader.
    pub zone: usize,
    /// Machine type index, which selects an element of `JobProfile::durations_by_type`.
    pub machine_type: usize,
    /// Whether it is a spot instance; otherwise it is an on-demand instance.
    pub spot: bool,
    /// When it can start tasks; in the future while the machine boots.
    pub ready_at: Timestamp,
    /// Minimum delay from now until it can start tasks. It applies even if `ready_at` has passed, because an overdue
    /// boot is unlikely to end at once.
    pub min_start_delay: Duration,
    /// Tie-breaker between otherwise equal machines.
    pub bias: PlacementBias,
    /// Resources that no running task uses.
    pub free: Resources,
    /// Part of the free resources that is reserved for jobs that must start at once.
    pub headroom: Resources,
    /// Resources of running tasks that may be preempted, indexed by the priority of the preempting job, which is a
    /// service of the highest priority or a gang.
    pub preemptible: [Resources; PREEMPTING_PRIORITIES],
    /// Predicted releases by running tasks.
    pub releases: Vec<ResourceRelease>,
    /// Cached images, sorted for binary search.
    pub images: Vec<ImageIndex>,
    /// Queued tasks, highest priority first.
    pub queue: Vec<QueueEntry>,
    /// Number of tasks in `queue`, as the sum of the entries' counts.
    pub queued_tasks: u32,
}

impl PlannedMachine {
    /// Earliest time at which a task can start if resources are free.
    pub(super) fn earliest_start(&self, now: Timestamp) -> Timestamp {
        self.ready_at.max(now + self.min_start_delay)
    }
}

/// Index of an image name, assigned by the leader.
pub type ImageIndex = u32;

/// Predicted durations of a job's task on one machine type.
#[derive(Debug, Clone, Copy)]
pub struct PredictedDurations {
    /// Duration if the machine has the image cached.
    pub image_cached: Duration,
    /// Duration if the machine has to fetch the image first.
    pub image_fetched: Duration,
}

/// The constraints and predicted durations of a job's tasks. Built once per job, so that checking a machine takes only
/// a few comparisons.
#[derive(Debug, Clone)]
pub struct JobProfile {
    /// Predicted durations, indexed by machine type; `None` for types on which the tasks cannot run.
    pub durations_by_type: Vec<Option<PredictedDurations>>,
    /// Index of the only zone in which the tasks may run; `None` if any zone is allowed.
    pub zone: Option<usize>,
    /// Whether the tasks may run on spot instances.
    pub allows_spot: bool,
    /// Machines to avoid, for example because tasks of the job have failed there.
    pub avoided_machines: Vec<MachineId>,
    /// Image of the tasks; `ImageIndex::MAX` if no machine has held it.
    pub image: ImageIndex,
}

impl JobProfile {
    /// Predicted duration on this machine; `None` if the tasks cannot run there (the paper's `can_do`).
    pub fn predicted_duration(&self, machine: &PlannedMachine) -> Option<Duration> {
        let durations = (*self.durations_by_type.get(machine.machine_type)?)?;
        if !self.allows(machine) {
            return None;
        }
        let is_cached = machine.images.binary_search(&self.image).is_ok();
        Some(if is_cached { durations.image_cached } else { durations.image_fetched })
    }

    /// Whether purchase model, zone and avoided machines allow the tasks to run on this machine.
    fn allows(&self, machine: &PlannedMachine) -> bool {
        (self.allows_spot || !machine.spot)
            && self.zone.is_none_or(|zone| zone == machine.zone)
            && !self.avoided_machines.contains(&machine.id)
    }
}

/// Number of tasks of a job with zone constraints that may still be added to each zone.
#[derive(Debug, Clone, Default)]
pub struct ZoneAllowance {
    /// Number of tasks that may be added, indexed by zone.
    pub remaining_tasks: Vec<u32>,
    /// Whether all tasks have to be in the same zone, so that a task in one zone excludes all other zones.
    pub colocate: bool,
}

impl ZoneAllowance {
    /// Whether one more task may be added to this zone.
    pub(super) fn allows_task(&self, zone: usize) -> bool {
        self.remaining_tasks.get(zone).is_some_and(|remaining| *remaining > 0)
    }

    /// Records one more task in this zone.
    pub(super) fn add_task(&mut self, zone: usize) {
        for (other, remaining) in self.remaining_tasks.iter_mut().enumerate() {
            if other == zone {
                *remaining = remaining.saturating_sub(1);
            } else if self.colocate {
                *remaining = 0;
            }
        }
    }
}

/// Lookup of jobs, implemented by the leader.
pub trait JobDirectory {
    /// Constraints and predicted durations of this job's tasks; `None` for an unknown job.
    fn profile(&self, job: JobId) -> Option<JobProfile>;
    /// Number of tasks of a job with zone constraints that may still be added to each zone, given its running tasks and
    /// those that are `planned` by zone.
    fn zone_allowance(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> ZoneAllowance;
}
