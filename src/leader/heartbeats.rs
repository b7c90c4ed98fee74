//! Handles workers' heartbeats and creates the responses to them.

use super::{InputContext, Leader};
use crate::api::ApiResponse;
use crate::effects::{Effect, RequestOrigin};
use crate::types::{AttemptId, MachineId, Resources, Timestamp, WallClock};
use crate::wire::{Heartbeat, HeartbeatResponse};
use crate::workers::{self, Machine, Registration};
use crate::write_ahead_log::{LogRecord, MachineRecord};
use log::info;

/// Error text for a heartbeat that must not renew the lease, see `Leader::cancelled_task_may_start_late`.
const LATE_START_POSSIBLE: &str = "a start command may still be under way";

/// Why a heartbeat is rejected. The texts are part of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum HeartbeatError {
    #[error("a newer leader exists")]
    HigherFencingToken,
    #[error("the machine's name has the wrong form")]
    MalformedMachineName,
    /// A delayed heartbeat of a machine that has been released.
    #[error("this machine was returned")]
    MachineReleased,
    /// A duplicate or out-of-order heartbeat.
    #[error("a newer report has come")]
    Stale,
}

impl From<HeartbeatError> for ApiResponse {
    fn from(error: HeartbeatError) -> ApiResponse {
        let reason = error.to_string();
        match error {
            HeartbeatError::HigherFencingToken | HeartbeatError::MachineReleased => ApiResponse::unavailable(&reason),
            HeartbeatError::MalformedMachineName => ApiResponse::field_error(400, &reason, "Host"),
            HeartbeatError::Stale => ApiResponse::field_error(409, &reason, "Tally"),
        }
    }
}

impl Leader {
    /// Processes a worker's heartbeat; the response contains the commands for the worker.
    pub fn handle_heartbeat(
        &mut self,
        context: InputContext,
        origin: RequestOrigin,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let InputContext { now, wall, lease_valid } = context;
        let id = match self.accept_heartbeat(now, wall, heartbeat) {
            Ok(id) => id,
            Err(error) => return out.push(Effect::Respond(origin, error.into())),
        };
        let state_changed = self.apply_worker_message(now, id, heartbeat);
        self.update_reachability(now, id);
        self.register_machine(lease_valid, id);
        self.request_fencing_confirmation(id);
        self.schedule_if_due(context, out);
        if state_changed {
            // Starts that are planned on this machine now are sent with the response.
            self.start_next_tasks(now, id);
        }
        self.raise_token_if_awaited(id);
        if !lease_valid && self.cancelled_task_may_start_late(id) {
            info!("lease not renewed machine={id} reason=\"{LATE_START_POSSIBLE}\" token={}", self.token);
            out.push(Effect::Respond(origin, ApiResponse::unavailable(LATE_START_POSSIBLE)));
        } else if let Some(response) = self.build_heartbeat_response(now, id, heartbeat) {
            out.push(Effect::Respond(origin, ApiResponse::json(200, &response)));
        }
        self.flush(now, out);
    }

    /// Checks whether a heartbeat may be processed, and adds its machine if it is unknown. Steps down if the worker has
    /// already seen a later leader's fencing token.
    fn accept_heartbeat(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        heartbeat: &Heartbeat,
    ) -> Result<MachineId, HeartbeatError> {
        if self.step_down_if_superseded(heartbeat) {
            return Err(HeartbeatError::HigherFencingToken);
        }
        let id: MachineId = heartbeat.machine.parse().map_err(|_| HeartbeatError::MalformedMachineName)?;
        if self.cloud.is_released(id) {
            return Err(HeartbeatError::MachineReleased);
        }
        let has_peers = !self.settings.seeds.is_empty();
        let machine = self.discover_machine(now, wall, id, heartbeat);
        if machine.accept_heartbeat(now, heartbeat, has_peers) { Ok(id) } else { Err(HeartbeatError::Stale) }
    }

