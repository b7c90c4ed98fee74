//! Stand-ins for workers: heartbeats, leases, commands and tasks, as PROTOCOL describes them.
//!
//! A worker reports to one controller at a time and goes to the next one when it gets no good answer. Its lease is renewed by an
//! answer and counts from the sending of the heartbeat; when it ends, every task on the machine ends. Commands with an older fencing
//! token, or for an earlier epoch of the worker, are refused.

use super::*;

/// A heartbeat without an answer is given up after so many milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
/// Least time between two heartbeats of a machine.
const HEARTBEAT_SPACING_MS: u64 = 500;
const RETRY_MS: u64 = 1000;
/// A task that fails does so after so many milliseconds.
const FAILURE_MS: u64 = 200;
const IMAGE_FETCH_MS: u64 = 1000;

/// An attempt at a task on a worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerTask {
    pub(super) task: String,
    pub(super) state: TaskState,
    /// Why it has ended, in PROTOCOL's word.
    pub(super) cause: Option<&'static str>,
    /// Whether its progress is saved.
    pub(super) saved: bool,
}

/// A worker's stand-in.
pub struct Worker {
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) epoch: u64,
    sequence: u64,
    pub(super) fencing_token: u64,
    pub(super) tasks: BTreeMap<AttemptKey, WorkerTask>,
    cached_images: BTreeSet<String>,
    pub(super) finished_tasks: BTreeSet<String>,
    /// The controller that it reports to.
    controller: usize,
    /// The number of the heartbeat whose answer it waits for.
    pending_heartbeat: Option<u64>,
    last_heartbeat_at: u64,
    pub(super) lease_renewed_at: u64,
    /// When its lease was renewed after a gap of more than a heartbeat and a half.
    pub(super) last_gap_at: u64,
    /// When the cloud takes the machine back, if that was announced.
    pub(super) reclaim_at: Option<u64>,
    /// Every task fails on it.
    pub tasks_fail: bool,
    pub(super) is_partitioned: bool,
    /// Hangs: it executes nothing, and what comes waits, until it goes on.
    pub(super) is_hung: bool,
    pub(super) is_alive: bool,
    pub(super) is_booted: bool,
}

impl Worker {
    /// The worker of a machine that was just rented and boots.
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
            last_gap_at: 0,
            reclaim_at: None,
            tasks_fail: false,
            is_partitioned,
            is_hung: false,
            is_alive: true,
            is_booted: false,
        }
    }

    /// Tasks that have not ended, those included that fetch their image.
    pub(super) fn unfinished_tasks(&self) -> Vec<String> {
        self.tasks.values().filter(|t| t.state != TaskState::Exited).map(|t| t.task.clone()).collect()
    }

    /// Gives a heartbeat up; the next one goes to the next controller.
    fn try_next_controller(&mut self, controllers: usize) {
        self.pending_heartbeat = None;
        self.controller = (self.controller + 1) % controllers;
    }
}

/// What tasks did on the workers.
#[derive(Debug, Default)]
pub struct TaskHistory {
    /// The machines on which each task started, in order.
    pub starts: BTreeMap<String, Vec<u64>>,
    pub(super) finished: BTreeSet<String>,
    /// Where tasks of a job run or ran: machine and attempt.
    pub(super) active: HashMap<String, Vec<(u64, AttemptKey)>>,
    /// Jobs that fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// A fetch of an image takes up to so many milliseconds more than a second.
    pub fetch_jitter_ms: u64,
    /// Starts of tasks after their job was confirmed as cancelled, within `cancel_ms`.
    pub starts_after_cancellation: u64,
}

/// What tests ask for.
impl Simulation {
    /// Machines that are rented in a zone.
    pub fn machines_in_zone(&self, zone: &str) -> usize {
        self.workers.values().filter(|w| w.zone == zone).count()
    }

    /// On-demand machines that are rented.
    pub fn on_demand_machines(&self) -> usize {
        self.workers.values().filter(|w| !w.spot).count()
    }

    /// Up to when a machine's lease was renewed, counted from the sending of its heartbeat.
    pub fn lease_renewed_at(&self, machine: u64) -> u64 {
        self.workers.get(&machine).map_or(0, |w| w.lease_renewed_at)
    }

