//! Handles workers' responses to direct commands, and applies what their messages, heartbeats included, reveal.

use super::{InputContext, Leader};
use crate::effects::Effect;
use crate::leadership::StepDownReason;
use crate::store::ServiceResponse;
use crate::types::{FencingToken, MachineId, Timestamp};
use crate::wire::Heartbeat;
use crate::workers::MachineEvent;
use crate::write_ahead_log::LogRecord;
use log::{debug, info};

impl Leader {
    /// Processes a worker's response to a direct command, or the lack of a response.
    pub fn handle_command_response(
        &mut self,
        context: InputContext,
        id: MachineId,
        command: u64,
        response: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let InputContext { now, lease_valid, .. } = context;
        // 200: the commands were executed. 409: they were rejected and will never be executed. Any other status: they
        // may still be executed later.
        let responded = matches!(response.status, 200 | 409);
        self.command_dispatch.command_finished();
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.record_command_outcome(now, command, responded);
            self.planning.changed_machines.insert(id);
        }
        if responded && let Some(message) = response.parse::<Heartbeat>() {
            if self.step_down_if_superseded(&message) {
                return;
            }
            if message.machine == id.to_string() {
                self.apply_worker_message(now, id, &message);
            }
        }
        self.update_reachability(now, id);
        self.register_machine(lease_valid, id);
        if responded {
            // Further commands may have been requested while this one was in flight, or the machine is not fenced yet.
            self.command_dispatch.enqueue(id);
        }
        self.schedule_if_due(context, out);
        self.flush(now, out);
    }

    /// Steps down if a worker's message shows that it has seen a later leader's fencing token. Returns whether it has.
    pub(super) fn step_down_if_superseded(&mut self, message: &Heartbeat) -> bool {
        let is_superseded = self.tokens.is_superseded_by(FencingToken(message.fencing_token));
        if is_superseded {
            self.step_down_reason = Some(StepDownReason::HigherFencingToken);
        }
        is_superseded
    }

    /// Applies a worker's message to the state of its machine. Returns whether any event followed from it.
    pub(super) fn apply_worker_message(&mut self, now: Timestamp, id: MachineId, message: &Heartbeat) -> bool {
        let Some(machine) = self.machines.get_mut(&id) else { return false };
        let was_reclaimed = machine.reclaim_at.is_some();
        let mut events = Vec::new();
        machine.apply_message(now, message, self.tokens, &mut events);
        self.planning.changed_machines.insert(id);
        if !was_reclaimed && machine.reclaim_at.is_some() {
            info!("interruption notice machine={id} reclaim_in_s={}", message.reclaim_in_s.unwrap_or_default());
            self.reclaimed_machines.insert(id);
            self.planning.replan_needed = true;
        }
        let state_changed = !events.is_empty();
        self.planning.replan_needed |= state_changed;
        self.apply_machine_events(now, id, events);
        state_changed
    }

    /// Applies the events that follow from a worker's message or from the loss of its machine.
    pub(crate) fn apply_machine_events(&mut self, now: Timestamp, id: MachineId, events: Vec<MachineEvent>) {
        for event in events {
            match event {
                MachineEvent::Fenced => {
                    info!("machine fenced machine={id} token={}", self.token);
                    self.fencing.machine_fenced(now, id);
                }
                MachineEvent::ImageCached(image) => self.log.append(LogRecord::ImageCached(id, image)),
                MachineEvent::AttemptDiscovered { id: attempt, has_ended } => {
                    self.adopt_attempt(now, id, attempt, has_ended)
                }
                MachineEvent::AttemptRunning(attempt) => self.attempt_running(now, attempt),
                MachineEvent::AttemptLost(task) => {
                    debug!("task lost task={task} machine={id}");
                    self.attempt_lost(now, id, task);
                }
                MachineEvent::AttemptNeverStarted(task) => self.attempt_never_started(id, task),
                MachineEvent::AttemptExited(exit) => self.attempt_exited(now, id, exit),
            }
        }
    }
}
