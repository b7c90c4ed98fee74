//! Zones that may be out of reach: what is rented there while that is not known.

use super::*;

impl Term {
    /// Whether most machines of a zone were seen silent, or not coming up, so lately.
    pub(super) fn lost_within(&self, zone: &str, now: Timestamp, span: Duration) -> bool {
        self.lost_zones.get(zone).is_some_and(|z| now.since(z.seen) < span)
    }

    /// Whether a machine is on its way in a zone.
    pub(super) fn coming(&self, zone: &str) -> bool {
        self.inventory.booting().any(|(_, b)| b.zone == zone)
    }

    /// Notes the zones in which no machine is up while others have several.
    ///
    /// Such a zone looks the emptiest and would get everything that is rented, although it may be cut off;
    /// a new leader cannot know. One machine at a time is rented there; and where machines fell silent or
    /// do not come up, nothing is planned on those on their way.
    pub(crate) fn doubt_zones(&mut self, now: Timestamp) {
        const SEVERAL: usize = 4;
        const REMEMBERED: Duration = Duration::from_secs(120);
        let overdue = self.settings.deployment.workers.overdue();
        let mut up: HashMap<&str, usize> = HashMap::new();
        for m in self.machines.values().filter(|m| m.fenced && now.since(m.reached) < overdue) {
            *up.entry(&m.record.zone).or_default() += 1;
        }
        let mut empty = BTreeSet::new();
        if up.values().sum::<usize>() >= SEVERAL {
            let zones = self.inventory.flavors().into_iter().flatten().flat_map(|f| &f.zones);
            empty.extend(zones.filter(|zone| !up.contains_key(zone.as_str())).cloned());
        }
        for (_, b) in self.inventory.booting().filter(|(_, b)| empty.contains(&b.zone)) {
            let boot = self.inventory.flavor(&b.kind).map_or(60.0, |f| f.boot_s);
            if now.since(b.since) > Duration::from_secs_f64(boot * 1.6 + 3.0) {
                self.lost_zones.entry(b.zone.clone()).or_insert(LostZone { since: now, seen: now }).seen = now;
            }
        }
        let lost = |zone: &&String| self.lost_within(zone, now, REMEMBERED);
        let doubtful: BTreeSet<String> = empty.iter().filter(lost).cloned().collect();
        if doubtful != self.doubtful {
            self.doubtful = doubtful;
            self.changed.extend(self.inventory.booting().map(|(id, _)| *id));
        }
        self.empty_zones = empty;
    }

    /// One machine for each doubtful zone that has none on its way: it shows whether the zone is there.
    pub(super) fn probes(&self, now: Timestamp) -> Vec<Place> {
        let none_coming = |zone: &&String| !self.lost_within(zone, now, AVOID_ZONE) && !self.coming(zone);
        let cheapest = |zone: &String| {
            let here = self.inventory.flavors().into_iter().flatten().filter(|f| f.zones.contains(zone));
            let places = here.flat_map(|f| [(f.spot_price, f, true), (f.price, f, false)]);
            let places = places.map(|(price, f, spot)| (price, (f.name.clone(), zone.clone(), spot)));
            let open = places.filter(|(_, place)| !self.inventory.refused(place, now));
            open.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, place)| place)
        };
        self.doubtful.iter().filter(none_coming).filter_map(cheapest).collect()
    }
}
