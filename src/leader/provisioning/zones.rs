//! Zones that may be out of reach: what is rented there while that is not known.

use super::*;

impl Leader {
    /// Whether most machines of a zone were seen silent, or not coming up, so lately.
    pub(super) fn lost_within(&self, zone: &str, now: Timestamp, span: Duration) -> bool {
        self.zones.unreachable.get(zone).is_some_and(|z| now.since(z.seen) < span)
    }

    /// Whether a machine is on its way in a zone.
    pub(super) fn coming(&self, zone: &str) -> bool {
        self.cloud.pending().any(|(_, b)| b.zone == zone)
    }

    /// Notes the zones in which no machine is up while others have several.
    ///
    /// Such a zone looks the emptiest and would get everything that is rented, although it may be cut off;
    /// a new leader cannot know. One machine at a time is rented there; and where machines fell silent or
    /// do not come up, nothing is planned on those on their way.
    pub(crate) fn update_suspected_zones(&mut self, now: Timestamp) {
        const SEVERAL: usize = 4;
        const REMEMBERED: Duration = Duration::from_secs(120);
        let overdue = self.settings.deployment.workers.overdue();
        let mut up: HashMap<&str, usize> = HashMap::new();
        for m in self.machines.values().filter(|m| m.fenced && now.since(m.last_reached_at) < overdue) {
            *up.entry(&m.record.zone).or_default() += 1;
        }
        let mut empty = BTreeSet::new();
        if up.values().sum::<usize>() >= SEVERAL {
            let zones = self.cloud.machine_types().into_iter().flatten().flat_map(|f| &f.zones);
            empty.extend(zones.filter(|zone| !up.contains_key(zone.as_str())).cloned());
        }
        for (_, b) in self.cloud.pending().filter(|(_, b)| empty.contains(&b.zone)) {
            let boot = self.cloud.machine_type(&b.machine_type).map_or(60.0, |f| f.boot_s);
            if now.since(b.requested_at) > Duration::from_secs_f64(boot * 1.6 + 3.0) {
                self.zones.unreachable.entry(b.zone.clone()).or_insert(LostZone { since: now, seen: now }).seen = now;
            }
        }
        let lost = |zone: &&String| self.lost_within(zone, now, REMEMBERED);
        let doubtful: BTreeSet<String> = empty.iter().filter(lost).cloned().collect();
        if doubtful != self.zones.suspected {
            self.zones.suspected = doubtful;
            self.planning.changed_machines.extend(self.cloud.pending().map(|(id, _)| *id));
        }
        self.zones.empty = empty;
    }

    /// One machine for each doubtful zone that has none on its way: it shows whether the zone is there.
    pub(super) fn probes(&self, now: Timestamp) -> Vec<InstancePool> {
        let none_coming = |zone: &&String| !self.lost_within(zone, now, AVOID_ZONE) && !self.coming(zone);
        let cheapest = |zone: &String| {
            let here = self.cloud.machine_types().into_iter().flatten().filter(|f| f.zones.contains(zone));
            let places = here.flat_map(|f| [(f.spot_price_per_hour, f, true), (f.price_per_hour, f, false)]);
            let places = places.map(|(price, f, spot)| (price, (f.name.clone(), zone.clone(), spot)));
            let open = places.filter(|(_, place)| !self.cloud.recently_refused(place, now));
            open.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, place)| place)
        };
        self.zones.suspected.iter().filter(none_coming).filter_map(cheapest).collect()
    }
}
