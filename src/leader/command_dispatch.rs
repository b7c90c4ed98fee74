//! Direct commands to workers: which machines need one, and how many may be in flight.

use crate::effects::Effect;
use crate::leader::Leader;
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::CommandBatch;
use crate::workers::InFlightCommand;
use std::collections::BTreeSet;

/// Direct commands that may be in flight however late inputs are taken.
const MIN_COMMANDS_IN_FLIGHT: usize = 8;
/// With each such delay of inputs the limit of commands in flight is divided by one more.
const INPUT_DELAY_STEP: Duration = Duration::from_millis(50);

/// Direct commands that are to be sent or in flight.
#[derive(Debug, Default)]
pub(crate) struct CommandDispatch {
    /// Machines to which a command should be sent soon.
    queued: BTreeSet<MachineId>,
    /// Commands that were sent and have neither an answer nor timed out.
    in_flight: usize,
    /// Commands that were sent by this leader; numbers them.
    last_command_id: u64,
}

impl CommandDispatch {
    /// Requests that a command is sent to a machine soon.
    pub(super) fn enqueue(&mut self, id: MachineId) {
        self.queued.insert(id);
    }

    /// Requests that a command is sent to each of these machines soon.
    pub(super) fn enqueue_all(&mut self, ids: impl IntoIterator<Item = MachineId>) {
        self.queued.extend(ids);
    }

    /// How many commands are in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The number of the next command.
    fn next_id(&mut self) -> u64 {
        self.last_command_id += 1;
        self.last_command_id
    }

    /// Notes that a command was answered or has timed out.
    pub(super) fn command_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl Leader {
    /// How many direct commands may be in flight. There are fewer while inputs are taken late, since the answers to heartbeats do
    /// the same, only later.
    pub(crate) fn max_commands_in_flight(&self) -> usize {
        let max_commands = self.settings.deployment.resources.max_concurrent_commands();
        let delay_steps = self.planning.pacing.input_delay.as_millis() / INPUT_DELAY_STEP.as_millis();
        (max_commands / (1 + delay_steps as usize)).max(MIN_COMMANDS_IN_FLIGHT)
    }

    /// Sends commands to the machines that wait for one, as many as may be in flight.
    pub(super) fn send_queued_commands(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let max_commands = self.max_commands_in_flight();
        while self.command_dispatch.in_flight < max_commands
            && let Some(id) = self.command_dispatch.queued.pop_first()
        {
            self.send_direct_command(now, id, false, out);
        }
    }

    /// Sends a direct command to a machine, one at a time to each. A machine that left one unanswered gets no more but as a
    /// `probe`: [`check_machine_health`](Leader::check_machine_health) sends one from time to time, even without commands in it.
    pub(crate) fn send_direct_command(&mut self, now: Timestamp, id: MachineId, probe: bool, out: &mut Vec<Effect>) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if machine.in_flight_command.is_some() || (machine.unanswered_commands > 0 && !probe) {
            return;
        }
        let command = self.command_dispatch.next_id();
        let commands = if machine.fenced { machine.direct_commands(command) } else { Vec::new() };
        if commands.is_empty() && machine.fenced && !probe {
            return;
        }
        self.command_dispatch.in_flight += 1;
        machine.last_probe_at = now;
        machine.in_flight_command = Some(InFlightCommand { id: command, sent_at: now });
        out.push(Effect::SendCommands {
            token: self.token.0,
            machine: id,
            endpoint: machine.record.endpoint.clone(),
            id: command,
            body: CommandBatch { fencing_token: self.token.0, epoch: machine.last_message.epoch.0, commands },
        });
    }
}