    /// How many tasks of a job are running.
    pub fn running_tasks(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        let tasks = self.workers.values().flat_map(|w| w.tasks.values());
        tasks.filter(|t| t.state == TaskState::Running && t.task.starts_with(&prefix)).count()
    }

    /// The machine that runs a task.
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
        let w = self.workers.get_mut(&machine).expect("a worker");
        w.sequence += 1;
        let tasks = w.tasks.iter().map(|(attempt, t)| TaskStatus {
            task: t.task.parse().ok(),
            attempt: attempt.0,
            state: t.state,
            exit_reason: t.cause.map(|c| serde_json::from_value(json!(c)).expect("a cause")),
            checkpoint_saved: Some(t.saved),
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

    /// Sends the next heartbeat as soon as one may follow the last.
    pub(super) fn send_heartbeat_soon(&mut self, machine: u64) {
        let earliest = self.workers.get(&machine).map_or(0, |w| w.last_heartbeat_at + HEARTBEAT_SPACING_MS);
        let wait = earliest.saturating_sub(self.now);
        self.schedule(wait, Event::HeartbeatDue(machine));
    }

    /// A heartbeat is due, or the last one has waited for its answer too long.
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
        if w.pending_heartbeat.is_some() || now < w.last_heartbeat_at + HEARTBEAT_SPACING_MS {
            return;
        }
        w.last_heartbeat_at = now;
        let (node, session) = (w.controller, w.epoch);
        let heartbeat = Box::new(self.next_heartbeat(machine));
        let number = self.next_request(node as u64);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.pending_heartbeat = Some(number);
        }
        self.duplicate_or_replay_heartbeat(machine, &heartbeat);
        self.requests.pending.insert(number, Requester::Worker { machine, number, session, sent: now });
        self.schedule(2, Event::Heartbeat(machine, number, heartbeat));
        self.schedule(HEARTBEAT_TIMEOUT_MS, Event::HeartbeatDue(machine));
    }

    /// Some heartbeats come again, as the faults in force say: to the next leader, or at any controller and late.
    fn duplicate_or_replay_heartbeat(&mut self, machine: u64, heartbeat: &Heartbeat) {
        let kept_percent = self.faults.replayed_heartbeats_percent;
        if kept_percent > 0 && self.random_below(100) < kept_percent {
            self.faults.heartbeats_to_replay.push((machine, Box::new(heartbeat.clone())));
        }
        let (percent, latest) = self.faults.duplicate_heartbeats;
        if percent > 0 && self.random_below(100) < percent {
            let (to, late) = (self.random_below(self.controller_count()), 500 + self.random_below(latest.max(1)));
            self.send_duplicate_heartbeat(machine, to, late, heartbeat);
        }
    }

    /// A copy of a heartbeat arrives at this controller, so much later; nobody waits for its answer.
    pub(super) fn send_duplicate_heartbeat(&mut self, machine: u64, to: u64, late: u64, heartbeat: &Heartbeat) {
        let number = self.next_request(to);
        self.schedule(late, Event::Heartbeat(machine, number, Box::new(heartbeat.clone())));
    }

    /// A heartbeat has reached its controller, unless a fault is in its way.
    pub(super) fn heartbeat_arrives(&mut self, machine: u64, number: u64, heartbeat: Box<Heartbeat>) {
        if self.workers.get(&machine).is_some_and(|w| w.is_partitioned) {
            let event = Event::Heartbeat(machine, number, heartbeat);
            return self.faults.held_events.entry(machine).or_default().push(event);
        }
        let node = (number % self.controller_count()) as usize;
        if !self.reaches(node, machine) || self.faults.outbound_lost.contains(&machine) {
            return; // the worker waits for its answer in vain
        }
        if self.controllers.processes[node].is_none() {
            self.requests.pending.remove(&number);
            return self.heartbeat_failed(machine, number);
        }
        self.handle_input(node, Input::Heartbeat(RequestOrigin::Http(number), heartbeat));
    }

    /// A heartbeat got no answer: the next controller is asked.
    pub(super) fn heartbeat_failed(&mut self, machine: u64, number: u64) {
        let controllers = self.site.nodes;
        if let Some(w) = self.workers.get_mut(&machine)
            && w.pending_heartbeat == Some(number)
        {
            w.try_next_controller(controllers);
            self.schedule(RETRY_MS, Event::HeartbeatDue(machine));
        }
    }

