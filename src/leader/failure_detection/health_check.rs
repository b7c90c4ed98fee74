//! The periodic check of all machines: lost attempts, probes, and machines that are given back.

use super::zones::ZoneHealth;
use super::{TWO_COMMAND_TIMEOUTS, UNREACHABLE_AFTER_COMMANDS};
use crate::effects::Effect;
use crate::leader::{COMMAND_TIMEOUT, Leader};
use crate::types::{Duration, MachineId, Timestamp};
use crate::workers::{DrainReason, Machine, MachineEvent};
use log::info;
use std::collections::BTreeSet;

/// A direct command that was sent so long ago gets no answer any more.
const COMMAND_EXPIRY: Duration = Duration::from_millis(COMMAND_TIMEOUT.as_millis() + 500);
/// The least time between two probes of a machine.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);
/// While machines were fenced within this time, those that are not yet may only be slow, or this process is.
const FENCING_QUIET_PERIOD: Duration = Duration::from_secs(1);
/// How long the machines of a zone that is out of reach are kept.
const UNREACHABLE_ZONE_RETENTION: Duration = Duration::from_secs(60);

/// What a health check knows beside each machine's own state.
struct HealthCheck<'a> {
    now: Timestamp,
    lease_valid: bool,
    leader_since: Timestamp,
    last_fenced_at: Timestamp,
    unreachable_after: Duration,
    release_unreachable_after: Duration,
    lease_expired_after: Duration,
    /// Most machines are out of reach at once, and not because of a zone: it is this node that is cut off.
    node_isolated: bool,
    mostly_unfenced_zones: BTreeSet<String>,
    unresponsive_zones: BTreeSet<String>,
    zones: &'a ZoneHealth,
}

impl HealthCheck<'_> {
    /// Whether nothing of ours has reached the machine for longer than between two heartbeats.
    fn is_unreachable(&self, machine: &Machine) -> bool {
        self.now.since(machine.last_reached_at) >= self.unreachable_after
    }

    /// Whether the machine does not answer a new leader while the others of its zone did, so that it alone holds older jobs
    /// back. While others are still being fenced it may be this process that is late.
    fn is_fencing_straggler(&self, machine: &Machine) -> bool {
        !machine.fenced
            && !self.mostly_unfenced_zones.contains(&machine.record.zone)
            && self.now.since(self.last_fenced_at) >= FENCING_QUIET_PERIOD
    }

    /// Whether nothing in the machine's zone has answered a new leader. Such a zone is out of reach: to ask each of its machines
    /// twice took ten seconds, in which no older job was started.
    fn is_in_unresponsive_zone(&self, machine: &Machine) -> bool {
        !machine.fenced && self.unresponsive_zones.contains(&machine.record.zone)
    }

    /// Whether the lease of the machine's worker has surely expired, so that its attempts are gone.
    ///
    /// A machine that nothing reaches renews no lease, whatever it reports; but that an answer did not reach it cannot be known,
    /// so the lease counts from the last one given. A leader whose own lease is in doubt cannot know at all: cut off with its own
    /// zone it took the others' leases for expired, which the next leader went on renewing, and started their tasks a second time.
    fn lease_expired(&self, machine: &Machine) -> bool {
        self.lease_valid && machine.fenced && self.now.since(machine.lease_renewed_at) >= self.lease_expired_after
    }

    /// Whether the machine is kept although it is out of reach, because its zone is.
    ///
    /// In a zone that is cut off as a whole tasks go on until their leases expire, and its machines are there again after the
    /// outage: they are kept for a while. A new leader does so only if an earlier one is in that zone, since unfenced machines
    /// hold older jobs back meanwhile.
    fn is_retained(&self, machine: &Machine) -> bool {
        let zone = &machine.record.zone;
        if machine.fenced {
            let outage = self.zones.current_outage(self.now, zone);
            return outage.is_some_and(|outage| self.now.since(outage.since) < UNREACHABLE_ZONE_RETENTION);
        }
        self.mostly_unfenced_zones.contains(zone)
            && self.zones.recent_leader_zones.contains(zone)
            && self.now.since(self.leader_since) < UNREACHABLE_ZONE_RETENTION
    }

    /// How long the machine may be out of reach before it is given back.
    fn release_timeout(&self, machine: &Machine) -> Duration {
        if self.is_fencing_straggler(machine) || self.is_in_unresponsive_zone(machine) {
            TWO_COMMAND_TIMEOUTS
        } else if self.node_isolated {
            self.lease_expired_after
        } else {
            self.release_unreachable_after
        }
    }

    /// Why a suspected machine is to be given back, if it is. One that nothing reaches is most likely dead, or its network
    /// is; its services wait for this verdict.
    fn unreachable_release_reason(&self, machine: &Machine) -> Option<DrainReason> {
        let timed_out = self.now.since(machine.last_reached_at) >= self.release_timeout(machine);
        let left_unanswered = machine.unanswered_commands >= UNREACHABLE_AFTER_COMMANDS;
        let unanswered = left_unanswered || self.is_in_unresponsive_zone(machine);
        if !timed_out || !unanswered || self.is_retained(machine) {
            return None;
        }
        let is_silent = !machine.fenced || self.now.since(machine.last_message_at) >= self.unreachable_after;
        Some(if is_silent { DrainReason::Silent } else { DrainReason::Unreachable })
    }
}

