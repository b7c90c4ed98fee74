//! What a machine's queue is predicted to do: when each task starts as room is given back, and what inserting another one changes.

use super::*;

/// What inserting a task would do to a machine's plan.
pub(super) struct Outcome {
    pub(super) finish: Timestamp,
    /// Tasks that it pushes past their deadline.
    pub(super) pushed: u32,
}

pub(super) fn outcome(server: &PlannedMachine, now: Timestamp, task: QueueEntry) -> Option<Outcome> {
    if server.queued_tasks >= MAX_QUEUED_TASKS {
        return None;
    }
    if server.queue.is_empty() && task.resources.fits(&task.usable_resources(&server.free, &server.headroom)) {
        // Most machines, most of the time: nothing to simulate.
        return Some(Outcome { finish: server.earliest_start(now) + task.predicted_duration, pushed: 0 });
    }
    let after = simulate(server, now, Some(&task));
    let before = if after.late > 0 { simulate(server, now, None).late } else { 0 };
    after.finish.map(|finish| Outcome { finish, pushed: after.late.saturating_sub(before) })
}

impl PlannedMachine {
    /// When it could start something, given the room.
    pub(super) fn earliest_start(&self, now: Timestamp) -> Timestamp {
        self.ready_at.max(now + self.min_start_delay)
    }
}

pub(super) fn position(queue: &[QueueEntry], order: QueuePriority) -> usize {
    queue.partition_point(|e| e.queue_priority <= order)
}

pub(super) struct Simulated {
    finish: Option<Timestamp>,
    late: u32,
}

pub(super) fn simulate(server: &PlannedMachine, now: Timestamp, insert: Option<&QueueEntry>) -> Simulated {
    let mut result = Simulated { finish: None, late: 0 };
    if insert.is_none() && server.queue.iter().all(|e| e.deadline == Timestamp::NEVER) {
        return result;
    }
    walk(server, now, insert, |entry, start, is_new| {
        let finish = start.map(|s| s + entry.predicted_duration);
        if is_new {
            result.finish = finish;
        } else if entry.deadline != Timestamp::NEVER && finish.is_none_or(|f| f > entry.deadline) {
            result.late += 1;
        }
    });
    result
}

pub(super) fn late_by_entry(server: &PlannedMachine, now: Timestamp) -> Vec<(JobId, u32)> {
    let mut late: Vec<(JobId, u32)> = Vec::new();
    walk(server, now, None, |entry, start, _| {
        if entry.deadline != Timestamp::NEVER && start.is_none_or(|s| s + entry.predicted_duration > entry.deadline) {
            match late.iter_mut().find(|(job, _)| *job == entry.job) {
                Some((_, n)) => *n += 1,
                None => late.push((entry.job, 1)),
            }
        }
    });
    late
}

/// Room that is given back at some time: CPUs, GPUs and memory.
pub(super) type Release = (Timestamp, u64, u64, u64);

pub(super) fn release(at: Timestamp, room: &Resources) -> Release {
    (at, room.cpus, room.gpus, room.memory)
}

/// Lets a machine's queue start in order as room frees and tells each task's start.
pub(super) fn walk(
    server: &PlannedMachine,
    now: Timestamp,
    insert: Option<&QueueEntry>,
    mut tell: impl FnMut(&QueueEntry, Option<Timestamp>, bool),
) {
    let mut free = server.free;
    let mut kept = server.headroom;
    let mut soft = server.preemptible;
    let mut clock = server.earliest_start(now);
    let mut heap: BinaryHeap<Reverse<Release>> =
        server.releases.iter().map(|(at, room)| Reverse(release(*at, room))).collect();
    let at = insert.map(|e| position(&server.queue, e.queue_priority));
    // A gang's tasks run at the same time, so that none starts in room that another one gives back. Without this a gang was planned
    // one task after the other on a machine that never has room for all of them.
    let mut gang_releases: Vec<Release> = Vec::new();
    let mut last_gang: Option<JobId> = None;
    let mut run = |entry: &QueueEntry, is_new: bool| {
        if last_gang != Some(entry.job) {
            heap.extend(gang_releases.drain(..).map(Reverse));
            last_gang = entry.is_gang.then_some(entry.job);
        }
        for _ in 0..if is_new { 1 } else { entry.count } {
            if let Some(rank) = entry.preempts_below.map(usize::from).filter(|rank| *rank < PREEMPTING_PRIORITIES)
                && !entry.resources.fits(&free)
            {
                // Room is made at once, at the cost of lower tasks.
                let mut all = free;
                all.add(&soft[rank]);
                if entry.resources.fits(&all) {
                    let mut from_soft = entry.resources;
                    from_soft.saturating_sub(&free);
                    free.saturating_sub(&entry.resources);
                    soft.iter_mut().for_each(|room| room.saturating_sub(&from_soft));
                    let start = clock + PREEMPTION_PENALTY;
                    if entry.is_gang {
                        gang_releases.push(release(start + entry.predicted_duration, &entry.resources));
                    }
                    tell(entry, Some(start), is_new);
                    continue;
                }
            }
            while !entry.resources.fits(&entry.usable_resources(&free, &kept)) {
                let Some(Reverse(release)) = heap.pop() else { break };
                clock = clock.max(release.0);
                free.add(&Resources { cpus: release.1, gpus: release.2, memory: release.3 });
            }
            if !entry.resources.fits(&entry.usable_resources(&free, &kept)) {
                // Endless tasks hold the room: what comes behind need not wait for this entry.
                tell(entry, None, is_new);
                continue;
            }
            free.saturating_sub(&entry.resources);
            if entry.uses_headroom {
                kept.saturating_sub(&entry.resources);
            }
            let ends = release(clock + entry.predicted_duration, &entry.resources);
            if entry.is_gang {
                gang_releases.push(ends);
            } else if !entry.is_service {
                heap.push(Reverse(ends));
            }
            tell(entry, Some(clock), is_new);
        }
    };
    for (i, entry) in server.queue.iter().enumerate() {
        if at == Some(i) {
            run(insert.expect("position comes from it"), true);
        }
        run(entry, false);
    }
    if let (Some(at), Some(entry)) = (at, insert)
        && at == server.queue.len()
    {
        run(entry, true);
    }
}
