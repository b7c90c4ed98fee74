//! Durable facts: what is read back after an election, and what is told and done once it is durable.

use super::*;
use crate::plan::Correction;

impl Leader {
    /// The state service answered.
    pub fn handle_store_response(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        id: u64,
        reply: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let mut events = Vec::new();
        self.log.handle_response(now, id, reply, &mut events);
        self.apply_log_events(now, wall, events, out);
        self.schedule_if_due(now, wall, lease_valid, out);
    }

    pub(super) fn apply_log_events(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<write_ahead_log::LogEvent>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                write_ahead_log::LogEvent::Request(id, call) => {
                    out.push(Effect::QueryStore(StoreCaller::WriteAheadLog(self.token.0), id, call))
                }
                write_ahead_log::LogEvent::RecordLoaded(record) => self.restore_record(now, wall, &record),
                write_ahead_log::LogEvent::LoadComplete => {
                    self.fencing.completion_logged = self.fencing.unfenced.is_empty();
                    info!(
                        "loaded token={} jobs={} over={} machines={}",
                        self.token,
                        self.jobs.open_count(),
                        self.jobs.terminal_count(),
                        self.machines.len()
                    );
                    let mut jobs: Vec<&jobs::Job> = self.jobs.live().collect();
                    jobs.sort_unstable_by_key(|job| job.submitted_at);
                    for job in jobs {
                        self.planning.arrivals.record(job.submitted_at, &job.spec);
                    }
                    self.command_dispatch.waiting.extend(self.machines.keys());
                    self.planning.changed_machines.extend(self.machines.keys());
                    self.flush(now, out);
                }
                write_ahead_log::LogEvent::RecordsDurable(facts) => {
                    for record in facts {
                        self.apply_durable_record(now, wall, &record, out);
                    }
                }
                write_ahead_log::LogEvent::LeaderKeyLost => {
                    self.step_down_reason = Some(StepDownReason::LeaderKeyChanged)
                }
            }
        }
    }

    pub(super) fn restore_record(&mut self, now: Timestamp, wall: WallClock, record: &LogRecord) {
        match record {
            LogRecord::MachineRegistered(machine) => {
                let mut m = Machine::new(machine.clone(), Resources::default(), Registration::Durable, now);
                m.known_since = wall.timestamp_of(now, machine.rented_at);
                self.cloud.instance_up(machine.id);
                self.fencing.unfenced.insert(machine.id);
                self.machines.insert(machine.id, m);
            }
            // Such facts are written later than others: by now it may be known to be up, or gone.
            LogRecord::MachineRented(machine)
                if self.machines.contains_key(&machine.id) || self.cloud.is_gone(machine.id) => {}
            LogRecord::MachineRented(machine) => {
                let (kind, zone) = (machine.machine_type.clone(), machine.zone.clone());
                let since = wall.timestamp_of(now, machine.rented_at);
                self.cloud.adopt_pending(
                    machine.id,
                    cloud::PendingInstance { machine_type: kind, zone, spot: machine.spot, requested_at: since },
                );
            }
            LogRecord::ImageCached(id, image) => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.images.insert(image.clone());
                }
            }
            LogRecord::CorrectionLearnt(percent, executions) => {
                self.planning.correction = Correction { percent: *percent, executions: *executions };
            }
            LogRecord::MachineGone(id) => {
                self.cloud.instance_gone(*id);
                self.fencing.unfenced.remove(id);
                self.machines.remove(id);
            }
            other => {
                self.jobs.apply(other, now, wall);
            }
        }
    }

    /// A fact of this term became durable: now it may be told and acted on.
    pub(super) fn apply_durable_record(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        record: &LogRecord,
        out: &mut Vec<Effect>,
    ) {
        self.planning.replan_needed = true;
        match record {
            LogRecord::MachineRegistered(machine) => {
                if let Some(m) = self.machines.get_mut(&machine.id) {
                    m.registration = Registration::Durable;
                    self.planning.changed_machines.insert(machine.id);
                }
            }
            LogRecord::MachineGone(_)
            | LogRecord::MachineRented(_)
            | LogRecord::ImageCached(..)
            | LogRecord::CorrectionLearnt(..) => {}
            other => {
                if let LogRecord::TasksDone(job, tasks) = other {
                    for index in tasks.iter() {
                        self.allow_forgetting(TaskId { job: *job, index });
                    }
                }
                match self.jobs.apply(other, now, wall) {
                    ApplyOutcome::JobAccepted(id) => {
                        if let Some(job) = self.jobs.get(id) {
                            self.planning.arrivals.record(now, &job.spec);
                            self.admission.accepted(now, id);
                            debug!("accepted {id} class={} tasks={}", job.spec.class, job.spec.task_count);
                            for origin in self.pending.take_submissions(id) {
                                out.push(Effect::Respond(origin, ApiResponse::accepted(id)));
                            }
                        }
                    }
                    ApplyOutcome::JobEnded(id, left) => self.end_job(now, id, &left, out),
                    ApplyOutcome::Unchanged => {}
                }
            }
        }
    }

    pub(super) fn end_job(&mut self, now: Timestamp, id: JobId, left: &[jobs::Placement], out: &mut Vec<Effect>) {
        info!(
            "over {id} {}",
            if matches!(self.jobs.terminal_state(id), Some(TerminalState::Done(_))) { "done" } else { "cancelled" }
        );
        self.planning.plans.unplan_job(id);
        for placed in left {
            self.abandon_attempt(*placed);
        }
        let tasks: Vec<TaskId> = self.unconfirmed_finishes.keys().filter(|t| t.job == id).copied().collect();
        for task in tasks {
            self.allow_forgetting(task);
        }
        let answer = self.job_status(true, &id.to_string());
        for origin in self.pending.take_cancellations(id) {
            out.push(Effect::Respond(origin, answer.clone()));
        }
        self.flush(now, out);
    }
}
