//! The periodic health check of all machines: it gives up lost attempts, sends probes, and releases machines.

use super::probes::Probes;
use super::zones::ZoneHealth;
use super::{TWO_COMMAND_TIMEOUTS, UNREACHABLE_AFTER_COMMANDS};
use crate::effects::Effect;
use crate::leader::{COMMAND_TIMEOUT, Leader};
use crate::types::{Duration, MachineId, Timestamp};
use crate::workers::{DrainReason, Machine, MachineEvent};
use log::info;
use std::collections::BTreeSet;

/// Age of a direct command after which its response can no longer arrive.
const COMMAND_EXPIRY: Duration = Duration::from_millis(COMMAND_TIMEOUT.as_millis() + 500);
/// Time without any newly fenced machine after which unfenced machines are considered unresponsive. Before that they
/// may only be slow, or this process may be.
const FENCING_QUIET_PERIOD: Duration = Duration::from_secs(1);
/// How long machines in an unreachable zone are kept before they are released.
const UNREACHABLE_ZONE_RETENTION: Duration = Duration::from_secs(60);

/// The inputs of a health check, apart from each machine's own state.
struct HealthCheck<'a> {
    now: Timestamp,
    lease_valid: bool,
    leader_since: Timestamp,
    last_fenced_at: Timestamp,
    unreachable_after: Duration,
    release_unreachable_after: Duration,
    lease_expired_after: Duration,
    /// Whether all zones are unreachable at once. The fault is then most likely in the network of this node, not in the
    /// zones.
    node_isolated: bool,
    mostly_unfenced_zones: BTreeSet<String>,
    unresponsive_zones: BTreeSet<String>,
    zones: &'a ZoneHealth,
}

impl HealthCheck<'_> {
    /// Whether no contact with the machine has been confirmed for longer than the interval between two heartbeats.
    fn is_unreachable(&self, machine: &Machine) -> bool {
        self.now.since(machine.last_reached_at) >= self.unreachable_after
    }

    /// Whether the machine does not confirm the fencing token of a new leader although most machines of its zone have,
    /// so that it alone prevents jobs of earlier leaders from being started. Returns false while other machines are
    /// still being fenced, because then this process may be the slow one.
    fn is_fencing_straggler(&self, machine: &Machine) -> bool {
        !machine.fenced
            && !self.mostly_unfenced_zones.contains(&machine.record.zone)
            && self.now.since(self.last_fenced_at) >= FENCING_QUIET_PERIOD
    }

    /// Whether the machine is unfenced and no machine in its zone has responded to this new leader. Such a zone is
    /// considered unreachable before each of its machines has left two commands without a response: waiting for that
    /// took ten seconds, in which no job of an earlier leader was started.
    fn is_in_unresponsive_zone(&self, machine: &Machine) -> bool {
        !machine.fenced && self.unresponsive_zones.contains(&machine.record.zone)
    }

    /// Whether the lease of the machine's worker has certainly expired, so that its attempts no longer run.
    ///
    /// A worker that receives no responses does not renew its lease, even if its heartbeats arrive here. Since it is
    /// unknown whether a response has arrived, the lease counts from the last response sent. A leader whose own lease
    /// is not valid must not draw this conclusion: a leader that was isolated together with its zone considered the
    /// leases in other zones expired while its successor kept renewing them, and started the tasks running there a second
    /// time.
    fn lease_expired(&self, machine: &Machine) -> bool {
        self.lease_valid && machine.fenced && self.now.since(machine.lease_renewed_at) >= self.lease_expired_after
    }

    /// Whether the machine is kept although it is unreachable, because its whole zone is.
    ///
    /// In an unreachable zone tasks continue to run until their leases expire, and the machines are available again
    /// after the outage, so they are kept for `UNREACHABLE_ZONE_RETENTION`. A new leader keeps unfenced machines only
    /// in the zone of a recent leader, which most likely still renews the leases there: while they are kept, they
    /// prevent jobs of earlier leaders from being started.
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

    /// How long the machine may be unreachable before it is released.
    fn release_timeout(&self, machine: &Machine) -> Duration {
        if self.is_fencing_straggler(machine) || self.is_in_unresponsive_zone(machine) {
            TWO_COMMAND_TIMEOUTS
        } else if self.node_isolated {
            self.lease_expired_after
        } else {
            self.release_unreachable_after
        }
    }

    /// Why a suspected machine must be released; `None` if it is kept. An unreachable machine has most likely failed,
    /// or its network has. Its services are started elsewhere only after this decision.
    fn unreachable_release_reason(&self, machine: &Machine) -> Option<DrainReason> {
        let timed_out = self.now.since(machine.last_reached_at) >= self.release_timeout(machine);
        let commands_unanswered = machine.unanswered_commands >= UNREACHABLE_AFTER_COMMANDS;
        let unanswered = commands_unanswered || self.is_in_unresponsive_zone(machine);
        if !timed_out || !unanswered || self.is_retained(machine) {
            return None;
        }
        let is_silent = !machine.fenced || self.now.since(machine.last_message_at) >= self.unreachable_after;
        Some(if is_silent { DrainReason::Silent } else { DrainReason::Unreachable })
    }
}