/// Why an empty machine is to be given back, if it is. What is on a machine that is not fenced is not known.
fn drained_release_reason(machine: &Machine) -> Option<DrainReason> {
    let is_leaving = machine.draining.is_some() || machine.reclaim_at.is_some();
    let is_empty = is_leaving && machine.fenced && !machine.is_occupied();
    is_empty.then(|| machine.draining.unwrap_or(DrainReason::Reclaimed))
}

/// A machine that a direct command may be sent to, to find out whether it answers; the one that waits longest comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProbeCandidate {
    last_probe_at: Timestamp,
    machine: MachineId,
}

/// Machines that do not answer.
#[derive(Debug, Default)]
struct Probes {
    /// Those to which a command may be sent.
    candidates: Vec<ProbeCandidate>,
    /// Those to which one is in flight.
    in_flight: usize,
}

impl Probes {
    fn add(&mut self, now: Timestamp, machine: &Machine) {
        if machine.in_flight_command.is_some() {
            self.in_flight += 1;
        } else if now.since(machine.last_probe_at) >= PROBE_INTERVAL {
            self.candidates.push(ProbeCandidate { last_probe_at: machine.last_probe_at, machine: machine.id() });
        }
    }
}

/// Gives up the machine's direct command if no answer can come any more.
fn expire_command(now: Timestamp, machine: &mut Machine) {
    if let Some(command) = machine.in_flight_command
        && now.since(command.sent_at) > COMMAND_EXPIRY
    {
        machine.record_command_outcome(now, command.id, false);
    }
}

/// What a health check found.
#[derive(Debug, Default)]
struct Findings {
    /// Machines that are out of reach, or not fenced while the others of their zone are.
    suspected: Vec<MachineId>,
    /// Attempts that are surely gone, by machine.
    lost: Vec<(MachineId, Vec<MachineEvent>)>,
    /// Machines that are to be given back.
    releases: Vec<(MachineId, DrainReason)>,
    /// Machines that are to be asked whether they answer.
    probes: Probes,
}

impl Findings {
    /// Checks one machine.
    fn inspect(&mut self, check: &HealthCheck<'_>, machine: &mut Machine) {
        expire_command(check.now, machine);
        let id = machine.id();
        let is_unreachable = check.is_unreachable(machine);
        if is_unreachable || machine.unanswered_commands > 0 {
            self.probes.add(check.now, machine);
        }
        if is_unreachable || check.is_fencing_straggler(machine) {
            self.suspected.push(id);
            if check.lease_expired(machine) && !machine.attempts.is_empty() {
                info!("lease expired machine={id}");
                let mut events = Vec::new();
                machine.drop_attempts(&mut events);
                self.lost.push((id, events));
            }
            self.releases.extend(check.unreachable_release_reason(machine).map(|reason| (id, reason)));
        }
        self.releases.extend(drained_release_reason(machine).map(|reason| (id, reason)));
    }
}

impl Leader {
    /// Checks all machines: gives up attempts whose lease expired, gives back machines that are out of reach or empty, and
    /// probes those that do not answer.
    pub(crate) fn check_machine_health(&mut self, now: Timestamp, lease_valid: bool, out: &mut Vec<Effect>) {
        let node_isolated = self.detect_unreachable_zones(now);
        let times = &self.settings.deployment.workers;
        let check = HealthCheck {
            now,
            lease_valid,
            leader_since: self.leader_since,
            last_fenced_at: self.fencing.last_fenced_at,
            unreachable_after: times.unreachable_after(),
            release_unreachable_after: times.release_unreachable_after(),
            lease_expired_after: times.lease_expired_after(),
            node_isolated,
            mostly_unfenced_zones: self.mostly_unfenced_zones(),
            unresponsive_zones: self.unresponsive_zones(),
            zones: &self.zones,
        };
        let mut findings = Findings::default();
        for machine in self.machines.values_mut() {
            findings.inspect(&check, machine);
        }
        self.apply_findings(now, lease_valid, findings, out);
    }

    /// Acts on what a health check found. Without a valid lease nothing is given back.
    fn apply_findings(&mut self, now: Timestamp, lease_valid: bool, findings: Findings, out: &mut Vec<Effect>) {
        self.planning.changed_machines.extend(findings.suspected);
        for (id, events) in findings.lost {
            self.planning.replan_needed = true;
            self.apply_machine_events(now, id, events);
        }
        if lease_valid {
            for (id, reason) in findings.releases {
                self.release_machine(id, reason);
            }
            self.cloud.release_overdue(now);
        }
        self.send_probes(now, findings.probes, out);
    }

    /// Drains a machine and gives it back to the cloud.
    fn release_machine(&mut self, id: MachineId, reason: DrainReason) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.draining.get_or_insert(reason);
        }
        self.planning.plans.remove_machine(id);
        self.cloud.release(id, reason);
    }

    /// Sends commands to machines that do not answer. They get no more than half of the commands in flight: when many machines
    /// fell silent together, the others' starts waited behind theirs.
    fn send_probes(&mut self, now: Timestamp, mut probes: Probes, out: &mut Vec<Effect>) {
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