    /// Returns the machine that sent a heartbeat; the first heartbeat adds it. If it was a pending instance, its age
    /// counts from the time at which the instance was requested.
    fn discover_machine(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        id: MachineId,
        heartbeat: &Heartbeat,
    ) -> &mut Machine {
        let token = self.token;
        let machine = self.machines.entry(id).or_insert_with(|| {
            info!(
                "machine discovered machine={id} type={} zone={} spot={}",
                heartbeat.machine_type, heartbeat.zone, heartbeat.spot
            );
            let record = MachineRecord {
                id,
                endpoint: heartbeat.endpoint.clone(),
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
                provisioned_at: wall,
            };
            Machine::new(record, Resources::default(), Registration::NotRequested, token, now)
        });
        if let Some(requested_at) = self.cloud.instance_discovered(id) {
            machine.known_since = requested_at;
            machine.record.provisioned_at = wall.at_timestamp(now, requested_at);
        }
        machine
    }

    /// Queues a direct command to an unfenced machine, since the worker's response to it confirms this leader's fencing
    /// token. The first heartbeat needs no command: its response carries the token, and the worker confirms it
    /// immediately.
    fn request_fencing_confirmation(&mut self, id: MachineId) {
        if self.machines.get(&id).is_some_and(|machine| !machine.fenced && machine.was_sent_response()) {
            self.command_dispatch.enqueue(id);
        }
    }

    /// Raises the fencing token of the messages to a machine's worker if the worker could then be commanded to forget
    /// ended attempts. If no sufficient token is known yet, the next heartbeat finds the one that is requested here.
    fn raise_token_if_awaited(&mut self, id: MachineId) {
        let Some(machine) = self.machines.get_mut(&id).filter(|machine| machine.awaits_higher_token()) else { return };
        machine.raise_message_token(self.tokens.latest());
        if machine.awaits_higher_token() {
            self.log.request_higher_revision();
        }
    }

    /// Whether a delayed direct command may start a task of a cancelled job on a machine. If another leader may have
    /// confirmed the cancellation, the worker's lease must not be renewed then: in its next epoch, or with another
    /// leader's token, the worker rejects the command.
    fn cancelled_task_may_start_late(&self, id: MachineId) -> bool {
        let is_cancelled = |attempt: AttemptId| self.jobs.get(attempt.task.job).is_none_or(|job| job.cancelling);
        self.machines.get(&id).is_some_and(|machine| machine.unwanted_late_starts().any(is_cancelled))
    }

    /// Returns the response to a heartbeat, which renews the worker's lease; `None` if the machine is unknown.
    fn build_heartbeat_response(
        &mut self,
        now: Timestamp,
        id: MachineId,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatResponse> {
        let machine = self.machines.get_mut(&id)?;
        let commands = if machine.fenced {
            machine.heartbeat_commands()
        } else {
            // The response renews the lease for every task on the machine. It therefore stops the tasks of ended jobs
            // even though the machine is not fenced yet. Otherwise cancelled tasks keep running when several leaders
            // follow each other: each new leader renewed the lease once, and the machine became unreachable before its
            // next heartbeat.
            workers::stop_ended_jobs(heartbeat, &|job| self.jobs.terminal_state(job).is_some())
        };
        machine.lease_renewed_at = now;
        machine.last_responded_heartbeat = machine.last_heartbeat;
        Some(HeartbeatResponse { fencing_token: machine.message_token.0, commands })
    }

    /// Appends the registration of a new machine to the log. Only a machine that has seen this leader's fencing token
    /// certainly exists: a delayed heartbeat may come from a machine that an earlier leader has released.
    pub(super) fn register_machine(&mut self, lease_valid: bool, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id)
            && lease_valid
            && machine.fenced
            && machine.registration == Registration::NotRequested
            && !self.cloud.is_releasing(id)
        {
            machine.registration = Registration::Pending;
            self.log.append(LogRecord::MachineRegistered(machine.record.clone()));
        }
    }
}
