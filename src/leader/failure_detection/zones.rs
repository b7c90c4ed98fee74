//! Zones that are out of reach as a whole.

use super::{MIN_SIGNIFICANT_MACHINES, UNREACHABLE_AFTER_COMMANDS};
use crate::leader::Leader;
use crate::settings::WorkerTiming;
use crate::types::{Duration, Timestamp};
use crate::workers::Machine;
use log::warn;
use std::collections::{BTreeSet, HashMap};

/// An outage is over when its zone was not found out of reach for this long.
const OUTAGE_EXPIRY: Duration = Duration::from_secs(3);
/// A machine that is reached this long after an outage was seen last shows that its zone is back.
const RECOVERY_MARGIN: Duration = Duration::from_millis(250);

/// A time in which a zone is out of reach.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct ZoneOutage {
    /// When it was detected.
    pub(super) since: Timestamp,
    /// When the zone was last found out of reach.
    last_confirmed_at: Timestamp,
}

impl ZoneOutage {
    /// Whether it is still out of reach.
    fn is_ongoing(&self, now: Timestamp) -> bool {
        now.since(self.last_confirmed_at) < OUTAGE_EXPIRY
    }
}

/// What is known of whole zones.
#[derive(Debug, Default)]
pub(in crate::leader) struct ZoneHealth {
    /// Zones of the nodes that led not long ago: if such a zone is cut off, that node most likely keeps the
    /// leases of its machines alive.
    pub(in crate::leader) recent_leader_zones: BTreeSet<String>,
    /// Zones that are, or were, out of reach.
    pub(in crate::leader) unreachable: HashMap<String, ZoneOutage>,
    /// Zones in which no machine is up while others have several.
    pub(in crate::leader) empty: BTreeSet<String>,
    /// Those of them where machines fell silent or do not come up.
    pub(in crate::leader) suspected: BTreeSet<String>,
}

impl ZoneHealth {
    /// The zone's outage that lasts now, if there is one.
    pub(super) fn current_outage(&self, now: Timestamp, zone: &str) -> Option<&ZoneOutage> {
        self.unreachable.get(zone).filter(|outage| outage.is_ongoing(now))
    }

    /// Ends the outages of zones in which a machine is reached again. A single one is enough: without this nothing was rented
    /// there for 40 s more, and replicas that may run nowhere else waited.
    fn end_outages(&mut self, zones: &HashMap<&str, ZoneReachability>) {
        self.unreachable.retain(|zone, outage| {
            let is_back = zones.get(zone.as_str()).is_some_and(|reachability| {
                reachability.last_reached_at.since(outage.last_confirmed_at) > RECOVERY_MARGIN
            });
            !is_back
        });
    }

    /// Whether a zone was found out of reach within this time.
    pub(in crate::leader) fn unreachable_within(&self, now: Timestamp, zone: &str, span: Duration) -> bool {
        self.unreachable.get(zone).is_some_and(|outage| now.since(outage.last_confirmed_at) < span)
    }

    /// Notes that an instance in a zone without machines does not come up, so that the zone counts as out of reach.
    pub(in crate::leader) fn note_late_instance(&mut self, now: Timestamp, zone: &str) {
        let outage = self.unreachable.entry(zone.to_string());
        outage.or_insert(ZoneOutage { since: now, last_confirmed_at: now }).last_confirmed_at = now;
    }

    /// Notes that a zone is out of reach now.
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

/// How many of a zone's fenced machines are reached.
#[derive(Debug, Default)]
struct ZoneReachability {
    machines: usize,
    /// Machines that send heartbeats to this node regularly.
    regular: usize,
    /// Machines that nothing reached for long and that left a command unanswered. After an election workers that wait for a
    /// leader which is suspended send no heartbeats for long, so that their silence alone proves nothing.
    unreachable: usize,
    /// When one of the machines was reached last.
    last_reached_at: Timestamp,
}

impl ZoneReachability {
    fn add(&mut self, machine: &Machine, is_overdue: bool) {
        self.machines += 1;
        self.regular += usize::from(machine.sends_consecutive_heartbeats);
        self.unreachable += usize::from(is_overdue && machine.unanswered_commands > 0);
        self.last_reached_at = self.last_reached_at.max(machine.last_reached_at);
    }

    /// Whether the zone is out of reach. Either nothing has reached any of its machines for so long that many would have come
    /// back, counted to the time `latest` at which any machine at all was reached, or most of its machines are out of reach one by
    /// one. The first is sure within seconds; without it half of the zone was given back as silent before the second was.
    fn is_unreachable(&self, latest: Timestamp, times: &WorkerTiming) -> bool {
        let all_silent = self.regular >= MIN_SIGNIFICANT_MACHINES
            && latest.since(self.last_reached_at) >= times.silence_timeout(self.regular);
        let most_unreachable = self.unreachable >= MIN_SIGNIFICANT_MACHINES && self.unreachable * 2 > self.machines;
        all_silent || most_unreachable
    }
}

impl Leader {
    /// Notes zones that are out of reach while others are not. True if all zones are: then it is most likely this node that is
    /// cut off.
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

    /// Since when a zone is out of reach, if it is now.
    pub(crate) fn zone_unreachable_since(&self, zone: &str, now: Timestamp) -> Option<Timestamp> {
        self.zones.current_outage(now, zone).map(|outage| outage.since)
    }

    /// Zones most of whose machines are not fenced yet.
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

    /// Zones of which no machine has answered this leader, several of them not twice, while most machines elsewhere have.
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
