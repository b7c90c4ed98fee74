//! Commands to a machine's worker, sent in heartbeat responses and in direct messages.

use super::attempt::{AttemptPhase, StartUncertainty, TaskAttempt};
use super::machine::Machine;
use crate::types::{AttemptId, Duration, JobId, Timestamp};
use crate::wire::{Heartbeat, TaskState, WorkerCommand};

/// Number of commands from which no further ones are added to a message, which must stay far below 64 KiB. In a
/// heartbeat response the number is checked after a start or stop only, so `Forget` commands may exceed it.
const MAX_COMMANDS_PER_MESSAGE: usize = 300;
/// Number of ended attempts on one machine above which the worker is commanded to forget attempts even if a delayed
/// duplicate of their start may still arrive, because its heartbeats list them and must stay far below 64 KiB.
const MAX_ENDED_ATTEMPTS: usize = 200;

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
    /// Whether a command to forget this ended attempt may be sent to the worker: its result is not needed any more, and
    /// no direct command can start it again. A delayed duplicate of a command that was responded to may arrive until
    /// `duplicate_delay_limit` after the end; an `is_excess` attempt is forgotten regardless of that.
    fn may_be_forgotten(&self, now: Timestamp, duplicate_delay_limit: Duration, is_excess: bool) -> bool {
        let duplicate_possible = self.started_directly && now.since(self.ended_at) < duplicate_delay_limit;
        self.forgettable && self.start_uncertainty == StartUncertainty::None && (is_excess || !duplicate_possible)
    }
}

impl Machine {
    /// Returns the commands for the response to a heartbeat. Unlike a direct command, a heartbeat response is never
    /// executed late.
    ///
    /// A start that the worker has not acknowledged is sent again, since `Start` of an attempt that the worker already
    /// has is a no-op. An attempt that is to be stopped before it was acknowledged gets `Start` followed by `Stop`: the
    /// worker then has a record of the attempt, and a delayed direct `Start` has no effect because the attempt has
    /// exited. For the same reason the worker keeps an ended attempt that was started directly for
    /// `duplicate_delay_limit`: after forgetting it, the worker would start it again if a delayed duplicate of the
    /// command arrived, even though it had responded to the command.
    pub fn heartbeat_commands(&mut self, now: Timestamp, duplicate_delay_limit: Duration) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let ended = self.attempts.values().filter(|attempt| !attempt.occupies_resources()).count();
        let mut excess = ended.saturating_sub(MAX_ENDED_ATTEMPTS);
        for (id, attempt) in &mut self.attempts {
            if attempt.phase == AttemptPhase::Exited {
                if attempt.may_be_forgotten(now, duplicate_delay_limit, excess > 0) {
                    excess = excess.saturating_sub(1);
                    commands.push(forget_command(id));
                }
                continue;
            }
            if !attempt.acknowledged {
                attempt.start_sent = true;
                commands.push(start_command(id));
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

    /// Returns the commands for the direct message with this number: starts that were not sent yet, and stops of
    /// acknowledged attempts.
    ///
    /// Commands that were sent in a heartbeat response are not included: the next response repeats them if necessary.
    pub fn direct_commands(&mut self, command: u64) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for (id, attempt) in &mut self.attempts {
            match attempt.stop_grace_s {
                None if !attempt.acknowledged && !attempt.start_sent => {
                    attempt.start_sent = true;
                    attempt.start_uncertainty = StartUncertainty::InFlight(command);
                    attempt.started_directly = true;
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
        let in_flight = StartUncertainty::InFlight(command);
        let outcome = if responded { StartUncertainty::None } else { StartUncertainty::Lost };
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.start_uncertainty == in_flight) {
            attempt.start_uncertainty = outcome;
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
