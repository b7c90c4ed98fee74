//! Looking after machines: which are silent, in which zones, and whether this node reaches any at all.

use crate::effects::Effect;
use crate::leader::{COMMAND_TIMEOUT, Leader, StepDownReason};
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::CommandBatch;
use crate::workers::{self, InFlightCommand, Machine};
use log::{info, warn};
use std::collections::{BTreeSet, HashMap};

/// So long the machines of a zone that is cut off are kept.
const KEEP_ZONE: Duration = Duration::from_secs(60);

/// A zone that was not seen to be out of reach for so long is back.
const ZONE_IS_BACK: Duration = Duration::from_secs(3);
/// Fewer machines say nothing of a zone, or of this node.
const FEW: usize = 4;

/// A zone in which most machines fell silent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LostZone {
    /// Since when.
    pub since: Timestamp,
    /// When that was seen last.
    pub seen: Timestamp,
}

impl LostZone {
    /// Whether it is out of reach still.
    fn lasts(&self, now: Timestamp) -> bool {
        now.since(self.seen) < ZONE_IS_BACK
    }
}

/// What is known of whole zones.
#[derive(Debug, Default)]
pub(super) struct ZoneHealth {
    /// Zones of the nodes that led not long ago: if such a zone is cut off, that node most likely keeps the
    /// leases of its machines alive.
    pub(super) recent_leader_zones: BTreeSet<String>,
    /// Zones in which most machines fell silent.
    pub(super) unreachable: HashMap<String, LostZone>,
    /// Zones in which no machine is up while others have several.
    pub(super) empty: BTreeSet<String>,
    /// Those of them where machines fell silent or do not come up.
    pub(super) suspected: BTreeSet<String>,
}

/// Whether this node reaches workers at all.
#[derive(Debug, Default)]
pub(super) struct WorkerReachability {
    /// How long nothing of ours has reached any worker, counted in ticks, so that a process that stood still
    /// does not take its own absence for silence.
    pub(super) unreached_for: Duration,
    /// Whether anything has reached a worker since the election.
    pub(super) ever_reached: bool,
}

impl Leader {
    /// Notes that this node reaches workers, if it does.
    pub(crate) fn note_worker_reached(&mut self, now: Timestamp, id: MachineId) {
        if self.machines.get(&id).is_some_and(|m| m.last_reached_at == now && m.fenced) {
            self.reachability.unreached_for = Duration::ZERO;
            self.reachability.ever_reached = true;
        }
    }

    /// Ends the term if this node reaches no worker, although it is not alone: cut off from the workers alone
    /// it kept its key, while every lease ran out and every task was lost.
    pub fn detect_isolation(&mut self) {
        let counted = || self.machines.values().filter(|m| m.heartbeats_regularly || !self.reachability.ever_reached);
        if counted().nth(FEW - 1).is_none() {
            // Without workers there is no silence: the first ones that came up together ended a term that had waited
            // for them.
            self.reachability.unreached_for = Duration::ZERO;
            return;
        }
        let times = &self.settings.deployment.workers;
        if self.reachability.unreached_for < times.silence(usize::MAX) {
            // No number of workers makes this a silence: they need not be counted, twenty times a second.
            return;
        }
        let limit = if self.reachability.ever_reached {
            // Each worker that comes here regularly does so again within this time; of many some do at once.
            times.silence(counted().count())
        } else {
            // Two direct commands to each were not answered.
            COMMAND_TIMEOUT + COMMAND_TIMEOUT + Duration::from_millis(500)
        };
        if self.reachability.unreached_for >= limit {
            self.step_down_reason = Some(StepDownReason::NoWorkerReachable);
        }
    }

