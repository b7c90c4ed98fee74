//! What workers report and answer, and what comes of it.

use super::*;

impl Term {
    /// A worker reports.
    pub fn report(
        &mut self,
        now: Time,
        wall: Wall,
        certain: bool,
        origin: Origin,
        report: &Report,
        out: &mut Vec<Effect>,
    ) {
        if report.token > self.token.0 {
            self.over = Some(Over::HigherToken);
            out.push(Effect::Answer(origin, unavailable("a newer leader exists")));
            return;
        }
        let Ok(id) = report.machine.parse::<MachineId>() else {
            let body = json!({"error": "the machine's name has the wrong form", "field": "Host"}).to_string();
            out.push(Effect::Answer(origin, Answer { status: 400, retry_after: 0, body }));
            return;
        };
        if self.fleet.is_gone(id) {
            // A late message of a machine that is no more.
            out.push(Effect::Answer(origin, unavailable("this machine was returned")));
            return;
        }
        self.machines.entry(id).or_insert_with(|| {
            let record = MachineRecord {
                id,
                endpoint: report.endpoint.clone(),
                kind: report.kind.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                at: wall,
            };
            info!("up machine={id} type={} zone={} spot={}", report.kind, report.zone, report.spot);
            Machine::new(record, Room::default(), Enrolment::None, now)
        });
        if let Some(rented) = self.fleet.up(id)
            && let Some(machine) = self.machines.get_mut(&id)
        {
            machine.since = rented;
            machine.record.at = wall.of(now, rented);
        }
        let others = !self.settings.seeds.is_empty();
        if !self.machines.get_mut(&id).is_some_and(|m| m.report(now, report, others)) {
            let body = json!({"error": "a newer report has come", "field": "Tally"}).to_string();
            out.push(Effect::Answer(origin, Answer { status: 409, retry_after: 0, body }));
            return;
        }
        let showed = self.message(now, id, report);
        self.heard_of(now, id);
        self.enrol(certain, id);
        if self.machines.get(&id).is_some_and(|m| !m.fenced && m.told.0.0 > 0) {
            // The answer to a worker's first report tells it our token, and it reports that at once; only where it does
            // not a command asks.
            self.wanting.insert(id);
        }
        self.maybe_schedule(now, wall, certain, out);
        if showed {
            // What is planned next here goes with the answer.
            self.go_on(now, id);
        }
        if let Some(machine) = self.machines.get_mut(&id) {
            let keep = self.settings.deployment.workers.copies_over();
            let orders = match machine.fenced {
                true => machine.orders(now, keep),
                // The answer renews the lease, whatever runs there. What is cancelled must not run on by that: each new
                // leader of a chain renewed it once, and the machine was out of reach before the next report.
                false => workers::kills(report, &|job| self.book.ended(job).is_some()),
            };
            machine.answered = now;
            machine.told = machine.last_report;
            let body = serde_json::to_string(&ReportAnswer { token: self.token.0, orders }).unwrap_or_default();
            out.push(Effect::Answer(origin, Answer { status: 200, retry_after: 0, body }));
        }
        self.flush(now, out);
    }

