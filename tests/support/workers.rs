//! Simulated workers: heartbeats, leases, commands and tasks, as PROTOCOL specifies them.
//!
//! A worker sends its heartbeats to one controller at a time and moves on to the next one when it gets no usable
//! response. A response from the leader renews the worker's lease, which counts from the sending of the heartbeat; when
//! the lease expires, all tasks on the machine end. Commands with a lower fencing token than the worker has seen, or
//! for an earlier epoch of the worker, are refused.

use super::*;

/// Time after which a worker gives up on a heartbeat that gets no response, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
/// Minimum interval between two heartbeats of a machine, in milliseconds.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
const RETRY_DELAY_MS: u64 = 1000;
/// Run time of a task that is set to fail, in milliseconds.
const TASK_FAILURE_DELAY_MS: u64 = 200;
const IMAGE_FETCH_MS: u64 = 1000;

/// An attempt at a task on a worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerTask {
    pub(super) task: String,
    pub(super) state: TaskState,
    /// Why it exited, as spelled in PROTOCOL; None until then.
    pub(super) exit_reason: Option<&'static str>,
    /// Whether its progress is saved in a checkpoint.
    pub(super) checkpoint_saved: bool,
}

/// A simulated machine with its worker.
pub struct Worker {
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) epoch: u64,
    sequence: u64,
    pub(super) fencing_token: u64,
    pub(super) tasks: BTreeMap<AttemptKey, WorkerTask>,
    cached_images: BTreeSet<String>,
    pub(super) finished_tasks: BTreeSet<String>,
    /// The controller that it sends its heartbeats to.
    controller: usize,
    /// The request number of the heartbeat that has no response yet.
    pending_heartbeat: Option<u64>,
    last_heartbeat_at: u64,
    pub(super) lease_renewed_at: u64,
    /// When its lease was last renewed after a gap of more than one and a half heartbeat intervals.
    pub(super) reconnected_at: u64,
    /// When the cloud reclaims the machine; None unless it was announced.
    pub(super) reclaim_at: Option<u64>,
    /// Whether every task fails on this machine.
    pub tasks_fail: bool,
    pub(super) is_partitioned: bool,
    /// Whether the machine hangs: it processes nothing, and events for it are held until it resumes.
    pub(super) is_hung: bool,
    pub(super) is_alive: bool,
    pub(super) is_booted: bool,
}

impl Worker {
    /// Returns the worker of a machine that was just provisioned and is booting.
    pub(super) fn booting(zone: &str, spot: bool, is_partitioned: bool) -> Worker {
        Worker {
            zone: zone.to_string(),
            spot,
            epoch: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            cached_images: BTreeSet::new(),
            finished_tasks: BTreeSet::new(),
            controller: 0,
            pending_heartbeat: None,
            last_heartbeat_at: 0,
            lease_renewed_at: 0,
            reconnected_at: 0,
            reclaim_at: None,
            tasks_fail: false,
            is_partitioned,
            is_hung: false,
            is_alive: true,
            is_booted: false,
        }
    }

    /// Returns the tasks that have not exited, including those whose image is being fetched.
    pub(super) fn unfinished_tasks(&self) -> Vec<String> {
        self.tasks.values().filter(|t| t.state != TaskState::Exited).map(|t| t.task.clone()).collect()
    }

    /// Gives up on the pending heartbeat and selects the next controller for the following one.
    fn try_next_controller(&mut self, controllers: usize) {
        self.pending_heartbeat = None;
        self.controller = (self.controller + 1) % controllers;
    }
}

/// What tasks did on the workers.
#[derive(Debug, Default)]
pub struct TaskHistory {
    /// The machines on which each task started, in order of time.
    pub starts: BTreeMap<String, Vec<u64>>,
    pub(super) finished: BTreeSet<String>,
    /// By job: the machines on which its tasks run or ran, with the attempts. Entries that have ended are removed
    /// lazily.
    pub(super) active: HashMap<String, Vec<(u64, AttemptKey)>>,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Maximum random time in milliseconds by which fetching an image takes longer than one second.
    pub fetch_jitter_ms: u64,
    /// Number of tasks that started after their job's cancellation was confirmed, but still within `cancel_ms`.
    pub starts_after_cancellation: u64,
}

/// Queries for tests.
impl Simulation {
    /// Returns the number of provisioned machines in a zone.
    pub fn machines_in_zone(&self, zone: &str) -> usize {
        self.workers.values().filter(|w| w.zone == zone).count()
    }

