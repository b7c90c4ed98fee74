//! What is planned: tasks and machines as the plan sees them, and what it asks about jobs.

use super::PUSHING_RANKS;
use crate::types::{Duration, JobId, MachineId, Resources, Timestamp};
use std::collections::BTreeMap;

/// Where an entry stands in a queue: rank first, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePriority {
    /// 0 is the most important.
    pub rank: u8,
    /// Order of arrival.
    pub seq: u64,
}

/// Like tasks of one job that wait for the same machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The job.
    pub job: JobId,
    /// Its place in queues.
    pub order: QueuePriority,
    /// How many tasks.
    pub count: u32,
    /// What each of them takes.
    pub need: Resources,
    /// Predicted time on this machine.
    pub run: Duration,
    /// Whether the tasks run until cancelled.
    pub endless: bool,
    /// When they should be complete; `Timestamp::NEVER` without a deadline.
    pub deadline: Timestamp,
    /// Whether placement of the job's tasks depends on each other (`Spread`, `Together`).
    pub constrained: bool,
    /// Whether all tasks of the job start at the same time.
    pub gang: bool,
    /// The rank whose lower tasks may be stopped to make room for this one at once, if any may.
    pub pushes_aside: Option<u8>,
    /// Whether it may start in room that is kept ahead for what must start at once.
    pub takes_kept: bool,
}

impl Entry {
    /// The part of free room in which it may start.
    pub fn room_in(&self, free: &Resources, kept: &Resources) -> Resources {
        let mut room = *free;
        if !self.takes_kept {
            room.saturating_sub(kept);
        }
        room
    }
}

/// A machine as the plan sees it.
#[derive(Debug, Clone, Default)]
pub struct Server {
    /// The machine.
    pub id: MachineId,
    /// Its zone, as an index.
    pub zone: usize,
    /// Its type, as an index.
    pub kind: usize,
    /// Spot or ordinary.
    pub spot: bool,
    /// When it can start tasks (later than now while it boots).
    pub ready: Timestamp,
    /// It starts nothing before this time from now on: an overdue boot is not over at once.
    pub slack: Duration,
    /// Among machines that are as good, the one with the smaller value is taken, for endless and
    /// for other tasks: cheap and already used ones first.
    pub bias: (u64, u64),
    /// Room that is free now.
    pub free: Resources,
    /// Part of the free room that is kept ahead for what must start at once.
    pub kept: Resources,
    /// Room of tasks that may be pushed aside, by the rank of what pushes them: the most important services, and gangs.
    pub soft: [Resources; PUSHING_RANKS],
    /// Room that running tasks are predicted to give back.
    pub releases: Vec<(Timestamp, Resources)>,
    /// Images that it holds, in order.
    pub images: Vec<Image>,
    /// Tasks that wait for this machine, most important first.
    pub queue: Vec<Entry>,
    /// How many tasks that is.
    pub waiting: u32,
}

/// An image, as an index.
pub type Image = u32;

/// What decides where a job's tasks may run and how long they take there; made once per job, so that
/// looking at a machine costs a few comparisons.
#[derive(Debug, Clone)]
pub struct Profile {
    /// By type of machine: the predicted time where the image is, and where it is not; `None`: not there.
    pub kinds: Vec<Option<(Duration, Duration)>>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// Whether spot machines will do.
    pub spot: bool,
    /// Machines on which its tasks failed.
    pub avoid: Vec<MachineId>,
    /// Its image.
    pub image: Image,
}

impl Profile {
    /// The predicted time on this machine; `None` if the tasks cannot run there.
    pub fn predict(&self, server: &Server) -> Option<Duration> {
        let (cached, fetched) = (*self.kinds.get(server.kind)?)?;
        let allowed = (self.spot || !server.spot)
            && self.zone.is_none_or(|z| z == server.zone)
            && !self.avoid.contains(&server.id);
        allowed.then(|| if server.images.binary_search(&self.image).is_ok() { cached } else { fetched })
    }
}

/// Where tasks of a constrained job may still be added.
#[derive(Debug, Clone, Default)]
pub struct Zones {
    /// How many in each zone.
    pub left: Vec<u32>,
    /// Whether one task in a zone rules the others out.
    pub together: bool,
}

impl Zones {
    pub(super) fn room(&self, zone: usize) -> bool {
        self.left.get(zone).is_some_and(|n| *n > 0)
    }

    pub(super) fn take(&mut self, zone: usize) {
        for (z, left) in self.left.iter_mut().enumerate() {
            if z == zone {
                *left = left.saturating_sub(1);
            } else if self.together {
                *left = 0;
            }
        }
    }
}

/// What the plan asks about jobs.
pub trait World {
    /// Where tasks of this job may run; `None` for a job that is not known.
    fn profile(&self, job: JobId) -> Option<Profile>;
    /// Where tasks of a constrained job may be added, given those that run and, by zone, those planned.
    fn zones(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> Zones;
}