    /// Looks after silent, late and drained machines.
    pub(crate) fn check_machine_health(&mut self, now: Timestamp, lease_valid: bool, out: &mut Vec<Effect>) {
        let times = &self.settings.deployment.workers;
        let overdue = Duration::from_secs_f64(times.report_s * 1.25 + 0.5);
        let patience = Duration::from_secs_f64(times.report_s * 1.25 + 1.5);
        // A worker's clock may run slow by as much as ours runs fast, and a process may be late.
        let lease_over = Duration::from_secs_f64(times.lease_s * 1.002 + 1.5);
        let unreached = |m: &Machine| now.since(m.last_reached_at) >= overdue;
        // If most machines are out of reach at once, and not because of a zone, it is this node that is cut off.
        let cut_off = self.detect_unreachable_zones(now, &unreached);
        let unfenced_zones = self.unfenced_zones();
        let unanswering_zones = self.unanswering_zones();
        let mut events = Vec::new();
        let mut give_back: Vec<(MachineId, &'static str)> = Vec::new();
        let mut probes: Vec<(Timestamp, MachineId)> = Vec::new();
        let mut probing = 0;
        for (id, m) in &mut self.machines {
            if let Some(flight) = m.in_flight_command
                && now.since(flight.sent_at) > COMMAND_TIMEOUT + Duration::from_millis(500)
            {
                m.command_finished(now, flight.id, false);
            }
            if unreached(m) || m.unanswered_commands > 0 {
                probing += usize::from(m.in_flight_command.is_some());
                if m.in_flight_command.is_none() && now.since(m.last_probe_at) >= Duration::from_millis(800) {
                    probes.push((m.last_probe_at, *id));
                }
            }
            // One that does not answer a new leader, while the others of its zone did, holds older jobs back. While
            // others still come in it may be this process that is late.
            let alone = !m.fenced
                && !unfenced_zones.contains(&m.record.zone)
                && now.since(self.fencing.last_fenced_at) >= Duration::from_secs(1);
            if unreached(m) || alone {
                self.planning.changed_machines.insert(*id);
                // A machine that takes nothing in renews no lease, whatever it reports; but that an
                // answer did not reach it cannot be known, so the lease counts from the last one given. A leader in
                // doubt cannot know at all: cut off with its own zone it took the others' leases for over, which
                // the next leader went on renewing, and started their tasks a second time.
                if lease_valid && m.fenced && now.since(m.last_answer_at) >= lease_over && !m.attempts.is_empty() {
                    info!("lease over machine={id}");
                    let mut lost = Vec::new();
                    m.drop_attempts(&mut lost);
                    events.push((*id, lost));
                }
                // A machine that takes nothing in is most likely dead, or its network is; its services
                // wait for this verdict. In a zone that is cut off as a whole tasks go on until their leases
                // end, and its machines are there again after the cut: they are kept for a while. A new leader
                // does so only if an earlier one is in that zone, since it holds older jobs back meanwhile.
                let zone = self.zones.unreachable.get(&m.record.zone).filter(|z| z.lasts(now));
                let within =
                    unfenced_zones.contains(&m.record.zone) && self.zones.recent_leader_zones.contains(&m.record.zone);
                let cut = match m.fenced {
                    true => zone.is_some_and(|z| now.since(z.since) < KEEP_ZONE),
                    false => within && now.since(self.leader_since) < KEEP_ZONE,
                };
                // A zone of which nothing has answered a new leader is out of reach: to ask each of its machines twice
                // took ten seconds, in which no older job was started.
                let mute = !m.fenced && unanswering_zones.contains(&m.record.zone);
                let limit = match (alone || mute, cut_off) {
                    (true, _) => COMMAND_TIMEOUT + COMMAND_TIMEOUT,
                    (false, true) => lease_over,
                    (false, false) => patience,
                };
                if now.since(m.last_reached_at) >= limit && (m.unanswered_commands >= 2 || mute) && !cut {
                    let silent = now.since(m.last_message_at) >= overdue || !m.fenced;
                    give_back.push((*id, if silent { "silent" } else { "takes nothing in" }));
                }
            }
            // What is on a machine that has not answered this leader is not known.
            let empty = m.fenced && !m.attempts.values().any(workers::TaskAttempt::occupies_resources);
            if let Some(why) = m.draining {
                if empty {
                    give_back.push((*id, why));
                }
            } else if m.reclaim_at.is_some() && empty {
                give_back.push((*id, "is taken back"));
            }
        }
        for (id, lost) in events {
            self.planning.replan_needed = true;
            self.apply_machine_events(now, id, lost);
        }
        if lease_valid {
            for (id, why) in give_back {
                if let Some(m) = self.machines.get_mut(&id) {
                    m.draining.get_or_insert(why);
                }
                self.planning.plans.remove_machine(id);
                self.cloud.release(id, why);
            }
            self.cloud.release_overdue(now);
        }
        // What does not answer gets no more than half of the commands: when many machines fell silent together,
        // the others' starts waited behind theirs.
        probes.sort_unstable();
        let most = self.commands_at_once();
        for (_, id) in probes.into_iter().take((most / 2).saturating_sub(probing)) {
            if self.command_dispatch.in_flight < most {
                self.send_direct_command(now, id, true, out);
            }
        }
    }

    /// Zones most of whose machines have not answered this leader yet.
    pub(crate) fn unfenced_zones(&self) -> BTreeSet<String> {
        let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
        if self.machines.values().any(|m| !m.fenced) {
            for m in self.machines.values() {
                let (all, unfenced) = zones.entry(&m.record.zone).or_default();
                *all += 1;
                *unfenced += usize::from(!m.fenced);
            }
        }
        zones.into_iter().filter(|(_, (all, unfenced))| unfenced * 2 > *all).map(|(z, _)| z.to_string()).collect()
    }

    /// Zones of which no machine has answered this leader, several of them not twice, while most others have.
    fn unanswering_zones(&self) -> BTreeSet<String> {
        let mut zones: HashMap<&str, usize> = HashMap::new();
        let unfenced = self.fencing.unfenced.len();
        if unfenced == 0 || unfenced * 2 > self.machines.len() {
            return BTreeSet::new();
        }
        for m in self.machines.values() {
            *zones.entry(&m.record.zone).or_default() += usize::from(!m.fenced && m.unanswered_commands >= 2);
        }
        for m in self.machines.values().filter(|m| m.fenced) {
            zones.remove(m.record.zone.as_str());
        }
        zones.into_iter().filter(|(_, mute)| *mute >= FEW).map(|(zone, _)| zone.to_string()).collect()
    }

    /// Notes zones that are out of reach while others are not; true if all zones are.
    ///
    /// Either nothing has reached any machine of a zone for so long that many would have come back, or most of its
    /// machines are out of reach one by one. The first is sure within seconds; without it half of the zone was
    /// returned as silent before the second was. A machine is out of reach only if it did not answer: after an
    /// election workers that wait for a leader that stands still do not report for long.
    fn detect_unreachable_zones(&mut self, now: Timestamp, unreached: &dyn Fn(&Machine) -> bool) -> bool {
        #[derive(Default)]
        struct Seen {
            all: usize,
            regular: usize,
            out_of_reach: usize,
            last: Timestamp,
        }
        let mut zones: HashMap<&str, Seen> = HashMap::new();
        for m in self.machines.values().filter(|m| m.fenced) {
            let zone = zones.entry(&m.record.zone).or_default();
            zone.all += 1;
            zone.regular += usize::from(m.heartbeats_regularly);
            zone.out_of_reach += usize::from(unreached(m) && m.unanswered_commands > 0);
            zone.last = zone.last.max(m.last_reached_at);
        }
        // A single machine that is reached again shows that the zone is back: without this nothing was rented there
        // for 40 s more, and replicas that may run nowhere else waited.
        let back = |zone: &String, lost: &LostZone| {
            zones.get(zone.as_str()).is_some_and(|z| z.last.since(lost.seen) > Duration::from_millis(250))
        };
        self.zones.unreachable.retain(|zone, lost| !back(zone, lost));
        let known = zones.len();
        let times = &self.settings.deployment.workers;
        let latest = zones.values().map(|z| z.last).max().unwrap_or_default();
        zones.retain(|_, z| {
            let silent = z.regular >= FEW && latest.since(z.last) >= times.silence(z.regular);
            silent || (z.out_of_reach > 3 && z.out_of_reach * 2 > z.all)
        });
        if zones.len() == known {
            return known > 0;
        }
        for (zone, seen) in zones {
            let before = self.zones.unreachable.get(zone).filter(|z| z.lasts(now));
            if before.is_none() {
                warn!(
                    "zone {zone} is out of reach: {} machines, {} of them did not answer",
                    seen.all, seen.out_of_reach
                );
            }
            let since = before.map_or(now, |z| z.since);
            self.zones.unreachable.insert(zone.to_string(), LostZone { since, seen: now });
        }
        false
    }

    /// Whether a zone is out of reach now, and since when.
    pub(crate) fn zone_unreachable_since(&self, zone: &str, now: Timestamp) -> Option<Timestamp> {
        self.zones.unreachable.get(zone).filter(|z| z.lasts(now)).map(|z| z.since)
    }

    /// Sends a direct command to a machine, one at a time to each. What does not answer is not tried again and
    /// again: `watch` does so from time to time.
    pub(crate) fn send_direct_command(&mut self, now: Timestamp, id: MachineId, probe: bool, out: &mut Vec<Effect>) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if machine.in_flight_command.is_some() || (machine.unanswered_commands > 0 && !probe) {
            return;
        }
        self.command_dispatch.issued += 1;
        let command = self.command_dispatch.issued;
        let orders = if machine.fenced { machine.direct_commands(command) } else { Vec::new() };
        if orders.is_empty() && machine.fenced && !probe {
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
            body: CommandBatch { fencing_token: self.token.0, epoch: machine.epoch.0, commands: orders },
        });
    }
}

#[cfg(test)]
mod tests;