    /// Returns the number of provisioned on-demand machines.
    pub fn on_demand_machines(&self) -> usize {
        self.workers.values().filter(|w| !w.spot).count()
    }

    /// Returns when a machine sent the heartbeat that renewed its lease last, in milliseconds; 0 if the machine is
    /// gone.
    pub fn lease_renewed_at(&self, machine: u64) -> u64 {
        self.workers.get(&machine).map_or(0, |w| w.lease_renewed_at)
    }

    /// Returns the machines that exist and that the leader does not know.
    pub fn machines_unknown_to_leader(&self) -> Vec<u64> {
        let leader = self.leader().and_then(|node| self.controllers.processes[node].as_ref()?.leader());
        let known: BTreeSet<u64> = leader.iter().flat_map(|leader| leader.machines()).map(|m| m.id().0).collect();
        self.workers.keys().filter(|id| !known.contains(id)).copied().collect()
    }

    /// Returns the number of running tasks of a job.
    pub fn running_tasks(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        let tasks = self.workers.values().flat_map(|w| w.tasks.values());
        tasks.filter(|t| t.state == TaskState::Running && t.task.starts_with(&prefix)).count()
    }

    /// Returns the number of attempts that have exited and that their workers still report.
    pub fn exited_attempts(&self) -> usize {
        let tasks = self.workers.values().flat_map(|w| w.tasks.values());
        tasks.filter(|t| t.state == TaskState::Exited).count()
    }

    /// Returns the highest fencing token that any worker has seen.
    pub fn highest_worker_token(&self) -> u64 {
        self.workers.values().map(|w| w.fencing_token).max().unwrap_or(0)
    }

    /// Returns the machine that runs a task.
    pub fn machine_running(&self, task: &str) -> Option<u64> {
        let runs = |w: &Worker| w.tasks.values().any(|t| t.task == task && t.state == TaskState::Running);
        self.workers.iter().find(|(_, w)| runs(w)).map(|(id, _)| *id)
    }
}

