//! Commands to a machine's worker, sent in heartbeat responses and in direct messages.

use super::attempt::{AttemptPhase, TaskAttempt};
use super::machine::Machine;
use crate::types::{AttemptId, FencingToken, JobId, Timestamp};
use crate::wire::{Heartbeat, TaskState, WorkerCommand};
use log::debug;

/// Number of commands from which no further ones are added to a message, which must stay far below 64 KiB. In a
/// heartbeat response the number is checked after a start or stop only, so `Forget` commands may exceed it.
const MAX_COMMANDS_PER_MESSAGE: usize = 300;
/// Number of ended attempts on one machine that a delayed direct command may start again, from which on no further
/// attempt is started there by a direct command. Heartbeats list all of them and must stay far below 64 KiB.
const MAX_RETAINED_ATTEMPTS: usize = 200;

/// Returns commands that stop every task in a heartbeat whose job has ended. They are sent to a machine that is not
/// fenced yet, whose attempts this leader does not track.
pub fn stop_ended_jobs(heartbeat: &Heartbeat, has_ended: &dyn Fn(JobId) -> bool) -> Vec<WorkerCommand> {
    let live = heartbeat.tasks.iter().flatten().filter(|status| status.state != TaskState::Exited);
    live.filter_map(|status| Some((status.task?, status.attempt)))
        .filter(|(task, _)| has_ended(task.job))
        .map(|(task, attempt)| WorkerCommand::Stop { task: task.to_string(), attempt, grace_s: 0.0 })
        .take(MAX_COMMANDS_PER_MESSAGE)
        .collect()
}

// The functions below format an id only when a command is created: most attempts need none.

fn start_command(id: &AttemptId) -> WorkerCommand {
    WorkerCommand::Start { task: id.task.to_string(), attempt: id.attempt.0 }
}

fn stop_command(id: &AttemptId, grace_s: f64) -> WorkerCommand {
    WorkerCommand::Stop { task: id.task.to_string(), attempt: id.attempt.0, grace_s }
}

fn forget_command(id: &AttemptId) -> WorkerCommand {
    WorkerCommand::Forget { task: id.task.to_string(), attempt: id.attempt.0 }
}

impl TaskAttempt {
    /// Whether it has ended and its result is not needed any more.
    fn is_obsolete(&self) -> bool {
        self.phase == AttemptPhase::Exited && self.forgettable
    }

    /// Whether a response with this fencing token may command the worker to forget the attempt. The worker adopts the
    /// token together with the command, and from then on rejects the direct command that started the attempt.
    fn may_be_forgotten(&self, response_token: FencingToken) -> bool {
        self.is_obsolete() && !self.may_start_late(response_token)
    }
}