    /// Enrols a machine that is new. Only one that has seen this token is surely there: the report of a
    /// machine that an earlier leader returned may come late.
    pub(super) fn enrol(&mut self, certain: bool, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id)
            && certain
            && machine.fenced
            && machine.enrolment == Enrolment::None
            && !self.fleet.is_returning(id)
        {
            machine.enrolment = Enrolment::Pending;
            self.records.push(Record::Enrolled(machine.record.clone()));
        }
    }

    /// A worker answered a direct command, or did not.
    #[allow(clippy::too_many_arguments)]
    pub fn command_answer(
        &mut self,
        now: Time,
        wall: Wall,
        certain: bool,
        id: MachineId,
        command: u64,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        // 200: executed. 409: nothing executed, and nothing will be. Else it may come to be late.
        let answered = matches!(reply.status, 200 | 409);
        self.flights = self.flights.saturating_sub(1);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.command_over(now, command, answered);
            self.changed.insert(id);
        }
        if answered && let Some(report) = reply.parse::<Report>() {
            if report.token > self.token.0 {
                self.over = Some(Over::HigherToken);
                return;
            }
            if report.machine == id.to_string() {
                self.message(now, id, &report);
            }
        }
        self.heard_of(now, id);
        self.enrol(certain, id);
        if answered {
            // Orders may have come in the meantime, or it is not fenced yet.
            self.wanting.insert(id);
        }
        self.maybe_schedule(now, wall, certain, out);
        self.flush(now, out);
    }

    /// Takes a worker's message; true if it showed something.
    pub(super) fn message(&mut self, now: Time, id: MachineId, report: &Report) -> bool {
        let token = self.token;
        let Some(machine) = self.machines.get_mut(&id) else { return false };
        let had_notice = machine.notice.is_some();
        let mut events = Vec::new();
        machine.message(now, report, token, &mut events);
        self.changed.insert(id);
        if !had_notice && machine.notice.is_some() {
            info!("spot notice machine={id} seconds={:?}", report.notice_s);
            self.noticed.insert(id);
            self.dirty = true;
        }
        let showed = !events.is_empty();
        self.dirty |= showed;
        self.observed(now, id, events);
        showed
    }

    pub(crate) fn observed(&mut self, now: Time, id: MachineId, events: Vec<workers::Event>) {
        for event in events {
            match event {
                workers::Event::Fenced => {
                    info!("fenced machine={id} token={}", self.token);
                    if self.unfenced.remove(&id) {
                        self.wave = now;
                    }
                }
                workers::Event::Image(image) => self.records.push(Record::Image(id, image)),
                workers::Event::Found(attempt, task) => self.found(id, attempt, task),
                workers::Event::Running(task) => {
                    if let Some(placed) = self.book.get_mut(task.job).and_then(|j| j.placed.get_mut(&task.index)) {
                        placed.running = true;
                    }
                }
                workers::Event::Lost(task) => {
                    debug!("lost {task} machine={id}");
                    self.unplace(id, task);
                }
                workers::Event::Exited { attempt, task, cause, since, running_since, predicted } => {
                    self.exited(now, id, attempt, task, cause, since, running_since, predicted);
                }
            }
        }
    }

    /// A task that an earlier leader started: taken over if its job is not over.
    pub(super) fn found(&mut self, id: MachineId, attempt: Attempt, task: TaskId) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.holds.get_mut(&attempt) else { return };
        let Some(job) = self.book.get_mut(task.job) else { return };
        hold.need = job.record.need;
        hold.rank = job.record.rank;
        hold.image.clone_from(&job.record.image);
        hold.predicted = (!job.record.service).then_some(job.record.estimate);
        let running = hold.phase == Phase::Running;
        if !job.cancelling && job.pending.remove(task.index) {
            job.placed.insert(task.index, intake::Placed { machine: id, attempt, running });
            hold.claimed = true;
            hold.stop = None;
            if running {
                machine.images.insert(job.record.image.clone());
            }
        } else if hold.occupies() {
            warn!("stopping unexpected {task} attempt={attempt} machine={id}");
        }
    }

    /// The task is on no machine any more.
    pub(super) fn unplace(&mut self, id: MachineId, task: TaskId) {
        if let Some(job) = self.book.get_mut(task.job)
            && job.placed.get(&task.index).is_some_and(|p| p.machine == id)
        {
            job.placed.remove(&task.index);
            self.book.waits_again(task);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn exited(
        &mut self,
        now: Time,
        id: MachineId,
        attempt: Attempt,
        task: TaskId,
        cause: Cause,
        since: Time,
        running_since: Option<Time>,
        predicted: Option<Span>,
    ) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.holds.get_mut(&attempt) else { return };
        hold.reapable = true;
        let ours = std::mem::replace(&mut hold.claimed, false);
        let inherited = attempt.0 >> 24 != self.token.0;
        let Some(job) = self.book.get_mut(task.job) else { return };
        if cause == Cause::Done && !job.record.service {
            machine.failed_jobs.clear();
            job.failures = 0;
            if ours
                && !inherited
                && let Some(predicted) = predicted
            {
                self.correction.learn(now.since(since), predicted);
                if self.correction.executions.is_multiple_of(LEARNT_EVERY) {
                    self.records.push(Record::Learnt(self.correction.percent, self.correction.executions));
                }
            }
            if job.done.insert(task.index) {
                debug!("done {task} attempt={attempt} machine={id} took={}s", now.since(since).as_secs());
                job.placed.remove(&task.index);
                job.pending.remove(task.index);
                hold.reapable = false;
                self.finished.insert(task, (id, attempt));
                self.records.push_done(task);
            }
            return;
        }
        if !ours {
            return;
        }
        match cause {
            Cause::Halted => debug!("stopped {task} machine={id}"),
            Cause::Error => {
                info!("failed {task} machine={id} ran={:?}", running_since.map(|r| now.since(r).as_secs()));
                job.failures += 1;
                if !job.failed_on.contains(&id) {
                    job.failed_on.push(id);
                }
                // A job that fails wherever it runs is tried less and less often; a machine that
                // fails different jobs is at fault itself.
                if job.failed_on.len() >= 3 {
                    let pause = 2u64.saturating_pow(job.failures.min(8)).min(60);
                    job.not_before = now + Span(pause * 1000);
                    job.failed_on.clear();
                    self.plans.remove_job(task.job);
                }
                let job = self.book.get(task.job);
                let faulty = job.is_some_and(|j| j.done.is_empty() && j.failures >= 3);
                if !faulty {
                    machine.failed_jobs.insert(task.job);
                }
                let succeeded_elsewhere = job.is_some_and(|j| !j.done.is_empty());
                if (machine.failed_jobs.len() >= 2 || (succeeded_elsewhere && !faulty)) && machine.draining.is_none() {
                    info!("quarantined machine={id} failed_jobs={}", machine.failed_jobs.len());
                    machine.draining = Some("fails its tasks");
                    self.changed.insert(id);
                }
            }
            other => {
                info!("refused {task} machine={id} cause={other:?}");
                job.not_before = job.not_before.max(now + Span(500));
            }
        }
        self.unplace(id, task);
    }
}