    /// The answer to a heartbeat has reached its machine.
    pub(super) fn heartbeat_answered(
        &mut self,
        machine: u64,
        number: u64,
        session: u64,
        sent: u64,
        answer: &ApiResponse,
    ) {
        let controllers = self.site.nodes;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if w.pending_heartbeat != Some(number) || w.is_partitioned || self.faults.inbound_lost.contains(&machine) {
            return;
        }
        if self.now > sent + HEARTBEAT_TIMEOUT_MS {
            return self.heartbeat_failed(machine, number);
        }
        w.pending_heartbeat = None;
        match answer.status {
            200 => {
                let wait = self.site.report_ms - 300 + self.random_below(600);
                self.schedule(wait, Event::HeartbeatDue(machine));
                let response = serde_json::from_str(&answer.body).expect("an answer to a heartbeat");
                self.renew_lease(machine, session, sent, &response);
            }
            421 => self.redirect_worker(machine, &answer.body),
            _ => {
                w.try_next_controller(controllers);
                self.schedule(RETRY_MS, Event::HeartbeatDue(machine));
            }
        }
    }

    /// Another controller leads: the one that is named is asked next, or the next one if it is the same or unknown.
    fn redirect_worker(&mut self, machine: u64, body: &str) {
        let controllers = self.site.nodes;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        let named = body["Steward"].as_str().and_then(|s| (0..controllers).find(|n| name(*n) == s));
        let same = named.is_none() || named == Some(w.controller);
        w.controller = named.filter(|_| !same).unwrap_or((w.controller + 1) % controllers);
        self.schedule(if same { RETRY_MS } else { 500 }, Event::HeartbeatDue(machine));
    }

    /// A leader's answer renews the lease, unless that is over, and its commands are executed.
    fn renew_lease(&mut self, machine: u64, session: u64, sent: u64, response: &HeartbeatResponse) {
        let w = self.workers.get_mut(&machine).expect("a worker");
        let lease_over = self.now >= w.lease_renewed_at + self.site.lease_ms;
        if session != w.epoch || response.fencing_token < w.fencing_token || lease_over {
            return;
        }
        let news = response.fencing_token > w.fencing_token || !response.commands.is_empty();
        w.fencing_token = response.fencing_token;
        if sent > w.lease_renewed_at + self.site.report_ms * 3 / 2 {
            w.last_gap_at = self.now;
        }
        w.lease_renewed_at = sent;
        self.execute_commands(machine, &response.commands);
        if news {
            self.send_heartbeat_soon(machine);
        }
    }

    /// When the lease is over, every task is killed and forgotten.
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
        let left = self.workers.get(&machine).map_or(0, |w| w.lease_renewed_at + self.site.lease_ms - now);
        self.schedule(left, Event::LeaseCheck(machine));
    }
}

