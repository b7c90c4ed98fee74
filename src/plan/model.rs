//! What is planned: tasks and machines as the plan sees them, and what it asks about jobs.

use super::PREEMPTING_PRIORITIES;
use crate::types::{Duration, JobId, MachineId, Resources, Timestamp};
use std::collections::BTreeMap;

/// Where an entry stands in a queue: rank first, then the order of arrival.
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
    /// Whether placement of the job's tasks depends on each other (`Spread`, `Together`).
    pub has_zone_constraints: bool,
    /// Whether all tasks of the job start at the same time.
    pub is_gang: bool,
    /// The rank whose lower tasks may be stopped to make room for this one at once, if any may.
    pub preempts_below: Option<u8>,
    /// Whether it may start in room that is kept ahead for what must start at once.
    pub uses_headroom: bool,
}

impl QueueEntry {
    /// The part of free room in which it may start.
    pub fn usable_resources(&self, free: &Resources, kept: &Resources) -> Resources {
        let mut room = *free;
        if !self.uses_headroom {
            room.saturating_sub(kept);
        }
        room
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
    /// Spot or ordinary.
    pub spot: bool,
    /// When it can start tasks (later than now while it boots).
    pub ready_at: Timestamp,
    /// It starts nothing before this time from now on: an overdue boot is not over at once.
    pub min_start_delay: Duration,
    /// Among machines that are as good, the one with the smaller value is taken, for endless and
    /// for other tasks: cheap and already used ones first.
    pub bias: (u64, u64),
    /// Room that is free now.
    pub free: Resources,
    /// Part of the free room that is kept ahead for what must start at once.
    pub headroom: Resources,
    /// Room of tasks that may be pushed aside, by the rank of what pushes them: the most important services, and gangs.
    pub preemptible: [Resources; PREEMPTING_PRIORITIES],
    /// Room that running tasks are predicted to give back.
    pub releases: Vec<(Timestamp, Resources)>,
    /// Images that it holds, in order.
    pub images: Vec<ImageIndex>,
    /// Tasks that wait for this machine, most important first.
    pub queue: Vec<QueueEntry>,
    /// How many tasks that is.
    pub queued_tasks: u32,
}

/// An image, as an index.
pub type ImageIndex = u32;

/// What decides where a job's tasks may run and how long they take there; made once per job, so that
/// looking at a machine costs a few comparisons.
#[derive(Debug, Clone)]
pub struct JobProfile {
    /// By type of machine: the predicted time where the image is, and where it is not; `None`: not there.
    pub durations_by_type: Vec<Option<(Duration, Duration)>>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// Whether spot machines will do.
    pub allows_spot: bool,
    /// Machines on which its tasks failed.
    pub avoided_machines: Vec<MachineId>,
    /// Its image.
    pub image: ImageIndex,
}

impl JobProfile {
    /// The predicted time on this machine; `None` if the tasks cannot run there.
    pub fn predicted_duration(&self, server: &PlannedMachine) -> Option<Duration> {
        let (cached, fetched) = (*self.durations_by_type.get(server.machine_type)?)?;
        let allowed = (self.allows_spot || !server.spot)
            && self.zone.is_none_or(|z| z == server.zone)
            && !self.avoided_machines.contains(&server.id);
        allowed.then(|| if server.images.binary_search(&self.image).is_ok() { cached } else { fetched })
    }
}

/// Where tasks of a constrained job may still be added.
#[derive(Debug, Clone, Default)]
pub struct ZoneAllowance {
    /// How many in each zone.
    pub remaining_tasks: Vec<u32>,
    /// Whether one task in a zone rules the others out.
    pub colocate: bool,
}

impl ZoneAllowance {
    pub(super) fn has_room(&self, zone: usize) -> bool {
        self.remaining_tasks.get(zone).is_some_and(|n| *n > 0)
    }

    pub(super) fn add_task(&mut self, zone: usize) {
        for (z, left) in self.remaining_tasks.iter_mut().enumerate() {
            if z == zone {
                *left = left.saturating_sub(1);
            } else if self.colocate {
                *left = 0;
            }
        }
    }
}

/// What the plan asks about jobs.
pub trait JobDirectory {
    /// Where tasks of this job may run; `None` for a job that is not known.
    fn profile(&self, job: JobId) -> Option<JobProfile>;
    /// Where tasks of a constrained job may be added, given those that run and, by zone, those planned.
    fn zone_allowance(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> ZoneAllowance;
}
