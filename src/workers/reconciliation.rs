//! Reconciliation of a machine's state with the messages of its worker.

use super::attempt::{AttemptExit, AttemptPhase, TaskAttempt};
use super::machine::Machine;
use super::message_position::MessagePosition;
use crate::leadership::TermTokens;
use crate::types::{AttemptId, AttemptNumber, Duration, FencingToken, TaskId, Timestamp};
use crate::wire::{ExitReason, Heartbeat, TaskStatus};
use log::debug;
use std::collections::btree_map::Entry;

/// A change that a worker's message has revealed.
#[derive(Debug, PartialEq)]
pub enum MachineEvent {
    /// The worker reports an attempt that this leader did not know. Either its job adopts it, or it is stopped.
    AttemptDiscovered {
        /// Id of the attempt.
        id: AttemptId,
        /// Whether the attempt had already ended when it was discovered.
        has_ended: bool,
    },
    /// An assigned attempt is running.
    AttemptRunning(AttemptId),
    /// The machine has this image in its cache now.
    ImageCached(String),
    /// An attempt has ended, as reported by its worker.
    AttemptExited(AttemptExit),
    /// The assigned attempt of this task does not exist any more, and no result was reported.
    AttemptLost(TaskId),
    /// The assigned attempt of this task was to be stopped before its worker reported it, and will never be started.
    AttemptNeverStarted(TaskId),
    /// The machine is fenced: one of its messages contained a fencing token of this leader.
    Fenced,
}

