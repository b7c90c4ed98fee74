//! What is planned: tasks and machines as the plan sees them, and what it asks about jobs.

use super::PREEMPTING_PRIORITIES;
use crate::types::{Duration, JobId, MachineId, Resources, Timestamp};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Where an entry stands in a queue: priority first, then the order of arrival. The order of the fields decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePriority {
    /// 0 is the most important.
    pub priority: u8,
    /// Order of arrival.
    pub sequence: u64,
}

/// Like tasks of one job that wait for the same machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The job.
    pub job: JobId,
    /// Its place in queues.
    pub queue_priority: QueuePriority,
    /// How many tasks.
    pub count: u32,
    /// What each of them takes.
    pub resources: Resources,
    /// Predicted time on this machine.
    pub predicted_duration: Duration,
    /// Whether the tasks run until cancelled.
    pub is_service: bool,
    /// When they should be complete; `Timestamp::NEVER` without a deadline.
    pub deadline: Timestamp,
    /// Whether placement of the job's tasks depends on each other: anti-affinity or colocation in zones.
    pub has_zone_constraints: bool,
    /// Whether all tasks of the job start at the same time.
    pub is_gang: bool,
    /// The priority below which tasks may be preempted for this one, if any may.
    pub preempts_below: Option<u8>,
    /// Whether it may start in headroom, the part of free resources that is reserved for what must start at once.
    pub uses_headroom: bool,
}

impl QueueEntry {
    /// The part of free resources in which it may start.
    pub fn usable_resources(&self, free: &Resources, headroom: &Resources) -> Resources {
        let mut usable = *free;
        if !self.uses_headroom {
            usable.saturating_sub(headroom);
        }
        usable
    }
}

/// Among machines that are as good, the one with the smaller value is taken: cheap and already used ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementBias {
    /// For services.
    pub for_services: u64,
    /// For tasks that end by themselves.
    pub for_other_tasks: u64,
}

impl PlacementBias {
    /// The machine is taken only if no other one is as good.
    pub const LEAST_PREFERRED: PlacementBias = PlacementBias { for_services: u64::MAX, for_other_tasks: u64::MAX };
}

/// Resources that become free at some time. Releases are in order of time, then of resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceRelease {
    /// When they become free.
    pub at: Timestamp,
    /// What becomes free.
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

/// A machine as the plan sees it.
#[derive(Debug, Clone, Default)]
pub struct PlannedMachine {
    /// The machine.
    pub id: MachineId,
    /// Its zone, as an index.
    pub zone: usize,
    /// Its type, as an index.
    pub machine_type: usize,
    /// Spot or on-demand.
    pub spot: bool,
    /// When it can start tasks (later than now while it boots).
    pub ready_at: Timestamp,
    /// It starts nothing before this time from now on: an overdue boot is not over at once.
    pub min_start_delay: Duration,
    /// Decides among machines that are as good.
    pub bias: PlacementBias,
    /// Resources that are free now.
    pub free: Resources,
    /// Part of the free resources that is reserved for what must start at once.
    pub headroom: Resources,
    /// Resources of tasks that may be preempted, by the priority of what preempts them: the most important
    /// services, and gangs.
    pub preemptible: [Resources; PREEMPTING_PRIORITIES],
    /// What running tasks are predicted to release.
    pub releases: Vec<ResourceRelease>,
    /// Images that it holds, sorted.
    pub images: Vec<ImageIndex>,
    /// Tasks that wait for this machine, most important first.
    pub queue: Vec<QueueEntry>,
    /// How many tasks that is.
    pub queued_tasks: u32,
}

impl PlannedMachine {
    /// When it could start something, given the resources.
    pub(super) fn earliest_start(&self, now: Timestamp) -> Timestamp {
        self.ready_at.max(now + self.min_start_delay)
    }
}

/// An image, as an index.
pub type ImageIndex = u32;

/// The predicted time of a job's task on one type of machine.
#[derive(Debug, Clone, Copy)]
pub struct PredictedDurations {
    /// Where the image is cached.
    pub image_cached: Duration,
    /// Where the image has to be fetched first.
    pub image_fetched: Duration,
}

/// What decides where a job's tasks may run and how long they take there; made once per job, so that
/// looking at a machine costs a few comparisons.
#[derive(Debug, Clone)]
pub struct JobProfile {
    /// By index of the machine type; `None` for types on which the tasks cannot run.
    pub durations_by_type: Vec<Option<PredictedDurations>>,
    /// The only allowed zone, as an index.
    pub zone: Option<usize>,
    /// Whether spot machines will do.
    pub allows_spot: bool,
    /// Machines on which its tasks failed.
    pub avoided_machines: Vec<MachineId>,
    /// Its image.
    pub image: ImageIndex,
}

impl JobProfile {
    /// The predicted time on this machine; `None` if the tasks cannot run there (the paper's `can_do`).
    pub fn predicted_duration(&self, machine: &PlannedMachine) -> Option<Duration> {
        let durations = (*self.durations_by_type.get(machine.machine_type)?)?;
        if !self.allows(machine) {
            return None;
        }
        let is_cached = machine.images.binary_search(&self.image).is_ok();
        Some(if is_cached { durations.image_cached } else { durations.image_fetched })
    }

    /// Whether market, zone and failures allow the tasks on this machine.
    fn allows(&self, machine: &PlannedMachine) -> bool {
        (self.allows_spot || !machine.spot)
            && self.zone.is_none_or(|zone| zone == machine.zone)
            && !self.avoided_machines.contains(&machine.id)
    }
}

/// Where tasks of a job with zone constraints may still be added.
#[derive(Debug, Clone, Default)]
pub struct ZoneAllowance {
    /// How many in each zone.
    pub remaining_tasks: Vec<u32>,
    /// Whether one task in a zone rules the others out.
    pub colocate: bool,
}

impl ZoneAllowance {
    /// Whether one more task may be in this zone.
    pub(super) fn allows_task(&self, zone: usize) -> bool {
        self.remaining_tasks.get(zone).is_some_and(|remaining| *remaining > 0)
    }

    /// Counts one more task in this zone.
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

/// What the plan asks about jobs.
pub trait JobDirectory {
    /// Where tasks of this job may run; `None` for a job that is not known.
    fn profile(&self, job: JobId) -> Option<JobProfile>;
    /// Where tasks of a job with zone constraints may be added, given those that run and, by zone, those planned.
    fn zone_allowance(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> ZoneAllowance;
}
