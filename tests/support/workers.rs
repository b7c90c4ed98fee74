//! Workers' stand-ins: reports, leases, commands, and the rules that are checked when a task starts.

use super::*;

impl Sim {
    pub fn die(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.alive = false;
            w.tasks.clear();
        }
    }

    pub fn cut(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.cut = true;
        }
    }

    /// Cuts a zone off, with all that is rented there later.
    pub fn cut_zone(&mut self, zone: &str) {
        self.cut_zones.insert(zone.to_string());
        self.workers.values_mut().filter(|w| w.zone == zone).for_each(|w| w.cut = true);
    }

    /// Ends a zone's cut.
    pub fn heal_zone(&mut self, zone: &str) {
        self.cut_zones.remove(zone);
        let within: Vec<u64> = self.workers.iter().filter(|(_, w)| w.zone == zone).map(|(id, _)| *id).collect();
        within.into_iter().for_each(|id| self.heal(id));
    }

    /// Whether the leader holds no older jobs back.
    pub fn open(&self) -> bool {
        let term = |n: usize| self.nodes[n].as_ref().and_then(|c| c.leader());
        self.leader().and_then(term).is_some_and(|r| r.is_loaded() && r.all_machines_fenced())
    }

    /// Machines that are rented in a zone.
    pub fn in_zone(&self, zone: &str) -> usize {
        self.workers.values().filter(|w| w.zone == zone).count()
    }

    /// Ordinary machines that are rented.
    pub fn ordinary(&self) -> usize {
        self.workers.values().filter(|w| !w.spot).count()
    }

    /// Ends a cut or deafness: what was held back is delivered, in order.
    pub fn heal(&mut self, machine: u64) {
        self.inbound_lost.remove(&machine);
        self.outbound_lost.remove(&machine);
        self.hold_commands.remove(&machine);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.cut = false;
        }
        for event in self.held.remove(&machine).unwrap_or_default() {
            self.after(1, event);
        }
    }

    pub fn notice(&mut self, machine: u64, seconds: u64) {
        let until = self.now + seconds * 1000;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.notice_until = Some(until);
        }
        self.report_soon(machine);
    }

    pub(super) fn make_report(&mut self, machine: u64) -> Heartbeat {
        let now = self.now;
        let w = self.workers.get_mut(&machine).expect("a worker");
        w.seq += 1;
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
            epoch: w.session,
            sequence: w.seq,
            fencing_token: w.token,
            reclaim_in_s: w.notice_until.map(|u| u.saturating_sub(now) as f64 / 1000.0),
            tasks: Some(tasks.collect()),
        }
    }

    pub(super) fn worker_failed(&mut self, machine: u64, number: u64) {
        let nodes = self.site.nodes;
        if let Some(w) = self.workers.get_mut(&machine)
            && w.waiting == Some(number)
        {
            w.waiting = None;
            w.node = (w.node + 1) % nodes;
            self.after(1000, Event::WorkerTick(machine));
        }
    }

    pub(super) fn report_soon(&mut self, machine: u64) {
        let wait = self.workers.get(&machine).map_or(0, |w| (w.last_sent + 500).saturating_sub(self.now));
        self.after(wait, Event::WorkerTick(machine));
    }

    pub(super) fn send_report(&mut self, machine: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if !w.alive || !w.up {
            return;
        }
        if w.waiting.is_some() || now < w.last_sent + 500 {
            return;
        }
        let node = w.node;
        w.last_sent = now;
        let session = w.session;
        let report = Box::new(self.make_report(machine));
        self.requests += 1;
        let number = self.requests * self.count() + node as u64;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.waiting = Some(number);
        }
        if self.kept_for_next > 0 && self.chance(100) < self.kept_for_next {
            self.kept.push((machine, report.clone()));
        }
        if self.copies.0 > 0 && self.chance(100) < self.copies.0 {
            let (to, late) = (self.chance(self.count()), 500 + self.chance(self.copies.1.max(1)));
            self.copy_report(machine, to, late, &report);
        }
        self.askers.insert(number, Asker::Worker { machine, number, session, sent: now });
        self.after(2, Event::Heartbeat(machine, number, report));
        self.after(4000, Event::WorkerTick(machine));
    }

    /// A copy of a report arrives at this node, so much later; nobody waits for its answer.
    pub(super) fn copy_report(&mut self, machine: u64, to: u64, late: u64, report: &Heartbeat) {
        self.requests += 1;
        let number = self.requests * self.count() + to;
        self.after(late, Event::Heartbeat(machine, number, Box::new(report.clone())));
    }

    /// When the lease is over, every task is killed and forgotten.
    pub(super) fn check_lease(&mut self, machine: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        if now >= w.renewed + self.site.lease_ms {
            w.tasks.clear();
            w.session += 1;
            w.seq = 0;
            w.renewed = now;
            w.waiting = None;
            self.report_soon(machine);
        }
        let left = self.workers.get(&machine).map_or(0, |w| w.renewed + self.site.lease_ms - now);
        self.after(left, Event::LeaseCheck(machine));
    }

    /// A direct command has reached a worker.
    pub(super) fn commanded(&mut self, machine: u64, body: &CommandBatch) -> u16 {
        let w = self.workers.get_mut(&machine).expect("a worker");
        let mut status = 409;
        if body.fencing_token >= w.token {
            w.token = body.fencing_token;
            if body.epoch == w.session {
                status = 200;
                self.execute(machine, &body.commands);
            }
        }
        self.report_soon(machine);
        status
    }

    pub(super) fn execute(&mut self, machine: u64, orders: &[WorkerCommand]) {
        let room = self.site.cores;
        for order in orders {
            let w = self.workers.get_mut(&machine).expect("a worker");
            match order {
                WorkerCommand::Start { task, attempt } => {
                    let key = (*attempt, task.clone());
                    if w.tasks.contains_key(&key) {
                        continue;
                    }
                    let id = job_of(task);
                    let Some(job) = self.jobs.get(id) else { continue };
                    let image = job.spec["Reel"].as_str().unwrap_or_default().to_string();
                    let need = job.spec["Cores"].as_f64().unwrap_or(0.0);
                    let jobs = &self.jobs;
                    let cores = |t: &OnWorker| jobs[job_of(&t.task)].spec["Cores"].as_f64().unwrap();
                    let used: f64 = w.tasks.values().filter(|t| t.state != TaskState::Exited).map(cores).sum();
                    let refusal = if w.tasks.values().any(|t| t.task == *task) {
                        Some("in_use")
                    } else if used + need > room {
                        Some("full")
                    } else {
                        None
                    };
                    let state = if refusal.is_some() { TaskState::Exited } else { TaskState::Fetching };
                    let cached = w.images.contains(&image);
                    w.tasks.insert(key.clone(), OnWorker { task: task.clone(), state, cause: refusal, saved: false });
                    let session = w.session;
                    if refusal.is_none() {
                        if cached {
                            self.begin(machine, session, key);
                        } else {
                            let fetch = 1000 + if self.fetch_spread > 0 { self.chance(self.fetch_spread) } else { 0 };
                            self.after(fetch, Event::Fetched(machine, session, key));
                        }
                    }
                }
                WorkerCommand::Stop { task, attempt, grace_s } => {
                    let key = (*attempt, task.clone());
                    if self.is_gang(task) {
                        self.kill_gang_task(machine, &key, *grace_s);
                        continue;
                    }
                    if self.workers[&machine].tasks.get(&key).is_some_and(|t| t.state == TaskState::Running) {
                        self.note_eviction(machine, task);
                    }
                    let w = self.workers.get_mut(&machine).expect("a worker");
                    if let Some(t) = w.tasks.get_mut(&key)
                        && t.state != TaskState::Exited
                    {
                        t.state = TaskState::Exited;
                        t.cause = Some("halted");
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    let key = (*attempt, task.clone());
                    if w.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                        w.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// A late copy must not enrol a machine that was returned before. (While a node does not reach the
    /// state service its enrolments may be older than the return, so a trace asks for this.)
    pub(super) fn check_enrolled(&mut self, call: &StoreRequest) {
        let StoreRequest::CompareAndSwap(txn) = call else { return };
        if !self.watch_enrolments {
            return;
        }
        for change in &txn.writes {
            let StoreWrite::Put { key, value, .. } = change else { continue };
            let facts = value.as_array().filter(|_| key.starts_with("log/")).into_iter().flatten();
            for id in facts.filter_map(|f| f["m"]["i"].as_u64()) {
                if self.returned.get(&id).is_some_and(|at| self.now > at + 3000) {
                    self.broken.push(format!("{} enrolled: m-{id:06} was returned long ago", self.now));
                }
            }
        }
    }

    /// Forgets tasks of a job that run no more.
    pub(super) fn tidy(&mut self, id: &str) {
        let runs = |w: &Worker, key: &AttemptKey| w.tasks.get(key).is_some_and(|t| on_machine(t.state));
        if let Some(active) = self.active.get_mut(id) {
            active.retain(|(machine, attempt)| self.workers.get(machine).is_some_and(|w| runs(w, attempt)));
        }
    }

    /// A task holds its image and starts: the rules are checked.
    pub(super) fn begin(&mut self, machine: u64, session: u64, key: AttemptKey) {
        let Some(w) = self.workers.get(&machine) else { return };
        if w.session != session || !w.alive {
            return;
        }
        let Some(t) = w.tasks.get(&key).filter(|t| t.state == TaskState::Fetching) else { return };
        let task = t.task.clone();
        let (zone, spot, sick, was_done) = (w.zone.clone(), w.spot, w.sick, w.done.contains(&task));
        let id = job_of(&task).to_string();
        let now = self.now;
        let mut broken = Vec::new();
        let mut in_zone = 0;
        self.tidy(&id);
        let (together, gang) = (self.jobs[&id].spec["Together"] == true, self.is_gang(&id));
        for (other, other_key) in self.active.get(&id).into_iter().flatten() {
            let w = &self.workers[other];
            if other_key.1 == task && *other != machine {
                broken.push(format!("{now} ran_twice: {task} on {machine} and {other}"));
            }
            if together && w.zone != zone {
                broken.push(format!("{now} wrong_place: {task} in zone {zone} while {} is in {}", other_key.1, w.zone));
            }
            if gang && other_key.0 != key.0 {
                broken.push(format!("{now} mixed attempts: {task} of {} beside {other_key:?}", key.0));
            }
            in_zone += u64::from(w.zone == zone);
        }
        let mut team_cores = 0.0;
        if self.jobs[&id].spec["Crew"] == "small" {
            let teams: Vec<String> =
                self.jobs.iter().filter(|(_, j)| j.spec["Crew"] == "small").map(|(id, _)| id.clone()).collect();
            for id in teams {
                self.tidy(&id);
                let running = self.active.get(&id).map_or(0, Vec::len);
                team_cores += running as f64 * self.jobs[&id].spec["Cores"].as_f64().unwrap();
            }
        }
        let job = self.jobs.get_mut(&id).expect("it is known");
        job.begun.get_or_insert(now);
        let pieces = job.spec["Pieces"].as_u64().unwrap();
        if job.spec["Spread"] == true && in_zone + 1 > pieces.div_ceil(2) {
            broken.push(format!("{now} wrong_place: {task} is one too many in zone {zone}"));
        }
        if spot && job.spec["Loaners"] == false {
            broken.push(format!("{now} wrong_place: {task} on a spot machine"));
        }
        if job.spec["Crew"] == "small" && team_cores + job.spec["Cores"].as_f64().unwrap() > 4.0 {
            broken.push(format!("{now} quota: {task}"));
        }
        let image = job.spec["Reel"].as_str().unwrap_or_default().to_string();
        let run = (job.spec["RuntimeS"].as_f64().unwrap_or(0.0) * 1000.0) as u64;
        let service = job.spec["Shape"] == "standing";
        if let Some(at) = job.cancelled_at {
            self.late_starts += 1;
            if now > at + self.site.cancel_ms {
                broken.push(format!("{now} ran_cancelled: {task} starts"));
            }
        }
        self.broken.extend(broken);
        self.active.entry(id).or_default().push((machine, key.clone()));
        self.note_return(&task);
        self.starts.entry(task).or_default().push(machine);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.images.insert(image);
            if let Some(t) = w.tasks.get_mut(&key) {
                t.state = if gang && !was_done { TaskState::AwaitingGang } else { TaskState::Running };
            }
        }
        if gang && !was_done {
            self.gather(machine, session, key);
        } else if sick {
            self.after(200, Event::Ran(machine, session, key));
        } else if !service {
            self.after(if was_done { 1 } else { run }, Event::Ran(machine, session, key));
        }
        self.report_soon(machine);
    }
}