/// Heartbeats and leases.
impl Simulation {
    pub(super) fn machine_booted(&mut self, machine: u64) {
        self.schedule(self.site.lease_ms, Event::LeaseCheck(machine));
        let now = self.now;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_booted = true;
            w.lease_renewed_at = now;
        }
        self.send_heartbeat(machine);
    }

    fn next_heartbeat(&mut self, machine: u64) -> Heartbeat {
        let now = self.now;
        let w = self.workers.get_mut(&machine).expect("the machine exists");
        w.sequence += 1;
        let tasks = w.tasks.iter().map(|(attempt, t)| TaskStatus {
            task: t.task.parse().ok(),
            attempt: attempt.0,
            state: t.state,
            exit_reason: t.exit_reason.map(|c| serde_json::from_value(json!(c)).expect("a valid exit reason")),
            checkpoint_saved: Some(t.checkpoint_saved),
        });
        Heartbeat {
            machine: MachineId(machine).to_string(),
            endpoint: "10.0.0.1:1".into(),
            machine_type: "small".into(),
            zone: w.zone.clone(),
            spot: w.spot,
            epoch: w.epoch,
            sequence: w.sequence,
            fencing_token: w.fencing_token,
            reclaim_in_s: w.reclaim_at.map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: Some(tasks.collect()),
        }
    }

    /// Sends the next heartbeat as soon as the minimum interval allows.
    pub(super) fn send_heartbeat_soon(&mut self, machine: u64) {
        let earliest = self.workers.get(&machine).map_or(0, |w| w.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL_MS);
        let wait = earliest.saturating_sub(self.now);
        self.schedule(wait, Event::HeartbeatDue(machine));
    }

    /// Sends a heartbeat that is due, after giving up on a previous one that has timed out.
    pub(super) fn heartbeat_due(&mut self, machine: u64) {
        if let Some(w) = self.workers.get(&machine)
            && let Some(number) = w.pending_heartbeat
            && self.now >= w.last_heartbeat_at + HEARTBEAT_TIMEOUT_MS
        {
            self.requests.pending.remove(&number);
            self.heartbeat_failed(machine, number);
        }
        self.send_heartbeat(machine);
    }

    fn send_heartbeat(&mut self, machine: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if !w.is_alive || !w.is_booted {
            return;
        }
        if w.pending_heartbeat.is_some() || now < w.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL_MS {
            return;
        }
        w.last_heartbeat_at = now;
        let (node, worker_epoch) = (w.controller, w.epoch);
        let heartbeat = Box::new(self.next_heartbeat(machine));
        let number = self.next_request(node as u64);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.pending_heartbeat = Some(number);
        }
        self.duplicate_or_replay_heartbeat(machine, &heartbeat);
        self.requests.pending.insert(number, Requester::Worker { machine, number, worker_epoch, sent_at: now });
        self.schedule(2, Event::Heartbeat(machine, number, heartbeat));
        self.schedule(HEARTBEAT_TIMEOUT_MS, Event::HeartbeatDue(machine));
    }

    /// Applies the faults that repeat heartbeats: some are recorded for replay to the next leader, others are delivered
    /// again, late, to a random controller.
    fn duplicate_or_replay_heartbeat(&mut self, machine: u64, heartbeat: &Heartbeat) {
        let replayed_percent = self.faults.replayed_heartbeats_percent;
        if replayed_percent > 0 && self.random_below(100) < replayed_percent {
            self.faults.heartbeats_to_replay.push((machine, Box::new(heartbeat.clone())));
        }
        let (percent, max_delay_ms) = self.faults.duplicate_heartbeats;
        if percent > 0 && self.random_below(100) < percent {
            let (to, delay) =
                (self.random_below(self.controller_count()), 500 + self.random_below(max_delay_ms.max(1)));
            self.send_duplicate_heartbeat(machine, to, delay, heartbeat);
        }
    }

    /// Delivers a duplicate of a heartbeat to a controller after `delay` milliseconds; its response is discarded.
    pub(super) fn send_duplicate_heartbeat(&mut self, machine: u64, to: u64, delay: u64, heartbeat: &Heartbeat) {
        let number = self.next_request(to);
        self.schedule(delay, Event::Heartbeat(machine, number, Box::new(heartbeat.clone())));
    }

    /// Passes a heartbeat to the controller that it was sent to, subject to the faults in force.
    pub(super) fn heartbeat_arrives(&mut self, machine: u64, number: u64, heartbeat: Box<Heartbeat>) {
        if self.workers.get(&machine).is_some_and(|w| w.is_partitioned) {
            let event = Event::Heartbeat(machine, number, heartbeat);
            return self.faults.held_events.entry(machine).or_default().push(event);
        }
        let node = (number % self.controller_count()) as usize;
        if !self.reaches(node, machine) || self.faults.outbound_lost.contains(&machine) {
            return; // The heartbeat is lost, and the worker times out.
        }
        if self.controllers.processes[node].is_none() {
            self.requests.pending.remove(&number);
            return self.heartbeat_failed(machine, number);
        }
        self.handle_input(node, Input::Heartbeat(RequestOrigin::Http(number), heartbeat));
    }

    /// Selects the next controller after a heartbeat failed, and retries.
    pub(super) fn heartbeat_failed(&mut self, machine: u64, number: u64) {
        let controllers = self.site.nodes;
        if let Some(w) = self.workers.get_mut(&machine)
            && w.pending_heartbeat == Some(number)
        {
            w.try_next_controller(controllers);
            self.schedule(RETRY_DELAY_MS, Event::HeartbeatDue(machine));
        }
    }

    /// Handles the arrival of the response to a heartbeat at its machine.
    pub(super) fn heartbeat_response_arrives(
        &mut self,
        machine: u64,
        number: u64,
        worker_epoch: u64,
        sent_at: u64,
        http_response: &ApiResponse,
    ) {
        let controllers = self.site.nodes;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if w.pending_heartbeat != Some(number) || w.is_partitioned || self.faults.inbound_lost.contains(&machine) {
            return;
        }
        if self.now > sent_at + HEARTBEAT_TIMEOUT_MS {
            return self.heartbeat_failed(machine, number);
        }
        w.pending_heartbeat = None;
        match http_response.status {
            200 => {
                let wait = self.site.report_ms - 300 + self.random_below(600);
                self.schedule(wait, Event::HeartbeatDue(machine));
                let response = serde_json::from_str(&http_response.body).expect("a valid heartbeat response");
                self.renew_lease(machine, worker_epoch, sent_at, &response);
            }
            421 => self.redirect_worker(machine, &http_response.body),
            _ => {
                w.try_next_controller(controllers);
                self.schedule(RETRY_DELAY_MS, Event::HeartbeatDue(machine));
            }
        }
    }

    /// Handles a response that redirects the worker to the leader: it retries at the named controller, or at the next
    /// one if that is the same one or unknown.
    fn redirect_worker(&mut self, machine: u64, body: &str) {
        let controllers = self.site.nodes;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        let named = body["Steward"].as_str().and_then(|s| (0..controllers).find(|n| node_name(*n) == s));
        let is_same_controller = named.is_none() || named == Some(w.controller);
        w.controller = named.filter(|_| !is_same_controller).unwrap_or((w.controller + 1) % controllers);
        self.schedule(if is_same_controller { RETRY_DELAY_MS } else { 500 }, Event::HeartbeatDue(machine));
    }

    /// Renews the lease and executes the commands of a leader's response, unless the lease has expired or the response
    /// belongs to an earlier epoch or token.
    fn renew_lease(&mut self, machine: u64, worker_epoch: u64, sent_at: u64, response: &HeartbeatResponse) {
        let w = self.workers.get_mut(&machine).expect("the machine exists");
        let lease_expired = self.now >= w.lease_renewed_at + self.site.lease_ms;
        if worker_epoch != w.epoch || response.fencing_token < w.fencing_token || lease_expired {
            return;
        }
        let confirm_soon = response.fencing_token > w.fencing_token || !response.commands.is_empty();
        w.fencing_token = response.fencing_token;
        if sent_at > w.lease_renewed_at + self.site.report_ms * 3 / 2 {
            w.reconnected_at = self.now;
        }
        w.lease_renewed_at = sent_at;
        self.execute_commands(machine, &response.commands);
        if confirm_soon {
            self.send_heartbeat_soon(machine);
        }
    }

    /// Kills and forgets all tasks when the lease has expired, and starts a new epoch of the worker.
    pub(super) fn check_lease(&mut self, machine: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if now >= w.lease_renewed_at + self.site.lease_ms {
            w.tasks.clear();
            w.epoch += 1;
            w.sequence = 0;
            w.lease_renewed_at = now;
            w.pending_heartbeat = None;
            self.send_heartbeat_soon(machine);
        }
        let remaining_ms = self.workers.get(&machine).map_or(0, |w| w.lease_renewed_at + self.site.lease_ms - now);
        self.schedule(remaining_ms, Event::LeaseCheck(machine));
    }
}

