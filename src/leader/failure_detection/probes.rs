//! Probes: direct commands that determine whether machines respond.

use crate::effects::Effect;
use crate::leader::Leader;
use crate::types::{Duration, MachineId, Timestamp};
use crate::workers::Machine;

/// Minimum interval between two probes of a machine.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// A machine that may be probed with a direct command. Candidates are ordered by the time of their last probe, oldest
/// first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProbeCandidate {
    last_probe_at: Timestamp,
    machine: MachineId,
}

/// Probes of machines that do not respond.
#[derive(Debug, Default)]
pub(super) struct Probes {
    /// Machines that may be probed now.
    candidates: Vec<ProbeCandidate>,
    /// Number of machines to which a command is already in flight.
    in_flight: usize,
}

impl Probes {
    /// Adds the machine: as a candidate, or to the count if a command to it is in flight.
    pub(super) fn add(&mut self, now: Timestamp, machine: &Machine) {
        if machine.in_flight_command.is_some() {
            self.in_flight += 1;
        } else if now.since(machine.last_probe_at) >= PROBE_INTERVAL {
            self.candidates.push(ProbeCandidate { last_probe_at: machine.last_probe_at, machine: machine.id() });
        }
    }
}

impl Leader {
    /// Sends probes to machines that do not respond. Probes use at most half of the limit of commands in flight: when
    /// many machines became silent at once, starts on the other machines were queued behind their probes.
    pub(super) fn send_probes(&mut self, now: Timestamp, mut probes: Probes, out: &mut Vec<Effect>) {
        probes.candidates.sort_unstable();
        let max_commands = self.max_commands_in_flight();
        let max_probes = (max_commands / 2).saturating_sub(probes.in_flight);
        for candidate in probes.candidates.into_iter().take(max_probes) {
            if self.command_dispatch.in_flight() < max_commands {
                self.send_direct_command(now, candidate.machine, true, out);
            }
        }
    }
}