impl Machine {
    /// Returns the commands for the response to a heartbeat. Unlike a direct command, a heartbeat response is never
    /// executed late.
    ///
    /// A start that the worker has not acknowledged is sent again, since `Start` of an attempt that the worker already
    /// has is a no-op. An attempt that is to be stopped before it was acknowledged is never started: it gets no command,
    /// and ends once a message proves that the worker will not start it, see `TaskAttempt::is_never_started`.
    ///
    /// The worker keeps its record of an ended attempt until a response carries a higher fencing token than the direct
    /// command that started it: a direct command, or a duplicate of one that was responded to, may be executed after any
    /// delay while the worker has seen no higher token, and would start an attempt that the worker has forgotten.
    pub fn heartbeat_commands(&mut self) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for (id, attempt) in &mut self.attempts {
            if attempt.phase == AttemptPhase::Exited {
                if attempt.may_be_forgotten(self.message_token) {
                    debug!("attempt forgotten task={id} machine={} token={}", self.record.id, self.message_token);
                    commands.push(forget_command(id));
                }
                continue;
            }
            if !attempt.acknowledged {
                if attempt.stop_grace_s.is_none() {
                    attempt.start_sent = true;
                    attempt.start_responded_to = Some(self.last_heartbeat);
                    commands.push(start_command(id));
                }
                continue;
            }
            // A checkpointing attempt gets a second stop only if its grace period is 0: the checkpoint is not needed
            // any more.
            if let Some(grace_s) = attempt.stop_grace_s
                && (attempt.phase != AttemptPhase::Checkpointing || grace_s == 0.0)
            {
                attempt.stop_sent = true;
                commands.push(stop_command(id, grace_s));
            }
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                break;
            }
        }
        commands
    }

    /// Number of ended attempts that the worker must not forget yet, because a delayed direct command may start them
    /// again.
    fn retained_attempts(&self) -> usize {
        let is_retained = |attempt: &&TaskAttempt| {
            attempt.phase == AttemptPhase::Exited && attempt.may_start_late(self.message_token)
        };
        self.attempts.values().filter(is_retained).count()
    }

    /// Whether the worker needs a response with a higher fencing token than that of the messages to it: to forget an
    /// attempt, or to reject the delayed start of an attempt that is to be stopped. The former waits while a direct
    /// command is in flight, which the worker would reject if the response overtook it.
    pub fn awaits_higher_token(&self) -> bool {
        let is_retained =
            |attempt: &TaskAttempt| attempt.is_obsolete() && !attempt.may_be_forgotten(self.message_token);
        self.unwanted_late_starts().next().is_some()
            || (self.in_flight_command.is_none() && self.attempts.values().any(is_retained))
    }

    /// The attempts that are to be stopped and that a delayed direct command may still start, since the worker has not
    /// been sent a higher fencing token.
    pub fn unwanted_late_starts(&self) -> impl Iterator<Item = AttemptId> {
        let may_start =
            |attempt: &TaskAttempt| attempt.is_unwanted_start() && attempt.may_start_late(self.message_token);
        self.attempts.iter().filter(move |(_, attempt)| may_start(attempt)).map(|(id, _)| *id)
    }

    /// Raises the fencing token of the messages to the worker to this one.
    pub fn raise_message_token(&mut self, token: FencingToken) {
        self.message_token = self.message_token.max(token);
    }

    /// Returns the commands for a direct message: starts that were not sent yet, and stops of acknowledged attempts.
    ///
    /// Commands that were sent in a heartbeat response are not included: the next response repeats them if necessary.
    /// Starts are left to heartbeat responses while the worker retains too many ended attempts.
    pub fn direct_commands(&mut self) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let may_start = self.retained_attempts() < MAX_RETAINED_ATTEMPTS;
        for (id, attempt) in &mut self.attempts {
            match attempt.stop_grace_s {
                None if may_start && !attempt.acknowledged && !attempt.start_sent => {
                    attempt.start_sent = true;
                    attempt.direct_start_token = Some(self.message_token);
                    commands.push(start_command(id));
                }
                Some(grace_s) if attempt.acknowledged && attempt.occupies_resources() && !attempt.stop_sent => {
                    attempt.stop_sent = true;
                    commands.push(stop_command(id, grace_s));
                }
                _ => {}
            }
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                break;
            }
        }
        commands
    }

    /// Updates the machine when its worker has responded to a direct command (`responded`), or when the command has
    /// failed without a response, in which case it may still be executed.
    pub fn record_command_outcome(&mut self, now: Timestamp, command: u64, responded: bool) {
        if responded {
            self.mark_reached(now);
        } else {
            self.unanswered_commands += 1;
        }
        if self.in_flight_command.is_some_and(|in_flight| in_flight.id == command) {
            self.in_flight_command = None;
        }
    }

    /// Requests that an attempt stops within a grace period for its checkpoint, in seconds. Returns whether a command
    /// must be sent to the worker: false if the attempt has ended, does not exist, or was already requested to stop at
    /// least as soon.
    pub fn request_stop(&mut self, id: AttemptId, grace_s: f64) -> bool {
        if let Some(attempt) = self.attempts.get_mut(&id)
            && attempt.occupies_resources()
            && attempt.stop_grace_s.is_none_or(|current| current > grace_s)
        {
            attempt.stop_grace_s = Some(grace_s);
            attempt.stop_sent = false;
            return true;
        }
        false
    }
}