/// Commands.
impl Simulation {
    /// Passes a direct command to its machine, subject to the faults in force.
    pub(super) fn command_arrives(
        &mut self,
        node: usize,
        epoch: u64,
        token: u64,
        machine: u64,
        id: u64,
        body: Box<CommandBatch>,
    ) {
        let Some(w) = self.workers.get(&machine) else { return };
        let faults = &mut self.faults;
        if w.is_partitioned || faults.commands_held.contains(&machine) || faults.inbound_lost.contains(&machine) {
            let event = Event::Command { node, epoch, token, machine, id, body };
            return faults.held_events.entry(machine).or_default().push(event);
        }
        if !w.is_alive || !w.is_booted || !self.reaches(node, machine) {
            return;
        }
        let status = self.handle_command(machine, &body);
        let heartbeat = self.next_heartbeat(machine);
        if self.requests.completed_commands.insert((node, epoch, id)) {
            let body = serde_json::to_vec(&heartbeat).expect("JSON").into();
            let input = Input::CommandResponse(token, MachineId(machine), id, ServiceResponse { status, body });
            self.schedule(2, Event::ControllerInput(node, epoch, Box::new(input)));
        }
    }

    /// Executes a direct command if its fencing token and epoch are current; returns the HTTP status of the response.
    pub(super) fn handle_command(&mut self, machine: u64, body: &CommandBatch) -> u16 {
        let w = self.workers.get_mut(&machine).expect("the machine exists");
        let mut status = 409;
        if body.fencing_token >= w.fencing_token {
            w.fencing_token = body.fencing_token;
            if body.epoch == w.epoch {
                status = 200;
                self.execute_commands(machine, &body.commands);
            }
        }
        self.send_heartbeat_soon(machine);
        status
    }