/// Why a machine that is being drained or reclaimed, or is suspected to be faulty, can be released now; `None` if it is
/// neither or not empty. It is unknown what runs on an unfenced machine, so such a machine never counts as empty.
fn drained_release_reason(machine: &Machine) -> Option<DrainReason> {
    let reclaimed = machine.reclaim_at.map(|_| DrainReason::Reclaimed);
    let on_trial = machine.quarantine.is_on_trial().then_some(DrainReason::FailingTasks);
    let reason = machine.draining.or(reclaimed).or(on_trial)?;
    (machine.fenced && !machine.is_occupied()).then_some(reason)
}

/// Gives up a machine's direct command if its response can no longer arrive.
fn expire_command(now: Timestamp, machine: &mut Machine) {
    if let Some(command) = machine.in_flight_command
        && now.since(command.sent_at) > COMMAND_EXPIRY
    {
        machine.record_command_outcome(now, command.id, false);
    }
}

/// The results of a health check.
#[derive(Debug, Default)]
struct Findings {
    /// Machines that are unreachable, or that are not fenced although most machines of their zone are.
    suspected: Vec<MachineId>,
    /// Events of attempts that certainly no longer run, by machine.
    lost_attempts: Vec<(MachineId, Vec<MachineEvent>)>,
    /// Machines to release, each with the reason.
    releases: Vec<(MachineId, DrainReason)>,
    /// Machines whose quarantine is over.
    due_trials: Vec<MachineId>,
    /// Machines that have passed their trial.
    passed_trials: Vec<MachineId>,
    /// Probes that determine whether machines respond.
    probes: Probes,
}

impl Findings {
    /// Checks one machine and adds the results.
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
                self.lost_attempts.push((id, events));
            }
            self.releases.extend(check.unreachable_release_reason(machine).map(|reason| (id, reason)));
        }
        let release_reason = drained_release_reason(machine);
        self.releases.extend(release_reason.map(|reason| (id, reason)));
        if release_reason.is_none() {
            self.inspect_quarantine(check.now, machine);
        }
    }

    /// Adds the machine if its trial is due or has been passed.
    fn inspect_quarantine(&mut self, now: Timestamp, machine: &mut Machine) {
        if machine.is_trial_due(now) {
            self.due_trials.push(machine.id());
        } else if machine.end_passed_trial() {
            self.passed_trials.push(machine.id());
        }
    }
}

impl Leader {
    /// Checks all machines: gives up attempts whose lease has expired, releases machines that are unreachable or empty,
    /// and probes those that do not respond.
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

    /// Applies the results of a health check. Without a valid lease no machine is released.
    fn apply_findings(&mut self, now: Timestamp, lease_valid: bool, findings: Findings, out: &mut Vec<Effect>) {
        self.planning.changed_machines.extend(findings.suspected);
        for (id, events) in findings.lost_attempts {
            self.planning.replan_needed = true;
            self.apply_machine_events(now, id, events);
        }
        if lease_valid {
            for (id, reason) in findings.releases {
                self.release_machine(id, reason);
            }
            self.cloud.release_overdue(now);
        }
        self.begin_trials(now, findings.due_trials);
        findings.passed_trials.into_iter().for_each(|id| self.note_passed_trial(id));
        self.send_probes(now, findings.probes, out);
    }

    /// Marks a machine as draining, discards its plan and requests its release from the cloud.
    fn release_machine(&mut self, id: MachineId, reason: DrainReason) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.draining.get_or_insert(reason);
        }
        self.planning.plans.remove_machine(id);
        self.cloud.release(id, reason);
    }
}
