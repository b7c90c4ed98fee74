//! Commands to a machine's worker: with the answers to its heartbeats, and directly.

use super::attempt::{AttemptPhase, StartUncertainty, TaskAttempt};
use super::machine::Machine;
use crate::types::{AttemptId, Duration, JobId, Timestamp};
use crate::wire::{Heartbeat, TaskState, WorkerCommand};

/// Most commands in one message, which must stay far below 64 KiB.
const MAX_COMMANDS_PER_MESSAGE: usize = 300;
/// Ended attempts that a machine is left with: its heartbeats must stay far below 64 KiB.
const MAX_ENDED_ATTEMPTS: usize = 200;

/// Commands that stop every task which a heartbeat shows of jobs that have ended.
pub fn stop_ended_jobs(heartbeat: &Heartbeat, has_ended: &dyn Fn(JobId) -> bool) -> Vec<WorkerCommand> {
    let live = heartbeat.tasks.iter().flatten().filter(|status| status.state != TaskState::Exited);
    live.filter_map(|status| Some((status.task?, status.attempt)))
        .filter(|(task, _)| has_ended(task.job))
        .map(|(task, attempt)| WorkerCommand::Stop { task: task.to_string(), attempt, grace_s: 0.0 })
        .take(MAX_COMMANDS_PER_MESSAGE)
        .collect()
}

// Most attempts need no command, so their names are written out only where one is made.

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
    /// Whether the worker may be told to forget this ended attempt: its end is settled, and no direct start of it can be executed
    /// late any more. A copy of an answered command may come within `duplicate_delay_limit` after the end; `is_excess` attempts do not
    /// wait for that.
    fn may_be_forgotten(&self, now: Timestamp, duplicate_delay_limit: Duration, is_excess: bool) -> bool {
        let late_copy_possible = self.started_directly && now.since(self.ended_at) < duplicate_delay_limit;
        self.forgettable && self.start_uncertainty == StartUncertainty::None && (is_excess || !late_copy_possible)
    }
}

impl Machine {
    /// The commands for a heartbeat's answer, which is never executed late.
    ///
    /// A start that the worker has not acknowledged is sent again: `Start` of an attempt that it holds has no effect. An attempt
    /// that is to be stopped before it was acknowledged gets `Start` before `Stop`, so that the worker knows it, and a late copy of
    /// the direct `Start` finds it exited. For the same reason the worker is left with an ended attempt that was started directly
    /// for `duplicate_delay_limit`: once it has forgotten it, a copy of the command, executed late although the command was answered,
    /// would start it anew.
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
            // One that saves its progress is ended by a second stop, when there is nothing to save it for any more.
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

    /// The commands for a direct message: starts that were not sent yet, and stops of acknowledged attempts.
    ///
    /// What went with the answer to a heartbeat is not sent again: the next answer repeats it if need be.
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

    /// Notes that a direct command was answered (`answered`), or got no answer and may still be executed.
    pub fn record_command_outcome(&mut self, now: Timestamp, command: u64, answered: bool) {
        if answered {
            self.mark_reached(now);
        } else {
            self.unanswered_commands += 1;
        }
        if self.in_flight_command.is_some_and(|in_flight| in_flight.id == command) {
            self.in_flight_command = None;
        }
        let in_flight = StartUncertainty::InFlight(command);
        let outcome = if answered { StartUncertainty::None } else { StartUncertainty::Lost };
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.start_uncertainty == in_flight) {
            attempt.start_uncertainty = outcome;
        }
    }

    /// Requests that an attempt stops, with this many seconds for its checkpoint; true if the worker is to be told, false if
    /// the attempt is stopping as soon already or is not there.
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