    fn execute_commands(&mut self, machine: u64, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => self.accept_task(machine, task, *attempt),
                WorkerCommand::Stop { task, attempt, grace_s } => {
                    self.stop_task(machine, &(*attempt, task.clone()), *grace_s);
                }
                WorkerCommand::Forget { task, attempt } => {
                    let key = (*attempt, task.clone());
                    let w = self.workers.get_mut(&machine).expect("the machine exists");
                    if w.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                        w.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// Executes a start command. The task is refused if it is already on the machine or capacity is lacking; otherwise
    /// its image is fetched first, unless it is cached.
    fn accept_task(&mut self, machine: u64, task: &str, attempt: u64) {
        let key = (attempt, task.to_string());
        let w = self.workers.get_mut(&machine).expect("the machine exists");
        if w.tasks.contains_key(&key) {
            return;
        }
        let Some(job) = self.jobs.get(job_of(task)) else { return };
        let cores = |t: &WorkerTask| self.jobs[job_of(&t.task)].cores();
        let used: f64 = w.tasks.values().filter(|t| t.state != TaskState::Exited).map(cores).sum();
        let exit_reason = if w.tasks.values().any(|t| t.task == task) {
            Some("in_use")
        } else if used + job.cores() > self.site.cores {
            Some("full")
        } else {
            None
        };
        let state = if exit_reason.is_some() { TaskState::Exited } else { TaskState::Fetching };
        let (worker_epoch, cached) = (w.epoch, w.cached_images.contains(job.image()));
        w.tasks.insert(key.clone(), WorkerTask { task: task.to_string(), state, exit_reason, checkpoint_saved: false });
        if exit_reason.is_some() {
            return;
        }
        if cached {
            return self.start_task(machine, worker_epoch, key);
        }
        let jitter = self.tasks.fetch_jitter_ms;
        let fetch = IMAGE_FETCH_MS + if jitter > 0 { self.random_below(jitter) } else { 0 };
        self.schedule(fetch, Event::ImageFetched(machine, worker_epoch, key));
    }

    /// Executes a stop command.
    fn stop_task(&mut self, machine: u64, key: &AttemptKey, grace_s: f64) {
        if self.is_gang(&key.1) {
            return self.stop_gang_task(machine, key, grace_s);
        }
        if self.workers[&machine].tasks.get(key).is_some_and(|t| t.state == TaskState::Running) {
            self.note_eviction(machine, &key.1);
        }
        let w = self.workers.get_mut(&machine).expect("the machine exists");
        if let Some(t) = w.tasks.get_mut(key).filter(|t| t.state != TaskState::Exited) {
            t.state = TaskState::Exited;
            t.exit_reason = Some("halted");
        }
    }
}

/// Tasks.
impl Simulation {
    /// Starts a task whose image has been fetched, and checks the invariants of task starts.
    pub(super) fn start_task(&mut self, machine: u64, worker_epoch: u64, key: AttemptKey) {
        let Some(w) = self.workers.get(&machine) else { return };
        let fetching = w.tasks.get(&key).is_some_and(|t| t.state == TaskState::Fetching);
        if w.epoch != worker_epoch || !w.is_alive || !fetching {
            return;
        }
        let (task, id) = (key.1.clone(), job_of(&key.1).to_string());
        let (tasks_fail, was_finished) = (w.tasks_fail, w.finished_tasks.contains(&task));
        let (zone, spot) = (w.zone.clone(), w.spot);
        self.check_task_start(&StartingTask { job: id.clone(), key: key.clone(), machine, zone, spot });
        let now = self.now;
        let awaits_gang = self.is_gang(&id) && !was_finished;
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        job.first_task_started_at.get_or_insert(now);
        let (image, run_ms, service) = (job.image().to_string(), job.run_ms(), job.spec["Shape"] == "standing");
        self.tasks.active.entry(id).or_default().push((machine, key.clone()));
        self.note_restart(&task);
        self.tasks.starts.entry(task).or_default().push(machine);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.cached_images.insert(image);
            if let Some(t) = w.tasks.get_mut(&key) {
                t.state = if awaits_gang { TaskState::AwaitingGang } else { TaskState::Running };
            }
        }
        if awaits_gang {
            self.await_gang(machine, worker_epoch, key);
        } else if tasks_fail {
            self.schedule(TASK_FAILURE_DELAY_MS, Event::TaskEnded(machine, worker_epoch, key));
        } else if !service {
            self.schedule(if was_finished { 1 } else { run_ms }, Event::TaskEnded(machine, worker_epoch, key));
        }
        self.send_heartbeat_soon(machine);
    }

    /// Ends a task whose run time has elapsed or that is set to fail.
    pub(super) fn end_task(&mut self, machine: u64, worker_epoch: u64, key: &AttemptKey) {
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if w.epoch != worker_epoch || !w.is_alive {
            return;
        }
        let Some(t) = w.tasks.get_mut(key).filter(|t| t.state == TaskState::Running) else { return };
        let fails = w.tasks_fail || self.tasks.failing_jobs.contains(job_of(&t.task));
        t.state = TaskState::Exited;
        t.exit_reason = Some(if fails { "error" } else { "done" });
        if !fails {
            self.tasks.finished.insert(t.task.clone());
            w.finished_tasks.insert(t.task.clone());
        }
        self.send_heartbeat_soon(machine);
    }
}
