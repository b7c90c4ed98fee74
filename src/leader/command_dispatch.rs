//! Direct commands to workers: the machines for which one is queued, and the limit of commands in flight.

use crate::effects::Effect;
use crate::leader::Leader;
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::CommandBatch;
use crate::workers::InFlightCommand;
use std::collections::BTreeSet;

/// Minimum of the limit of commands in flight, however long the input delay is.
const MIN_COMMANDS_IN_FLIGHT: usize = 8;
/// For each such step of input delay, the divisor of the limit of commands in flight grows by one.
const INPUT_DELAY_STEP: Duration = Duration::from_millis(50);

/// Direct commands that are queued or in flight.
#[derive(Debug, Default)]
pub(crate) struct CommandDispatch {
    /// Machines to which a command is sent as soon as the limit of commands in flight allows.
    queued: BTreeSet<MachineId>,
    /// Number of commands that have been sent and have neither received a response nor timed out.
    in_flight: usize,
    /// Id of the last command that this leader has sent; 0 before the first.
    last_command_id: u64,
}

impl CommandDispatch {
    /// Queues a direct command to a machine. Its contents are determined when it is sent.
    pub(super) fn enqueue(&mut self, id: MachineId) {
        self.queued.insert(id);
    }

    /// Queues a direct command to each of these machines.
    pub(super) fn enqueue_all(&mut self, ids: impl IntoIterator<Item = MachineId>) {
        self.queued.extend(ids);
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Allocates the id of the next command.
    fn next_id(&mut self) -> u64 {
        self.last_command_id += 1;
        self.last_command_id
    }

    /// Records that a command received its response or timed out.
    pub(super) fn command_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl Leader {
    /// The limit of direct commands in flight. It is lower while the input delay is long, since the responses to
    /// heartbeats carry the same commands, only later.
    pub(crate) fn max_commands_in_flight(&self) -> usize {
        let max_commands = self.settings.deployment.resources.max_concurrent_commands();
        let delay_steps = self.planning.pacing.input_delay.as_millis() / INPUT_DELAY_STEP.as_millis();
        (max_commands / (1 + delay_steps as usize)).max(MIN_COMMANDS_IN_FLIGHT)
    }

    /// Sends the queued commands, up to the limit of commands in flight.
    pub(super) fn send_queued_commands(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let max_commands = self.max_commands_in_flight();
        while self.command_dispatch.in_flight < max_commands
            && let Some(id) = self.command_dispatch.queued.pop_first()
        {
            self.send_direct_command(now, id, false, out);
        }
    }

    /// Sends a direct command to a machine. Only one is in flight to each machine at a time. After a command without a
    /// response the machine receives only probes, which [`check_machine_health`](Leader::check_machine_health) sends
    /// from time to time; a `probe` is sent even if it contains no commands.
    pub(crate) fn send_direct_command(&mut self, now: Timestamp, id: MachineId, probe: bool, out: &mut Vec<Effect>) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if machine.in_flight_command.is_some() || (machine.unanswered_commands > 0 && !probe) {
            return;
        }
        let command = self.command_dispatch.next_id();
        let commands = if machine.fenced { machine.direct_commands() } else { Vec::new() };
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
            body: CommandBatch {
                fencing_token: machine.message_token.0,
                epoch: machine.last_message.epoch.0,
                commands,
            },
        });
    }
}
