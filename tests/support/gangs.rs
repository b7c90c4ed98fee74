//! Gangs on the stand-in workers, by the operators' table of phases: tasks of one attempt wait for each other, start, save, fail and
//! complete together.

use super::{AttemptKey, Event, Simulation, TaskState, Worker, WorkerTask, job_of};
use std::collections::{BTreeMap, BTreeSet};

/// What gangs did.
#[derive(Debug, Default)]
pub struct GangHistory {
    /// Attempts at gangs, by job and number.
    attempts: BTreeMap<(String, u64), GangAttempt>,
    /// Saved progress of gangs in milliseconds.
    pub saved_progress_ms: BTreeMap<String, u64>,
    /// Attempts at gangs of which a task had its image.
    gathered: BTreeSet<(String, u64)>,
    /// Tasks that gave up waiting for the rest of their gang.
    pub incomplete_tasks: u64,
    /// Tasks of gangs that were ended while they saved.
    pub aborted_checkpoints: u64,
}

/// One attempt at a gang.
#[derive(Debug, Default)]
pub struct GangAttempt {
    /// When all tasks had their image, if they had.
    started: Option<u64>,
    /// Saved progress with which it started, in milliseconds.
    base: u64,
    /// When the first of its running tasks was told to stop.
    first_kill: Option<u64>,
    /// Tasks that were told to stop in time and with enough time for saving.
    told: u64,
    /// When a task was gone, and how long the others take to notice.
    broken: Option<(u64, u64)>,
    /// All tasks are done, or saved.
    over: bool,
}

impl GangAttempt {
    /// Progress of the job at this time.
    fn progress(&self, now: u64) -> u64 {
        let until = self.first_kill.unwrap_or(now);
        self.base + self.started.map_or(0, |at| until.saturating_sub(at))
    }
}

impl Simulation {
    /// Whether a job, or a task's job, is a gang.
    pub(super) fn is_gang(&self, name: &str) -> bool {
        self.jobs.get(job_of(name)).is_some_and(|j| j.spec["Shape"] == "group")
    }

    fn milliseconds(&self, job: &str, field: &str) -> u64 {
        (self.jobs[job].spec[field].as_f64().unwrap_or(0.0) * 1000.0) as u64
    }

    /// Machines that execute a task of an attempt in this state.
    fn members(&self, job: &str, attempt: u64, state: TaskState) -> Vec<(u64, AttemptKey)> {
        let workers = self.workers.iter().filter(|(_, w)| w.is_alive && !w.is_hung);
        let of = |key: &AttemptKey| key.0 == attempt && job_of(&key.1) == job;
        let tasks = workers.flat_map(|(id, w)| w.tasks.iter().map(move |(key, task)| (id, key, task)));
        tasks.filter(|(_, key, t)| t.state == state && of(key)).map(|(id, key, _)| (*id, key.clone())).collect()
    }

    fn exit(&mut self, machine: u64, key: &AttemptKey, cause: &'static str, saved: bool) {
        let task = self.workers.get_mut(&machine).and_then(|w| w.tasks.get_mut(key));
        if let Some(t) = task.filter(|t| t.state != TaskState::Exited) {
            (t.state, t.cause, t.saved) = (TaskState::Exited, Some(cause), saved);
            self.send_heartbeat_soon(machine);
        }
    }

    /// How many attempts at a gang had a task with its image.
    pub fn gang_attempts(&self, job: &str) -> usize {
        self.gangs.gathered.iter().filter(|(id, _)| id == job).count()
    }

    /// Machines on which tasks of a gang wait for the others.
    pub fn machines_awaiting_gang(&self, job: &str) -> Vec<u64> {
        let waits = |(key, t): (&AttemptKey, &WorkerTask)| t.state == TaskState::AwaitingGang && job_of(&key.1) == job;
        self.workers.iter().filter(|(_, w)| w.tasks.iter().any(waits)).map(|(id, _)| *id).collect()
    }

