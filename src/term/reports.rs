//! What workers report and answer, and what comes of it.

use super::*;

impl Term {
    /// A worker reports.
    pub fn report(
        &mut self,
        now: Timestamp,
        wall: WallClock,
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
        if self.inventory.is_gone(id) {
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
            Machine::new(record, Resources::default(), Enrolment::None, now)
        });
        if let Some(rented) = self.inventory.up(id)
            && let Some(machine) = self.machines.get_mut(&id)
        {
            machine.since = rented;
            machine.record.at = wall.at_timestamp(now, rented);
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
            self.start_next(now, id);
        }
        if let Some(machine) = self.machines.get_mut(&id) {
            let keep = self.settings.deployment.workers.copies_over();
            let orders = match machine.fenced {
                true => machine.orders(now, keep),
                // The answer renews the lease, whatever runs there. What is cancelled must not run on by that: each new
                // leader of a chain renewed it once, and the machine was out of reach before the next report.
                false => workers::kills(report, &|job| self.jobs.ended(job).is_some()),
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
            && !self.inventory.is_returning(id)
        {
            machine.enrolment = Enrolment::Pending;
            self.records.push(Record::Enrolled(machine.record.clone()));
        }
    }

    /// A worker answered a direct command, or did not.
    #[allow(clippy::too_many_arguments)]
    pub fn command_answer(
        &mut self,
        now: Timestamp,
        wall: WallClock,
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
    pub(super) fn message(&mut self, now: Timestamp, id: MachineId, report: &Report) -> bool {
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

    pub(crate) fn observed(&mut self, now: Timestamp, id: MachineId, events: Vec<workers::Event>) {
        for event in events {
            match event {
                workers::Event::Fenced => {
                    info!("fenced machine={id} token={}", self.token);
                    if self.unfenced.remove(&id) {
                        self.wave = now;
                    }
                }
                workers::Event::Image(image) => self.records.push(Record::Image(id, image)),
                workers::Event::Found { key, ended } => self.found(now, id, key, ended),
                workers::Event::Running(key) => self.task_runs(now, key),
                workers::Event::Lost(task) => {
                    debug!("lost {task} machine={id}");
                    self.unplace(id, task);
                    if let Some(gang) = self.jobs.get_mut(task.job).and_then(|job| job.gang.as_mut()) {
                        gang.task_lost(now);
                    }
                }
                workers::Event::Exited(exit) => self.exited(now, id, exit),
            }
        }
    }
}
