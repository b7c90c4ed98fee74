//! Detects zones that are unreachable as a whole.

use super::{MIN_SIGNIFICANT_MACHINES, UNREACHABLE_AFTER_COMMANDS};
use crate::leader::Leader;
use crate::settings::WorkerTiming;
use crate::types::{Duration, Timestamp};
use crate::workers::Machine;
use log::warn;
use std::collections::{BTreeSet, HashMap};

/// An outage has ended if its zone was not found unreachable for this long.
const OUTAGE_EXPIRY: Duration = Duration::from_secs(3);
/// A machine that is reached more than this time after the last confirmation of an outage shows that its zone has
/// recovered.
const RECOVERY_MARGIN: Duration = Duration::from_millis(250);

/// A period in which a zone is unreachable.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct ZoneOutage {
    /// When the outage was detected.
    pub(super) since: Timestamp,
    /// When the zone was last found unreachable.
    last_confirmed_at: Timestamp,
}

impl ZoneOutage {
    /// Whether the zone is still considered unreachable.
    fn is_ongoing(&self, now: Timestamp) -> bool {
        now.since(self.last_confirmed_at) < OUTAGE_EXPIRY
    }
}

/// The state of whole zones.
#[derive(Debug, Default)]
pub(in crate::leader) struct ZoneHealth {
    /// Zones of the nodes that led recently. If such a zone is unreachable, the former leader there most likely still
    /// renews the leases of its machines.
    pub(in crate::leader) recent_leader_zones: BTreeSet<String>,
    /// The latest outage of each zone that is or was unreachable.
    pub(in crate::leader) unreachable: HashMap<String, ZoneOutage>,
    /// Zones in which no machine is up while several are up in other zones.
    pub(in crate::leader) empty: BTreeSet<String>,
    /// Empty zones whose machines became silent or do not finish booting.
    pub(in crate::leader) suspected: BTreeSet<String>,
}

impl ZoneHealth {
    /// The ongoing outage of a zone, if there is one.
    pub(super) fn current_outage(&self, now: Timestamp, zone: &str) -> Option<&ZoneOutage> {
        self.unreachable.get(zone).filter(|outage| outage.is_ongoing(now))
    }

    /// Ends the outages of zones in which a machine is reached again. A single machine is enough: without this rule no
    /// machine was provisioned in the zone for another 40 s, and replicas that may run only there stayed pending.
    fn end_outages(&mut self, zones: &HashMap<&str, ZoneReachability>) {
        self.unreachable.retain(|zone, outage| {
            let is_back = zones.get(zone.as_str()).is_some_and(|reachability| {
                reachability.last_reached_at.since(outage.last_confirmed_at) > RECOVERY_MARGIN
            });
            !is_back
        });
    }

    /// Whether a zone was found unreachable within the last `span`.
    pub(in crate::leader) fn unreachable_within(&self, now: Timestamp, zone: &str, span: Duration) -> bool {
        self.unreachable.get(zone).is_some_and(|outage| now.since(outage.last_confirmed_at) < span)
    }

    /// Records that an instance in a zone without machines does not finish booting in time, which counts as an outage
    /// of the zone.
    pub(in crate::leader) fn note_late_instance(&mut self, now: Timestamp, zone: &str) {
        let outage = self.unreachable.entry(zone.to_string());
        outage.or_insert(ZoneOutage { since: now, last_confirmed_at: now }).last_confirmed_at = now;
    }

    /// Records that a zone is unreachable now.
    fn note_outage(&mut self, now: Timestamp, zone: &str, reachability: &ZoneReachability) {
        let since = self.current_outage(now, zone).map(|outage| outage.since);
        if since.is_none() {
            warn!(
                "zone unreachable zone={zone} machines={} unanswered={}",
                reachability.machines, reachability.unreachable
            );
        }
        self.unreachable.insert(zone.to_string(), ZoneOutage { since: since.unwrap_or(now), last_confirmed_at: now });
    }
}

/// The reachability of a zone's fenced machines.
#[derive(Debug, Default)]
struct ZoneReachability {
    machines: usize,
    /// Machines that send consecutive heartbeats to this node.
    regular: usize,
    /// Machines that have not been reached for long and have left a direct command without a response. Silence alone
    /// proves nothing: after an election, workers that are waiting for the response of a suspended leader send no
    /// heartbeats for long.
    unreachable: usize,
    /// When any of these machines was last reached.
    last_reached_at: Timestamp,
}

