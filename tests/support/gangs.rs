//! Gangs on the simulated workers, following the operators' table of gang phases: the tasks of one attempt wait for
//! each other, start, write their checkpoints, fail and complete together.

use super::{AttemptKey, Event, Simulation, TaskState, Worker, WorkerTask, job_of};
use std::collections::{BTreeMap, BTreeSet};

/// What gangs did.
#[derive(Debug, Default)]
pub struct GangHistory {
    /// Attempts at gangs, by job and attempt number.
    attempts: BTreeMap<(String, u64), GangAttempt>,
    /// Progress of gangs that is saved in checkpoints, by job, in milliseconds.
    pub saved_progress_ms: BTreeMap<String, u64>,
    /// Attempts at gangs in which at least one task had its image.
    attempts_with_image: BTreeSet<(String, u64)>,
    /// Number of tasks that timed out waiting for the rest of their gang.
    pub incomplete_tasks: u64,
    /// Number of gang tasks that were stopped while they wrote their checkpoint.
    pub aborted_checkpoints: u64,
}

/// One attempt at a gang.
#[derive(Debug, Default)]
pub struct GangAttempt {
    /// When all its tasks had their image and started together; None before.
    started_at: Option<u64>,
    /// Progress restored from the checkpoint at its start, in milliseconds.
    initial_progress_ms: u64,
    /// When the first of its running tasks got a stop command.
    first_stop_at: Option<u64>,
    /// Number of its tasks that got a stop command in time and with a grace period sufficient for their checkpoint.
    graceful_stops: u64,
    /// When it failed because a task was missing or not stopped in time, and the delay in milliseconds after which the
    /// other tasks notice.
    failure: Option<(u64, u64)>,
    /// Whether all its tasks are done, or have saved a checkpoint.
    ended: bool,
}

impl GangAttempt {
    /// Returns the gang's progress at this time, in milliseconds.
    fn progress(&self, now: u64) -> u64 {
        let until = self.first_stop_at.unwrap_or(now);
        self.initial_progress_ms + self.started_at.map_or(0, |at| until.saturating_sub(at))
    }
}

impl Simulation {
    /// Whether a job, or the job of a task, is a gang.
    pub(super) fn is_gang(&self, name: &str) -> bool {
        self.jobs.get(job_of(name)).is_some_and(|j| j.spec["Shape"] == "group")
    }

    fn field_ms(&self, job: &str, field: &str) -> u64 {
        (self.jobs[job].spec[field].as_f64().unwrap_or(0.0) * 1000.0) as u64
    }

    /// Returns the tasks of an attempt that are in this state, with their machines; machines that are down or hung are left out.
    fn tasks_of_attempt(&self, job: &str, attempt: u64, state: TaskState) -> Vec<(u64, AttemptKey)> {
        let workers = self.workers.iter().filter(|(_, w)| w.is_alive && !w.is_hung);
        let of = |key: &AttemptKey| key.0 == attempt && job_of(&key.1) == job;
        let tasks = workers.flat_map(|(id, w)| w.tasks.iter().map(move |(key, task)| (id, key, task)));
        tasks.filter(|(_, key, t)| t.state == state && of(key)).map(|(id, key, _)| (*id, key.clone())).collect()
    }

    fn exit_task(&mut self, machine: u64, key: &AttemptKey, exit_reason: &'static str, checkpoint_saved: bool) {
        let task = self.workers.get_mut(&machine).and_then(|w| w.tasks.get_mut(key));
        if let Some(t) = task.filter(|t| t.state != TaskState::Exited) {
            (t.state, t.exit_reason, t.checkpoint_saved) = (TaskState::Exited, Some(exit_reason), checkpoint_saved);
            self.send_heartbeat_soon(machine);
        }
    }

    /// Returns the number of attempts at a gang in which at least one task had its image.
    pub fn gang_attempts(&self, job: &str) -> usize {
        self.gangs.attempts_with_image.iter().filter(|(id, _)| id == job).count()
    }

    /// Returns the machines on which tasks of a gang wait for the rest of it.
    pub fn machines_awaiting_gang(&self, job: &str) -> Vec<u64> {
        let awaits_gang =
            |(key, t): (&AttemptKey, &WorkerTask)| t.state == TaskState::AwaitingGang && job_of(&key.1) == job;
        self.workers.iter().filter(|(_, w)| w.tasks.iter().any(awaits_gang)).map(|(id, _)| *id).collect()
    }