    /// How many tasks of a job save.
    pub fn checkpointing_tasks(&self, job: &str) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks.filter(|(key, t)| t.state == TaskState::Checkpointing && job_of(&key.1) == job).count()
    }

    /// How many tasks of a job are on machines, those included that fetch their image.
    pub fn tasks_on_machines(&self, job: &str) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks.filter(|(key, t)| t.state != TaskState::Exited && job_of(&key.1) == job).count()
    }

    /// A machine that holds a task of a job.
    pub fn machine_holding(&self, job: &str) -> Option<u64> {
        self.machine_holding_except(job, &[])
    }

    /// A machine other than these that holds a task of a job.
    pub fn machine_holding_except(&self, job: &str, others: &[u64]) -> Option<u64> {
        let holds = |(key, t): (&AttemptKey, &WorkerTask)| t.state != TaskState::Exited && job_of(&key.1) == job;
        let mut workers = self.workers.iter().filter(|(id, _)| !others.contains(id));
        workers.find(|(_, w)| w.tasks.iter().any(holds)).map(|(id, _)| *id)
    }

    /// The zone of a machine.
    pub fn zone_of_machine(&self, machine: u64) -> String {
        self.workers[&machine].zone.clone()
    }

    /// A task of a gang has its image and waits for the others.
    pub(super) fn gather(&mut self, machine: u64, session: u64, key: AttemptKey) {
        self.schedule(self.site.gang_wait_ms, Event::GangWaitTimeout(machine, session, key.clone()));
        let (job, attempt) = (job_of(&key.1).to_string(), key.0);
        self.gangs.gathered.insert((job.clone(), attempt));
        let members = self.members(&job, attempt, TaskState::AwaitingGang);
        self.send_heartbeat_soon(machine);
        if (members.len() as u64) < self.jobs[&job].task_count() {
            return;
        }
        let gang = self.gangs.attempts.entry((job.clone(), attempt)).or_default();
        gang.started = Some(self.now);
        gang.base = self.gangs.saved_progress_ms.get(&job).copied().unwrap_or(0);
        let left =
            (self.milliseconds(&job, "RuntimeS")).saturating_sub(self.gangs.attempts[&(job.clone(), attempt)].base);
        for (machine, key) in members {
            let Some(w) = self.workers.get_mut(&machine) else { continue };
            let (session, sick) = (w.epoch, w.tasks_fail || self.tasks.failing_jobs.contains(&job));
            if let Some(t) = w.tasks.get_mut(&key) {
                t.state = TaskState::Running;
            }
            if sick {
                self.schedule(200, Event::TaskEnded(machine, session, key));
            }
            self.send_heartbeat_soon(machine);
        }
        self.schedule(left.max(1), Event::GangDone(job, attempt));
    }

    /// A task has waited for the others as long as it may.
    pub(super) fn gather_timeout(&mut self, machine: u64, session: u64, key: &AttemptKey) {
        let waits =
            |w: &Worker| w.epoch == session && w.tasks.get(key).is_some_and(|t| t.state == TaskState::AwaitingGang);
        if self.workers.get(&machine).is_some_and(waits) {
            self.gangs.incomplete_tasks += 1;
            self.exit(machine, key, "incomplete", false);
        }
    }

    /// The gang has run as long as it takes: all tasks are done if all ran to the end.
    pub(super) fn gang_done(&mut self, job: &str, attempt: u64) {
        let members = self.members(job, attempt, TaskState::Running);
        let pieces = self.jobs[job].task_count();
        let gang = self.gangs.attempts.entry((job.to_string(), attempt)).or_default();
        if gang.over || gang.broken.is_some() || gang.first_kill.is_some() || (members.len() as u64) < pieces {
            return;
        }
        gang.over = true;
        for (machine, key) in members {
            self.tasks.finished.insert(key.1.clone());
            if let Some(w) = self.workers.get_mut(&machine) {
                w.finished_tasks.insert(key.1.clone());
            }
            self.exit(machine, &key, "done", false);
        }
    }

    /// A task of a gang is told to stop.
    pub(super) fn stop_gang_task(&mut self, machine: u64, key: &AttemptKey, grace_s: f64) {
        let (now, job) = (self.now, job_of(&key.1).to_string());
        let state = self.workers[&machine].tasks.get(key).map(|t| t.state);
        let (save, every) = (self.milliseconds(&job, "StashS"), self.milliseconds(&job, "BookmarkS"));
        let peer_ms = self.site.gang_peer_ms;
        let gang = self.gangs.attempts.entry((job, key.0)).or_default();
        match state {
            None | Some(TaskState::Exited) => {}
            Some(TaskState::Running) => {
                let first = *gang.first_kill.get_or_insert(now);
                let in_time = now <= first + peer_ms && gang.broken.is_none();
                if every > 0 && grace_s * 1000.0 >= save as f64 && in_time {
                    gang.told += 1;
                    let w = self.workers.get_mut(&machine).expect("a worker");
                    let session = w.epoch;
                    if let Some(t) = w.tasks.get_mut(key) {
                        t.state = TaskState::Checkpointing;
                    }
                    self.schedule(save, Event::GangTaskSaved(machine, session, key.clone()));
                } else {
                    gang.broken.get_or_insert((now, 0));
                    self.exit(machine, key, "halted", false);
                }
            }
            Some(TaskState::Checkpointing) if grace_s == 0.0 => {
                if !gang.over {
                    gang.broken.get_or_insert((now, 0));
                    self.gangs.aborted_checkpoints += 1;
                }
                self.exit(machine, key, "halted", false);
            }
            Some(TaskState::Checkpointing) => {}
            Some(_) => self.exit(machine, key, "halted", false),
        }
    }

    /// A task has saved. Progress is safe once all were told in time and the first of them exits.
    pub(super) fn gang_task_saved(&mut self, machine: u64, session: u64, key: &AttemptKey) {
        let Some(w) = self.workers.get(&machine) else { return };
        let saving = w.tasks.get(key).is_some_and(|t| t.state == TaskState::Checkpointing);
        if w.epoch != session || !saving {
            return;
        }
        let (now, job) = (self.now, job_of(&key.1).to_string());
        let pieces = self.jobs[&job].task_count();
        let gang = self.gangs.attempts.entry((job.clone(), key.0)).or_default();
        if gang.broken.is_some() {
            return self.exit(machine, key, "peers", false);
        }
        if gang.told == pieces {
            gang.over = true;
            let progress = gang.progress(now);
            self.gangs.saved_progress_ms.insert(job, progress);
            return self.exit(machine, key, "halted", true);
        }
        // It waits for the others.
        self.schedule(100, Event::GangTaskSaved(machine, session, key.clone()));
    }

    /// Tasks notice within some time that another one of their gang is gone, or was not told to stop with them.
    pub(super) fn check_gangs(&mut self) {
        let now = self.now;
        let attempts: Vec<(String, u64)> = self
            .gangs
            .attempts
            .iter()
            .filter(|(_, g)| g.started.is_some() && !g.over)
            .map(|(id, _)| id.clone())
            .collect();
        for (job, attempt) in attempts {
            let running = self.members(&job, attempt, TaskState::Running);
            let saving = self.members(&job, attempt, TaskState::Checkpointing);
            let (pieces, delay) = (self.jobs[&job].task_count(), self.random_below(self.site.gang_peer_ms));
            let (every, peer_ms) = (self.milliseconds(&job, "BookmarkS"), self.site.gang_peer_ms);
            let Some(gang) = self.gangs.attempts.get_mut(&(job.clone(), attempt)) else { continue };
            let missing = (running.len() + saving.len()) < pieces as usize;
            let untold = gang.first_kill.is_some_and(|at| now > at + peer_ms) && gang.told < pieces;
            if gang.broken.is_none() && (missing || untold) {
                gang.broken = Some((now, if untold { 0 } else { delay }));
            }
            let Some((at, delay)) = gang.broken else { continue };
            let progress = gang.progress(at);
            let checkpoint = progress.checked_div(every).unwrap_or(0) * every;
            let saved = self.gangs.saved_progress_ms.entry(job).or_insert(0);
            *saved = (*saved).max(checkpoint);
            if now >= at + delay {
                for (machine, key) in running.into_iter().chain(saving) {
                    self.exit(machine, &key, "peers", false);
                }
            }
        }
    }
}