impl ZoneReachability {
    fn add(&mut self, machine: &Machine, is_overdue: bool) {
        self.machines += 1;
        self.regular += usize::from(machine.sends_consecutive_heartbeats);
        self.unreachable += usize::from(is_overdue && machine.unanswered_commands > 0);
        self.last_reached_at = self.last_reached_at.max(machine.last_reached_at);
    }

    /// Whether the zone is unreachable. Either none of its machines has been reached for so long that many heartbeats
    /// should have arrived in the meantime, measured up to `latest`, the last time at which any machine in any zone was
    /// reached; or most of its machines are unreachable individually. The first condition is certain within seconds.
    /// Without it, half of the machines in the zone had been released as silent before the second condition was met.
    fn is_unreachable(&self, latest: Timestamp, times: &WorkerTiming) -> bool {
        let all_silent = self.regular >= MIN_SIGNIFICANT_MACHINES
            && latest.since(self.last_reached_at) >= times.silence_timeout(self.regular);
        let most_unreachable = self.unreachable >= MIN_SIGNIFICANT_MACHINES && self.unreachable * 2 > self.machines;
        all_silent || most_unreachable
    }
}

impl Leader {
    /// Detects zones that are unreachable while others are not. Returns true if all zones are unreachable: then it is
    /// most likely this node that is isolated.
    pub(super) fn detect_unreachable_zones(&mut self, now: Timestamp) -> bool {
        let times = &self.settings.deployment.workers;
        let unreachable_after = times.unreachable_after();
        let mut zones: HashMap<&str, ZoneReachability> = HashMap::new();
        for machine in self.machines.values().filter(|machine| machine.fenced) {
            let is_overdue = now.since(machine.last_reached_at) >= unreachable_after;
            zones.entry(&machine.record.zone).or_default().add(machine, is_overdue);
        }
        self.zones.end_outages(&zones);
        let known_zones = zones.len();
        let latest = zones.values().map(|zone| zone.last_reached_at).max().unwrap_or_default();
        zones.retain(|_, zone| zone.is_unreachable(latest, times));
        if zones.len() == known_zones {
            return known_zones > 0;
        }
        for (zone, reachability) in zones {
            self.zones.note_outage(now, zone, &reachability);
        }
        false
    }

    /// When the ongoing outage of a zone was detected; `None` if the zone is reachable.
    pub(crate) fn zone_unreachable_since(&self, zone: &str, now: Timestamp) -> Option<Timestamp> {
        self.zones.current_outage(now, zone).map(|outage| outage.since)
    }

    /// Zones in which most machines are not fenced yet.
    pub(crate) fn mostly_unfenced_zones(&self) -> BTreeSet<String> {
        #[derive(Default)]
        struct FencingCounts {
            machines: usize,
            unfenced: usize,
        }
        if self.machines.values().all(|machine| machine.fenced) {
            return BTreeSet::new();
        }
        let mut zones: HashMap<&str, FencingCounts> = HashMap::new();
        for machine in self.machines.values() {
            let zone = zones.entry(&machine.record.zone).or_default();
            zone.machines += 1;
            zone.unfenced += usize::from(!machine.fenced);
        }
        zones.retain(|_, zone| zone.unfenced * 2 > zone.machines);
        zones.into_keys().map(str::to_string).collect()
    }

    /// Zones in which no machine is fenced and several machines have left two commands without a response, while at
    /// least half of all machines are fenced.
    pub(super) fn unresponsive_zones(&self) -> BTreeSet<String> {
        let unfenced = self.fencing.unfenced.len();
        if unfenced == 0 || unfenced * 2 > self.machines.len() {
            return BTreeSet::new();
        }
        let mut unresponsive: HashMap<&str, usize> = HashMap::new();
        for machine in self.machines.values() {
            let is_unresponsive = !machine.fenced && machine.unanswered_commands >= UNREACHABLE_AFTER_COMMANDS;
            *unresponsive.entry(&machine.record.zone).or_default() += usize::from(is_unresponsive);
        }
        for machine in self.machines.values().filter(|machine| machine.fenced) {
            unresponsive.remove(machine.record.zone.as_str());
        }
        unresponsive.retain(|_, machines| *machines >= MIN_SIGNIFICANT_MACHINES);
        unresponsive.into_keys().map(str::to_string).collect()
    }
}