    /// Returns the number of tasks of a job that are writing a checkpoint.
    pub fn checkpointing_tasks(&self, job: &str) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks.filter(|(key, t)| t.state == TaskState::Checkpointing && job_of(&key.1) == job).count()
    }

    /// Returns the number of tasks of a job on machines, including those whose image is being fetched.
    pub fn tasks_on_machines(&self, job: &str) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks.filter(|(key, t)| t.state != TaskState::Exited && job_of(&key.1) == job).count()
    }

    /// Returns a machine that holds a task of a job.
    pub fn machine_holding(&self, job: &str) -> Option<u64> {
        self.machine_holding_except(job, &[])
    }

    /// Returns a machine that holds a task of a job and is not among `others`.
    pub fn machine_holding_except(&self, job: &str, others: &[u64]) -> Option<u64> {
        let holds = |(key, t): (&AttemptKey, &WorkerTask)| t.state != TaskState::Exited && job_of(&key.1) == job;
        let mut workers = self.workers.iter().filter(|(id, _)| !others.contains(id));
        workers.find(|(_, w)| w.tasks.iter().any(holds)).map(|(id, _)| *id)
    }

    /// Returns the zone of a machine.
    pub fn zone_of_machine(&self, machine: u64) -> String {
        self.workers[&machine].zone.clone()
    }

    /// Lets a task whose image has been fetched wait for the rest of its gang; the last one starts the gang.
    pub(super) fn await_gang(&mut self, machine: u64, worker_epoch: u64, key: AttemptKey) {
        self.schedule(self.site.gang_wait_ms, Event::GangWaitTimeout(machine, worker_epoch, key.clone()));
        let (job, attempt) = (job_of(&key.1).to_string(), key.0);
        self.gangs.attempts_with_image.insert((job.clone(), attempt));
        let tasks = self.tasks_of_attempt(&job, attempt, TaskState::AwaitingGang);
        self.send_heartbeat_soon(machine);
        if (tasks.len() as u64) < self.jobs[&job].task_count() {
            return;
        }
        let gang = self.gangs.attempts.entry((job.clone(), attempt)).or_default();
        gang.started_at = Some(self.now);
        gang.initial_progress_ms = self.gangs.saved_progress_ms.get(&job).copied().unwrap_or(0);
        let remaining_ms = (self.field_ms(&job, "RuntimeS"))
            .saturating_sub(self.gangs.attempts[&(job.clone(), attempt)].initial_progress_ms);
        for (machine, key) in tasks {
            let Some(w) = self.workers.get_mut(&machine) else { continue };
            let (worker_epoch, fails) = (w.epoch, w.tasks_fail || self.tasks.failing_jobs.contains(&job));
            if let Some(t) = w.tasks.get_mut(&key) {
                t.state = TaskState::Running;
            }
            if fails {
                self.schedule(200, Event::TaskEnded(machine, worker_epoch, key));
            }
            self.send_heartbeat_soon(machine);
        }
        self.schedule(remaining_ms.max(1), Event::GangRuntimeElapsed(job, attempt));
    }

    /// Ends a task that has waited for the rest of its gang for `gang_wait_ms`.
    pub(super) fn gang_wait_expired(&mut self, machine: u64, worker_epoch: u64, key: &AttemptKey) {
        let awaits_gang = |w: &Worker| {
            w.epoch == worker_epoch && w.tasks.get(key).is_some_and(|t| t.state == TaskState::AwaitingGang)
        };
        if self.workers.get(&machine).is_some_and(awaits_gang) {
            self.gangs.incomplete_tasks += 1;
            self.exit_task(machine, key, "incomplete", false);
        }
    }

    /// Completes a gang whose run time has elapsed, provided that all its tasks are still running.
    pub(super) fn gang_runtime_elapsed(&mut self, job: &str, attempt: u64) {
        let tasks = self.tasks_of_attempt(job, attempt, TaskState::Running);
        let task_count = self.jobs[job].task_count();
        let gang = self.gangs.attempts.entry((job.to_string(), attempt)).or_default();
        if gang.ended || gang.failure.is_some() || gang.first_stop_at.is_some() || (tasks.len() as u64) < task_count {
            return;
        }
        gang.ended = true;
        for (machine, key) in tasks {
            self.tasks.finished.insert(key.1.clone());
            if let Some(w) = self.workers.get_mut(&machine) {
                w.finished_tasks.insert(key.1.clone());
            }
            self.exit_task(machine, &key, "done", false);
        }
    }

    /// Executes a stop command for a task of a gang.
    pub(super) fn stop_gang_task(&mut self, machine: u64, key: &AttemptKey, grace_s: f64) {
        let (now, job) = (self.now, job_of(&key.1).to_string());
        let state = self.workers[&machine].tasks.get(key).map(|t| t.state);
        let (save_ms, checkpoint_interval_ms) = (self.field_ms(&job, "StashS"), self.field_ms(&job, "BookmarkS"));
        let peer_timeout_ms = self.site.gang_peer_ms;
        let gang = self.gangs.attempts.entry((job, key.0)).or_default();
        match state {
            None | Some(TaskState::Exited) => {}
            Some(TaskState::Running) => {
                let first = *gang.first_stop_at.get_or_insert(now);
                let in_time = now <= first + peer_timeout_ms && gang.failure.is_none();
                if checkpoint_interval_ms > 0 && grace_s * 1000.0 >= save_ms as f64 && in_time {
                    gang.graceful_stops += 1;
                    let w = self.workers.get_mut(&machine).expect("the machine exists");
                    let worker_epoch = w.epoch;
                    if let Some(t) = w.tasks.get_mut(key) {
                        t.state = TaskState::Checkpointing;
                    }
                    self.schedule(save_ms, Event::GangCheckpointWritten(machine, worker_epoch, key.clone()));
                } else {
                    gang.failure.get_or_insert((now, 0));
                    self.exit_task(machine, key, "halted", false);
                }
            }
            Some(TaskState::Checkpointing) if grace_s == 0.0 => {
                if !gang.ended {
                    gang.failure.get_or_insert((now, 0));
                    self.gangs.aborted_checkpoints += 1;
                }
                self.exit_task(machine, key, "halted", false);
            }
            Some(TaskState::Checkpointing) => {}
            Some(_) => self.exit_task(machine, key, "halted", false),
        }
    }

    /// Handles a task that has written its checkpoint. The gang's progress is saved once all its tasks got their stop
    /// commands in time and the first of them exits.
    pub(super) fn gang_checkpoint_written(&mut self, machine: u64, worker_epoch: u64, key: &AttemptKey) {
        let Some(w) = self.workers.get(&machine) else { return };
        let saving = w.tasks.get(key).is_some_and(|t| t.state == TaskState::Checkpointing);
        if w.epoch != worker_epoch || !saving {
            return;
        }
        let (now, job) = (self.now, job_of(&key.1).to_string());
        let task_count = self.jobs[&job].task_count();
        let gang = self.gangs.attempts.entry((job.clone(), key.0)).or_default();
        if gang.failure.is_some() {
            return self.exit_task(machine, key, "peers", false);
        }
        if gang.graceful_stops == task_count {
            gang.ended = true;
            let progress = gang.progress(now);
            self.gangs.saved_progress_ms.insert(job, progress);
            return self.exit_task(machine, key, "halted", true);
        }
        // The task waits for the rest of its gang.
        self.schedule(100, Event::GangCheckpointWritten(machine, worker_epoch, key.clone()));
    }

    /// Ends the remaining tasks of a gang, after a delay, if one of them is missing or not all got a stop command in
    /// time.
    pub(super) fn check_gangs(&mut self) {
        let now = self.now;
        let attempts: Vec<(String, u64)> = self
            .gangs
            .attempts
            .iter()
            .filter(|(_, g)| g.started_at.is_some() && !g.ended)
            .map(|(id, _)| id.clone())
            .collect();
        for (job, attempt) in attempts {
            let running = self.tasks_of_attempt(&job, attempt, TaskState::Running);
            let saving = self.tasks_of_attempt(&job, attempt, TaskState::Checkpointing);
            let (task_count, delay) = (self.jobs[&job].task_count(), self.random_below(self.site.gang_peer_ms));
            let (checkpoint_interval_ms, peer_timeout_ms) = (self.field_ms(&job, "BookmarkS"), self.site.gang_peer_ms);
            let Some(gang) = self.gangs.attempts.get_mut(&(job.clone(), attempt)) else { continue };
            let missing = (running.len() + saving.len()) < task_count as usize;
            let not_all_stopped =
                gang.first_stop_at.is_some_and(|at| now > at + peer_timeout_ms) && gang.graceful_stops < task_count;
            if gang.failure.is_none() && (missing || not_all_stopped) {
                gang.failure = Some((now, if not_all_stopped { 0 } else { delay }));
            }
            let Some((at, delay)) = gang.failure else { continue };
            let progress = gang.progress(at);
            let checkpoint = progress.checked_div(checkpoint_interval_ms).unwrap_or(0) * checkpoint_interval_ms;
            let saved_progress = self.gangs.saved_progress_ms.entry(job).or_insert(0);
            *saved_progress = (*saved_progress).max(checkpoint);
            if now >= at + delay {
                for (machine, key) in running.into_iter().chain(saving) {
                    self.exit_task(machine, &key, "peers", false);
                }
            }
        }
    }
}
