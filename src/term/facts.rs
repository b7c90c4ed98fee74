//! Durable facts: what is read back after an election, and what is told and done once it is durable.

use super::*;

impl Term {
    /// The state service answered.
    pub fn state(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        certain: bool,
        id: u64,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        let mut events = Vec::new();
        self.records.reply(now, id, reply, &mut events);
        self.recorded(now, wall, events, out);
        self.maybe_schedule(now, wall, certain, out);
    }

    pub(super) fn recorded(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<records::Event>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                records::Event::Call(id, call) => out.push(Effect::State(Slot::Records(self.token.0), id, call)),
                records::Event::Loaded(record) => self.restore(now, wall, &record),
                records::Event::LoadDone => {
                    self.opened = self.unfenced.is_empty();
                    info!(
                        "loaded token={} jobs={} over={} machines={}",
                        self.token,
                        self.jobs.open(),
                        self.jobs.finals(),
                        self.machines.len()
                    );
                    let mut jobs: Vec<&intake::Job> = self.jobs.live().collect();
                    jobs.sort_unstable_by_key(|job| job.submitted);
                    for job in jobs {
                        self.arrivals.note(job.submitted, &job.record);
                    }
                    self.wanting.extend(self.machines.keys());
                    self.changed.extend(self.machines.keys());
                    self.flush(now, out);
                }
                records::Event::Durable(facts) => {
                    for record in facts {
                        self.durable(now, wall, &record, out);
                    }
                }
                records::Event::Deposed => self.over = Some(Over::KeyChanged),
            }
        }
    }

    pub(super) fn restore(&mut self, now: Timestamp, wall: WallClock, record: &Record) {
        match record {
            Record::Enrolled(machine) => {
                let mut m = Machine::new(machine.clone(), Resources::default(), Enrolment::Durable, now);
                m.since = wall.timestamp_of(now, machine.at);
                self.inventory.up(machine.id);
                self.unfenced.insert(machine.id);
                self.machines.insert(machine.id, m);
            }
            // Such facts are written later than others: by now it may be known to be up, or gone.
            Record::Rented(machine)
                if self.machines.contains_key(&machine.id) || self.inventory.is_gone(machine.id) => {}
            Record::Rented(machine) => {
                let (kind, zone) = (machine.kind.clone(), machine.zone.clone());
                let since = wall.timestamp_of(now, machine.at);
                self.inventory.inherit(machine.id, inventory::Booting { kind, zone, spot: machine.spot, since });
            }
            Record::Image(id, image) => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.images.insert(image.clone());
                }
            }
            Record::Learnt(percent, executions) => {
                self.correction = Correction { percent: *percent, executions: *executions };
            }
            Record::Gone(id) => {
                self.inventory.lose(*id);
                self.unfenced.remove(id);
                self.machines.remove(id);
            }
            other => {
                self.jobs.apply(other, now, wall);
            }
        }
    }

    /// A fact of this term became durable: now it may be told and acted on.
    pub(super) fn durable(&mut self, now: Timestamp, wall: WallClock, record: &Record, out: &mut Vec<Effect>) {
        self.dirty = true;
        match record {
            Record::Enrolled(machine) => {
                if let Some(m) = self.machines.get_mut(&machine.id) {
                    m.enrolment = Enrolment::Durable;
                    self.changed.insert(machine.id);
                }
            }
            Record::Gone(_) | Record::Rented(_) | Record::Image(..) | Record::Learnt(..) => {}
            other => {
                if let Record::Done(job, tasks) = other {
                    for index in tasks.iter() {
                        self.may_reap(TaskId { job: *job, index });
                    }
                }
                match self.jobs.apply(other, now, wall) {
                    Applied::Accepted(id) => {
                        if let Some(job) = self.jobs.get(id) {
                            self.arrivals.note(now, &job.record);
                            self.admission.accepted(now, id);
                            debug!("accepted {id} class={} tasks={}", job.record.class, job.record.tasks);
                            for waiter in self.accepting.remove(&id).unwrap_or_default() {
                                out.push(Effect::Answer(waiter.origin, accepted(&job.record)));
                            }
                        }
                    }
                    Applied::Over(id, left) => self.job_over(now, id, &left, out),
                    Applied::Nothing => {}
                }
            }
        }
    }

    pub(super) fn job_over(&mut self, now: Timestamp, id: JobId, left: &[intake::Placed], out: &mut Vec<Effect>) {
        info!("over {id} {}", if matches!(self.jobs.ended(id), Some(Final::Done(_))) { "done" } else { "cancelled" });
        self.plans.remove_job(id);
        for placed in left {
            self.abandon(*placed);
        }
        let tasks: Vec<TaskId> = self.finished.keys().filter(|t| t.job == id).copied().collect();
        for task in tasks {
            self.may_reap(task);
        }
        let answer = self.get(true, &id.to_string());
        for waiter in self.cancelling.remove(&id).unwrap_or_default() {
            out.push(Effect::Answer(waiter.origin, answer.clone()));
        }
        self.flush(now, out);
    }

    pub(super) fn may_reap(&mut self, task: TaskId) {
        if let Some((machine, attempt)) = self.finished.remove(&task)
            && let Some(hold) =
                self.machines.get_mut(&machine).and_then(|m| m.holds.get_mut(&AttemptId { attempt, task }))
        {
            hold.reapable = true;
        }
    }
}
