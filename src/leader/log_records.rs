//! Log records: restoring the leader's state from them after an election, and acting on this leader's own records once
//! they are durable.

use super::cloud_events::provisioning_record;
use super::{InputContext, Leader};
use crate::api::ApiResponse;
use crate::cloud::PendingInstance;
use crate::effects::{Effect, StoreCaller};
use crate::jobs::{ApplyOutcome, Job, Placement, TerminalState};
use crate::leadership::StepDownReason;
use crate::plan::Correction;
use crate::store::ServiceResponse;
use crate::types::{JobId, MachineId, Resources, TaskId, TaskIndexSet, Timestamp, WallClock};
use crate::workers::{Machine, Registration};
use crate::write_ahead_log::{LogEvent, LogRecord, MachineRecord};
use log::{debug, info};

impl Leader {
    /// Processes the state service's response to a request of the log.
    pub fn handle_store_response(
        &mut self,
        context: InputContext,
        id: u64,
        response: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let InputContext { now, wall, .. } = context;
        let mut events = Vec::new();
        self.log.handle_response(now, id, response, &mut events);
        self.apply_log_events(now, wall, events, out);
        self.schedule_if_due(context, out);
    }

    pub(super) fn apply_log_events(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<LogEvent>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                LogEvent::Request(id, request) => {
                    out.push(Effect::CallStore(StoreCaller::WriteAheadLog(self.token.0), id, request));
                }
                LogEvent::RecordLoaded(record) => self.restore_record(now, wall, &record),
                LogEvent::LoadComplete => self.finish_loading(now, out),
                LogEvent::RecordsDurable(records) => {
                    for record in &records {
                        self.apply_durable_record(now, wall, record, out);
                    }
                }
                LogEvent::WriteConfirmed(revision) => self.tokens.add_confirmed_revision(revision),
                LogEvent::LeaderKeyLost => self.step_down_reason = Some(StepDownReason::LeaderKeyChanged),
            }
        }
    }

    /// Applies a record that was loaded after the election.
    pub(super) fn restore_record(&mut self, now: Timestamp, wall: WallClock, record: &LogRecord) {
        match record {
            LogRecord::MachineRegistered(machine) => self.restore_machine(now, wall, machine),
            LogRecord::MachineProvisioned(machine) => self.restore_pending_instance(now, wall, machine),
            LogRecord::ImageCached(id, image) => {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.images.insert(image.clone());
                }
            }
            LogRecord::CorrectionUpdated(percent, executions) => {
                self.planning.correction = Correction { percent: *percent, executions: *executions };
            }
            LogRecord::MachineGone(id) => {
                self.cloud.instance_released(*id);
                self.fencing.unfenced.remove(id);
                self.machines.remove(id);
            }
            other => {
                self.jobs.apply(other, now, wall);
            }
        }
    }

    fn restore_machine(&mut self, now: Timestamp, wall: WallClock, record: &MachineRecord) {
        let mut machine = Machine::new(record.clone(), Resources::default(), Registration::Durable, self.token, now);
        machine.known_since = wall.timestamp_of(now, record.provisioned_at);
        self.cloud.instance_discovered(record.id);
        self.fencing.unfenced.insert(record.id);
        self.machines.insert(record.id, machine);
    }

    /// Restores an instance that was still booting. Provisioning records are written later than other records, so the
    /// machine may already be registered or gone; in that case the record is ignored.
    fn restore_pending_instance(&mut self, now: Timestamp, wall: WallClock, record: &MachineRecord) {
        if self.machines.contains_key(&record.id) || self.cloud.is_released(record.id) {
            return;
        }
        let instance = PendingInstance {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            requested_at: wall.timestamp_of(now, record.provisioned_at),
        };
        self.cloud.adopt_pending(record.id, instance);
    }

    /// Completes the loading of the log: from now on this node serves requests as the leader.
    fn finish_loading(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.fencing.completion_logged = self.fencing.unfenced.is_empty();
        info!(
            "log loaded token={} open_jobs={} ended_jobs={} machines={}",
            self.token,
            self.jobs.open_count(),
            self.jobs.terminal_count(),
            self.machines.len()
        );
        let mut jobs: Vec<&Job> = self.jobs.live().collect();
        jobs.sort_unstable_by_key(|job| job.submitted_at);
        for job in jobs {
            self.planning.arrivals.record(job.submitted_at, &job.spec);
        }
        self.command_dispatch.enqueue_all(self.machines.keys().copied());
        self.planning.changed_machines.extend(self.machines.keys());
        self.flush(now, out);
    }

    /// Applies a record of this leader that has become durable. Only from now on may the leader act on it and confirm
    /// it to users.
    pub(super) fn apply_durable_record(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        record: &LogRecord,
        out: &mut Vec<Effect>,
    ) {
        self.planning.replan_needed = true;
        match record {
            LogRecord::MachineRegistered(machine) => self.handle_durable_registration(machine.id),
            LogRecord::MachineGone(_)
            | LogRecord::MachineProvisioned(_)
            | LogRecord::ImageCached(..)
            | LogRecord::CorrectionUpdated(..) => {}
            job_record => {
                if let LogRecord::TasksDone(job, tasks) = job_record {
                    self.handle_durable_finishes(*job, tasks);
                }
                match self.jobs.apply(job_record, now, wall) {
                    ApplyOutcome::JobAccepted(id) => self.handle_durable_acceptance(now, id, out),
                    ApplyOutcome::JobEnded(id, placements) => self.job_ended(now, id, &placements, out),
                    ApplyOutcome::Unchanged => {}
                }
            }
        }
    }

    fn handle_durable_registration(&mut self, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.registration = Registration::Durable;
            self.planning.changed_machines.insert(id);
        }
    }

    fn handle_durable_finishes(&mut self, job: JobId, tasks: &TaskIndexSet) {
        for index in tasks.iter() {
            self.confirm_finish(TaskId { job, index });
        }
    }

    fn handle_durable_acceptance(&mut self, now: Timestamp, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(id) else { return };
        self.planning.arrivals.record(now, &job.spec);
        self.admission.record_accepted(now, id);
        debug!("job accepted job={id} class={} tasks={}", job.spec.class, job.spec.task_count);
        for origin in self.pending_requests.take_submissions(id) {
            out.push(Effect::Respond(origin, ApiResponse::accepted(id)));
        }
    }

    /// Handles the durable end of a job: stops its remaining attempts and responds to pending cancellations.
    fn job_ended(&mut self, now: Timestamp, id: JobId, placements: &[Placement], out: &mut Vec<Effect>) {
        let done = matches!(self.jobs.terminal_state(id), Some(TerminalState::Done(_)));
        let state = if done { "done" } else { "cancelled" };
        info!("job ended job={id} state={state} token={}", self.token);
        self.planning.plans.unplan_job(id);
        for placement in placements {
            self.abandon_attempt(*placement);
        }
        let tasks: Vec<TaskId> = self.unconfirmed_finishes.keys().filter(|task| task.job == id).copied().collect();
        for task in tasks {
            self.confirm_finish(task);
        }
        let response = self.job_status(true, &id.to_string());
        for origin in self.pending_requests.take_cancellations(id) {
            out.push(Effect::Respond(origin, response.clone()));
        }
        self.flush(now, out);
    }

    /// Starts a snapshot of the durable state if one is due.
    pub(super) fn write_snapshot_if_due(&mut self, now: Timestamp, wall: WallClock) {
        if !self.log.snapshot_due() {
            return;
        }
        let records = self.snapshot_records(now, wall);
        debug!("snapshot begun records={}", records.len());
        self.log.begin_snapshot(records.into_iter());
    }

    fn snapshot_records(&self, now: Timestamp, wall: WallClock) -> Vec<LogRecord> {
        let registered = || self.machines.values().filter(|machine| machine.registration == Registration::Durable);
        let mut records: Vec<LogRecord> =
            registered().map(|machine| LogRecord::MachineRegistered(machine.record.clone())).collect();
        for machine in registered() {
            let cached = |image: &String| LogRecord::ImageCached(machine.id(), image.clone());
            records.extend(machine.images.iter().map(cached));
        }
        records.extend(self.cloud.pending().map(|(id, instance)| provisioning_record(*id, instance, now, wall)));
        let correction = &self.planning.correction;
        records.push(LogRecord::CorrectionUpdated(correction.percent, correction.executions));
        records.extend(self.jobs.snapshot_records());
        records
    }
}