/// Commands.
impl Simulation {
    /// A direct command has reached its machine, unless a fault is in its way.
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
        if self.requests.answered_commands.insert((node, epoch, id)) {
            let body = serde_json::to_vec(&heartbeat).expect("JSON").into();
            let input = Input::CommandResponse(token, MachineId(machine), id, ServiceResponse { status, body });
            self.schedule(2, Event::ControllerInput(node, epoch, Box::new(input)));
        }
    }

    /// A worker takes a direct command; the status of its answer.
    pub(super) fn handle_command(&mut self, machine: u64, body: &CommandBatch) -> u16 {
        let w = self.workers.get_mut(&machine).expect("a worker");
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
                    let w = self.workers.get_mut(&machine).expect("a worker");
                    if w.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                        w.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// A worker is told to start a task: refused if it has the task already or no room; else its image is fetched first.
    fn accept_task(&mut self, machine: u64, task: &str, attempt: u64) {
        let key = (attempt, task.to_string());
        let w = self.workers.get_mut(&machine).expect("a worker");
        if w.tasks.contains_key(&key) {
            return;
        }
        let Some(job) = self.jobs.get(job_of(task)) else { return };
        let cores = |t: &WorkerTask| self.jobs[job_of(&t.task)].cores();
        let used: f64 = w.tasks.values().filter(|t| t.state != TaskState::Exited).map(cores).sum();
        let cause = if w.tasks.values().any(|t| t.task == task) {
            Some("in_use")
        } else if used + job.cores() > self.site.cores {
            Some("full")
        } else {
            None
        };
        let state = if cause.is_some() { TaskState::Exited } else { TaskState::Fetching };
        let (session, cached) = (w.epoch, w.cached_images.contains(job.image()));
        w.tasks.insert(key.clone(), WorkerTask { task: task.to_string(), state, cause, saved: false });
        if cause.is_some() {
            return;
        }
        if cached {
            return self.start_task(machine, session, key);
        }
        let jitter = self.tasks.fetch_jitter_ms;
        let fetch = IMAGE_FETCH_MS + if jitter > 0 { self.random_below(jitter) } else { 0 };
        self.schedule(fetch, Event::ImageFetched(machine, session, key));
    }

    /// A worker is told to stop a task.
    fn stop_task(&mut self, machine: u64, key: &AttemptKey, grace_s: f64) {
        if self.is_gang(&key.1) {
            return self.stop_gang_task(machine, key, grace_s);
        }
        if self.workers[&machine].tasks.get(key).is_some_and(|t| t.state == TaskState::Running) {
            self.note_eviction(machine, &key.1);
        }
        let w = self.workers.get_mut(&machine).expect("a worker");
        if let Some(t) = w.tasks.get_mut(key).filter(|t| t.state != TaskState::Exited) {
            t.state = TaskState::Exited;
            t.cause = Some("halted");
        }
    }
}

/// Tasks.
impl Simulation {
    /// A task holds its image and starts: the rules are checked.
    pub(super) fn start_task(&mut self, machine: u64, session: u64, key: AttemptKey) {
        let Some(w) = self.workers.get(&machine) else { return };
        let fetching = w.tasks.get(&key).is_some_and(|t| t.state == TaskState::Fetching);
        if w.epoch != session || !w.is_alive || !fetching {
            return;
        }
        let (task, id) = (key.1.clone(), job_of(&key.1).to_string());
        let (tasks_fail, was_finished) = (w.tasks_fail, w.finished_tasks.contains(&task));
        let (zone, spot) = (w.zone.clone(), w.spot);
        self.check_started(&StartingTask { job: id.clone(), key: key.clone(), machine, zone, spot });
        let now = self.now;
        let waits_for_gang = self.is_gang(&id) && !was_finished;
        let job = self.jobs.get_mut(&id).expect("it is known");
        job.first_task_started_at.get_or_insert(now);
        let (image, run_ms, service) = (job.image().to_string(), job.run_ms(), job.spec["Shape"] == "standing");
        self.tasks.active.entry(id).or_default().push((machine, key.clone()));
        self.note_return(&task);
        self.tasks.starts.entry(task).or_default().push(machine);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.cached_images.insert(image);
            if let Some(t) = w.tasks.get_mut(&key) {
                t.state = if waits_for_gang { TaskState::AwaitingGang } else { TaskState::Running };
            }
        }
        if waits_for_gang {
            self.gather(machine, session, key);
        } else if tasks_fail {
            self.schedule(FAILURE_MS, Event::TaskEnded(machine, session, key));
        } else if !service {
            self.schedule(if was_finished { 1 } else { run_ms }, Event::TaskEnded(machine, session, key));
        }
        self.send_heartbeat_soon(machine);
    }

    /// A task has run as long as it takes, or fails.
    pub(super) fn end_task(&mut self, machine: u64, session: u64, key: &AttemptKey) {
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if w.epoch != session || !w.is_alive {
            return;
        }
        let Some(t) = w.tasks.get_mut(key).filter(|t| t.state == TaskState::Running) else { return };
        let fails = w.tasks_fail || self.tasks.failing_jobs.contains(job_of(&t.task));
        t.state = TaskState::Exited;
        t.cause = Some(if fails { "error" } else { "done" });
        if !fails {
            self.tasks.finished.insert(t.task.clone());
            w.finished_tasks.insert(t.task.clone());
        }
        self.send_heartbeat_soon(machine);
    }
}
