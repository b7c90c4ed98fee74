//! Updates a machine's state from the messages of its worker.

use super::attempt::{AttemptExit, AttemptPhase, TaskAttempt};
use super::machine::Machine;
use super::message_position::MessagePosition;
use crate::types::{AttemptId, AttemptNumber, Duration, FencingToken, TaskId, Timestamp};
use crate::wire::{ExitReason, Heartbeat, TaskStatus};
use std::collections::btree_map::Entry;

/// What a message of a worker has shown.
#[derive(Debug, PartialEq)]
pub enum MachineEvent {
    /// An attempt that this leader did not know; its job adopts it, or it is stopped.
    AttemptDiscovered {
        /// The attempt.
        id: AttemptId,
        /// Whether it has ended already.
        has_ended: bool,
    },
    /// An assigned attempt began to run.
    AttemptRunning(AttemptId),
    /// The machine now holds this image.
    ImageCached(String),
    /// An attempt ended.
    AttemptExited(AttemptExit),
    /// An assigned attempt is surely gone without an end.
    AttemptLost(TaskId),
    /// The machine has now seen this leader's fencing token.
    Fenced,
}

impl Machine {
    /// Notes a heartbeat's position among the others; false for a late copy of one, which shows nothing, renews nothing and needs
    /// no answer.
    ///
    /// A heartbeat that is older than the answer to a direct command is no copy: its worker may be waiting for the answer, which
    /// would renew the worker's lease. `has_peers`: there are other nodes that the worker could go to.
    #[must_use]
    pub fn accept_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat, has_peers: bool) -> bool {
        let position = MessagePosition::from(heartbeat);
        if position <= self.last_heartbeat || position.epoch < self.last_message.epoch {
            return false;
        }
        self.last_heartbeat = position;
        // A worker whose heartbeat got no answer goes to another node: one that comes back at once with
        // the next heartbeat has received the last answer.
        if has_peers && position == self.last_responded_heartbeat.next() {
            self.mark_reached(now);
            self.sends_consecutive_heartbeats = true;
        }
        true
    }

    /// Applies a message (a heartbeat or the answer to a command) and tells what it showed.
    ///
    /// A message that is not newer than the last one changes nothing: its task list is as old as itself.
    pub fn apply_message(
        &mut self,
        now: Timestamp,
        message: &Heartbeat,
        token: FencingToken,
        events: &mut Vec<MachineEvent>,
    ) {
        let position = MessagePosition::from(message);
        if position <= self.last_message {
            return;
        }
        if position.epoch > self.last_message.epoch {
            self.begin_epoch(now, events);
        }
        self.last_message = position;
        self.last_message_at = now;
        self.record.endpoint.clone_from(&message.endpoint);
        self.reclaim_at = message.reclaim_in_s.map(|seconds| now + Duration::from_secs_f64(seconds));
        if message.fencing_token == token.0 && !self.fenced {
            self.note_fenced(now, events);
        }
        if self.fenced {
            self.reconcile_attempts(now, message.tasks.as_deref().unwrap_or_default(), events);
        }
        // Until it is fenced, a command of an earlier leader can still change what is on it.
    }

    /// Notes that the agent has begun a new epoch.
    fn begin_epoch(&mut self, now: Timestamp, events: &mut Vec<MachineEvent>) {
        if self.last_message.epoch.0 > 0 {
            // The lease expired: the worker has killed and forgotten every task, and no direct
            // command of the earlier epoch is executed any more.
            self.drop_attempts(events);
        }
        // The lease of an epoch counts from its beginning. Counting on from the last answer of the
        // epoch before gave up tasks that still ran, and started them twice.
        self.lease_renewed_at = now;
    }

    /// Notes that the worker has seen this leader's fencing token.
    fn note_fenced(&mut self, now: Timestamp, events: &mut Vec<MachineEvent>) {
        self.fenced = true;
        // An earlier leader may have renewed the lease up to now, but no longer.
        self.lease_renewed_at = now;
        self.mark_reached(now);
        events.push(MachineEvent::Fenced);
    }

    /// Applies the complete list of tasks on the machine.
    fn reconcile_attempts(&mut self, now: Timestamp, tasks: &[TaskStatus], events: &mut Vec<MachineEvent>) {
        let mut reported = Vec::with_capacity(tasks.len());
        for status in tasks {
            let Some(task) = status.task else { continue };
            let id = AttemptId { attempt: AttemptNumber(status.attempt), task };
            reported.push(id);
            self.apply_task_status(now, id, status, events);
        }
        reported.sort_unstable();
        self.remove_unreported_attempts(&reported, events);
    }

    /// Removes attempts that the worker has reported before and does not report any more. It was told to forget them; an
    /// assigned one that vanished without that is lost.
    fn remove_unreported_attempts(&mut self, reported: &[AttemptId], events: &mut Vec<MachineEvent>) {
        let gone: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(id, attempt)| attempt.acknowledged && reported.binary_search(id).is_err())
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(attempt) = self.attempts.remove(&id)
                && attempt.assigned
            {
                events.push(MachineEvent::AttemptLost(attempt.task));
            }
        }
    }

    /// Applies the status of one task.
    fn apply_task_status(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        status: &TaskStatus,
        events: &mut Vec<MachineEvent>,
    ) {
        let phase = AttemptPhase::from(status.state);
        if let Entry::Vacant(entry) = self.attempts.entry(id) {
            entry.insert(TaskAttempt::discovered(id.task, phase, now));
            events.push(MachineEvent::AttemptDiscovered { id, has_ended: phase == AttemptPhase::Exited });
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let newly_acknowledged = !std::mem::replace(&mut attempt.acknowledged, true);
        let phase_changed = std::mem::replace(&mut attempt.phase, phase) != phase;
        if newly_acknowledged {
            // It has received our command.
            self.mark_reached(now);
        }
        if !phase_changed {
            return;
        }
        match phase {
            AttemptPhase::AwaitingGang => self.note_image(id, events),
            AttemptPhase::Running => {
                self.note_image(id, events);
                self.note_running(now, id, events);
            }
            AttemptPhase::Exited => self.note_exited(now, id, status.exit_reason, events),
            AttemptPhase::StartRequested | AttemptPhase::Fetching | AttemptPhase::Checkpointing => {}
        }
    }

    /// Notes that the machine holds the attempt's image.
    fn note_image(&mut self, id: AttemptId, events: &mut Vec<MachineEvent>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if !attempt.image.is_empty() && self.images.insert(attempt.image.clone()) {
            events.push(MachineEvent::ImageCached(attempt.image.clone()));
        }
    }

    /// Notes that the attempt runs.
    fn note_running(&mut self, now: Timestamp, id: AttemptId, events: &mut Vec<MachineEvent>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.running_since = Some(now);
        if attempt.assigned {
            events.push(MachineEvent::AttemptRunning(id));
        }
    }

    /// Notes that the attempt ended.
    fn note_exited(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        reason: Option<ExitReason>,
        events: &mut Vec<MachineEvent>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.ended_at = now;
        events.push(MachineEvent::AttemptExited(AttemptExit {
            id,
            reason: reason.unwrap_or(ExitReason::Other),
            requested_at: attempt.requested_at,
            running_since: attempt.running_since,
            predicted_duration: attempt.predicted_duration,
        }));
    }

    /// Removes all attempts because they are surely gone: the lease has expired, or the machine is gone.
    pub fn drop_attempts(&mut self, events: &mut Vec<MachineEvent>) {
        for (_, attempt) in std::mem::take(&mut self.attempts) {
            if attempt.assigned {
                events.push(MachineEvent::AttemptLost(attempt.task));
            }
        }
        self.in_flight_command = None;
    }
}