impl Machine {
    /// Checks and records the position of a heartbeat. Returns false for a delayed duplicate, which must not be
    /// applied, does not renew the lease and needs no response.
    ///
    /// A heartbeat that is newer than the last heartbeat but older than the response to a direct command is not a
    /// duplicate: its worker may be waiting for the response, which renews its lease. `has_peers` indicates whether
    /// there are other controllers that the worker could send its heartbeats to.
    #[must_use]
    pub fn accept_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat, has_peers: bool) -> bool {
        let position = MessagePosition::from(heartbeat);
        if position <= self.last_heartbeat || position.epoch < self.last_message.epoch {
            return false;
        }
        self.last_heartbeat = position;
        // A worker whose heartbeat got no response sends the next one to another node. If the next heartbeat comes to
        // this node, the worker has received the previous response.
        if has_peers && position == self.last_responded_heartbeat.next() {
            self.mark_reached(now);
            self.sends_consecutive_heartbeats = true;
        }
        true
    }

    /// Applies a message (a heartbeat or the response to a direct command) and reports the changes that it reveals.
    ///
    /// A message that is not newer than the last one is ignored, since its task list is out of date.
    pub fn apply_message(
        &mut self,
        now: Timestamp,
        message: &Heartbeat,
        tokens: TermTokens,
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
        if tokens.contains(FencingToken(message.fencing_token)) && !self.fenced {
            self.mark_fenced(now, events);
        }
        if self.fenced {
            self.reconcile_attempts(now, message, events);
        }
        // The tasks of a machine that is not fenced are ignored: a command of an earlier leader could still change
        // them.
    }

    /// Handles the start of a new epoch of the worker agent.
    fn begin_epoch(&mut self, now: Timestamp, events: &mut Vec<MachineEvent>) {
        if self.last_message.epoch.0 > 0 {
            // The worker's lease expired: the worker has killed and forgotten every task, and it executes no direct
            // commands of earlier epochs.
            self.drop_attempts(events);
        }
        // A new epoch begins with a new lease. When the expiry was still computed from the last response in the
        // previous epoch, running tasks were considered lost and were started a second time.
        self.lease_renewed_at = now;
    }

    /// Marks the machine as fenced after a message with a fencing token of this leader.
    fn mark_fenced(&mut self, now: Timestamp, events: &mut Vec<MachineEvent>) {
        self.fenced = true;
        // An earlier leader may have renewed the lease until this moment; from now on only this leader can.
        self.lease_renewed_at = now;
        self.mark_reached(now);
        events.push(MachineEvent::Fenced);
    }

    /// Applies the worker's complete list of task attempts.
    fn reconcile_attempts(&mut self, now: Timestamp, message: &Heartbeat, events: &mut Vec<MachineEvent>) {
        let tasks = message.tasks.as_deref().unwrap_or_default();
        let mut reported = Vec::with_capacity(tasks.len());
        for status in tasks {
            let Some(task) = status.task else { continue };
            let id = AttemptId { attempt: AttemptNumber(status.attempt), task };
            reported.push(id);
            self.apply_task_status(now, id, status, events);
        }
        reported.sort_unstable();
        self.remove_unreported_attempts(&reported, events);
        self.remove_attempts_never_started(message, events);
    }

    /// Removes the attempts that are to be stopped, that the worker does not report, and that it will certainly not start
    /// any more.
    fn remove_attempts_never_started(&mut self, message: &Heartbeat, events: &mut Vec<MachineEvent>) {
        let position = MessagePosition::from(message);
        let heartbeat = (position == self.last_heartbeat).then_some(position);
        let highest_seen = FencingToken(message.fencing_token);
        let is_settled =
            |attempt: &TaskAttempt| attempt.is_unwanted_start() && attempt.is_never_started(highest_seen, heartbeat);
        let machine = self.record.id;
        self.attempts.retain(|id, attempt| {
            if !is_settled(attempt) {
                return true;
            }
            debug!("attempt never started task={id} machine={machine} token={highest_seen}");
            if attempt.assigned {
                events.push(MachineEvent::AttemptNeverStarted(attempt.task));
            }
            false
        });
    }

    /// Removes attempts that the worker reported before and does not report any more. Usually it was commanded to
    /// forget them; an attempt that is still assigned is lost.
    fn remove_unreported_attempts(&mut self, reported: &[AttemptId], events: &mut Vec<MachineEvent>) {
        let unreported: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(id, attempt)| attempt.acknowledged && reported.binary_search(id).is_err())
            .map(|(id, _)| *id)
            .collect();
        for id in unreported {
            if let Some(attempt) = self.attempts.remove(&id)
                && attempt.assigned
            {
                events.push(MachineEvent::AttemptLost(attempt.task));
            }
        }
    }

    /// Applies the status of one task attempt.
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
            // The worker has received this leader's start command.
            self.mark_reached(now);
        }
        if !phase_changed {
            return;
        }
        match phase {
            AttemptPhase::AwaitingGang => self.mark_image_cached(id, events),
            AttemptPhase::Running => {
                self.mark_image_cached(id, events);
                self.mark_running(now, id, events);
            }
            AttemptPhase::Exited => self.mark_exited(id, status.exit_reason, events),
            AttemptPhase::StartRequested | AttemptPhase::Fetching | AttemptPhase::Checkpointing => {}
        }
    }

    /// Records that the attempt's image is in the machine's cache.
    fn mark_image_cached(&mut self, id: AttemptId, events: &mut Vec<MachineEvent>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if !attempt.image.is_empty() && self.images.insert(attempt.image.clone()) {
            events.push(MachineEvent::ImageCached(attempt.image.clone()));
        }
    }

    /// Records that the attempt is running.
    fn mark_running(&mut self, now: Timestamp, id: AttemptId, events: &mut Vec<MachineEvent>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.running_since = Some(now);
        if attempt.assigned {
            events.push(MachineEvent::AttemptRunning(id));
        }
    }

    /// Records the end of the attempt.
    fn mark_exited(&self, id: AttemptId, reason: Option<ExitReason>, events: &mut Vec<MachineEvent>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        events.push(MachineEvent::AttemptExited(AttemptExit {
            id,
            reason: reason.unwrap_or(ExitReason::Other),
            requested_at: attempt.requested_at,
            running_since: attempt.running_since,
            predicted_duration: attempt.predicted_duration,
        }));
    }

    /// Removes all attempts because they cannot exist any more: the worker's lease has expired, or the machine is gone.
    /// Assigned attempts are reported as lost.
    pub fn drop_attempts(&mut self, events: &mut Vec<MachineEvent>) {
        for (_, attempt) in std::mem::take(&mut self.attempts) {
            if attempt.assigned {
                events.push(MachineEvent::AttemptLost(attempt.task));
            }
        }
        self.in_flight_command = None;
    }
}
