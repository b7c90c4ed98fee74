//! Room that is kept ahead for what must not wait for a boot.

use super::*;

/// From a job's coming until a machine for it is asked for, and from its boot until it can be used.
const COMMIT_AND_RENT: Duration = Duration::from_secs(5);
/// Share of the tasks expected within a boot for which room is kept ahead; the others find that of jobs that end.
const CLASS_ROOM_SHARE: f64 = 0.5;
/// Room is kept for so many of the largest jobs of a class, whatever is expected.
const LARGEST_JOBS: u64 = 2;

/// Room of a machine that is not promised to anything yet.
struct FreeRoom {
    machine: MachineId,
    free: Resources,
    /// Room of tasks that services may push aside.
    soft: Resources,
}

impl FreeRoom {
    /// Takes free room for tasks, so many at the most; how many fit.
    fn take(&mut self, need: &Resources, most: u64) -> u64 {
        let count = need.copies_in(&self.free).min(most);
        for _ in 0..count {
            self.free.saturating_sub(need);
        }
        count
    }

    /// The same with the room of tasks that may be pushed aside, which goes first.
    fn take_with_soft(&mut self, need: &Resources, most: u64) -> u64 {
        let mut all = self.free;
        all.add(&self.soft);
        let count = need.copies_in(&all).min(most);
        for _ in 0..count {
            let mut from_free = *need;
            from_free.saturating_sub(&self.soft);
            self.soft.saturating_sub(need);
            self.free.saturating_sub(&from_free);
        }
        count
    }
}

impl Leader {
    /// Ordinary machines for what is likely to come before a machine rented for it would be up and must not wait so long: services,
    /// and jobs whose class has an aim at starting. Notes the machines whose room is kept for the latter.
    pub(super) fn headroom(&mut self, now: Timestamp, boot: Duration) -> Vec<Demand> {
        let mut rooms = self.free_rooms();
        let mut demands: Vec<Demand> = self.service_headroom(now, boot, &mut rooms).into_iter().collect();
        self.planning.latency_sensitive_classes = self.settings.deployment.classes_to_start_within(boot);
        let prompt = |(name, class): &(&str, &ClassArrivals)| {
            !class.largest().is_service && self.planning.latency_sensitive_classes.contains(*name)
        };
        let mut classes: Vec<&ClassArrivals> =
            self.planning.arrivals.classes().filter(prompt).map(|(_, class)| class).collect();
        classes.sort_by_key(|class| class.largest().priority);
        let mut kept = BTreeMap::new();
        for class in classes {
            demands.extend(self.class_headroom(now, boot, class, &mut rooms, &mut kept));
        }
        let changed = |id: &&MachineId| self.planning.headroom.get(id) != kept.get(id);
        self.planning.changed_machines.extend(self.planning.headroom.keys().chain(kept.keys()).filter(changed));
        self.planning.headroom = kept;
        demands
    }

    /// Free room of machines, the fullest first, so that others become idle.
    fn free_rooms(&self) -> Vec<FreeRoom> {
        let room = |s: &PlannedMachine| FreeRoom { machine: s.id, free: s.free, soft: s.preemptible[0] };
        let mut rooms: Vec<FreeRoom> = self.planning.plans.machines().map(room).collect();
        rooms.sort_by_key(|room| (room.free.cpus, room.machine));
        rooms
    }

    /// Without room, even that of lower tasks, services would wait for the boot.
    fn service_headroom(&self, now: Timestamp, boot: Duration, rooms: &mut [FreeRoom]) -> Option<Demand> {
        let (job, wanted) = self.expected_services(boot.as_secs_f64())?;
        let wanted = wanted + self.stranded(now) + self.held_back(now);
        let profile = self.planning_view().job_profile(job);
        let need = job.spec.resources;
        let mut missing = wanted;
        for room in rooms.iter_mut() {
            if missing > 0
                && self.planning.plans.machine(room.machine).is_some_and(|s| profile.predicted_duration(s).is_some())
            {
                missing -= room.take_with_soft(&need, missing);
            }
        }
        Some(Demand {
            job: job.spec.id,
            need,
            count: missing as u32,
            spot: false,
            ordinary: true,
            types: None,
            zone: None,
            zone_cap: u32::MAX,
            one_zone: false,
        })
    }

    /// Room for jobs of a class that are likely to come within a boot: what ends meanwhile makes room for half of them, but the
    /// largest one must find room at any time.
    fn class_headroom(
        &self,
        now: Timestamp,
        boot: Duration,
        class: &ClassArrivals,
        rooms: &mut [FreeRoom],
        kept: &mut BTreeMap<MachineId, Resources>,
    ) -> Option<Demand> {
        let record = class.largest();
        let expected = class.expected_tasks(now, boot + COMMIT_AND_RENT);
        if expected <= 0.0 {
            return None;
        }
        let wanted = ((expected * CLASS_ROOM_SHARE).ceil() as u64).max(LARGEST_JOBS * u64::from(record.task_count));
        let profile = self.planning_view().spec_profile(record, Vec::new());
        let mut missing = wanted;
        for room in rooms.iter_mut() {
            let fits =
                self.planning.plans.machine(room.machine).is_some_and(|s| profile.predicted_duration(s).is_some());
            let taken = if fits { room.take(&record.resources, missing) } else { 0 };
            if taken > 0 {
                let kept = kept.entry(room.machine).or_default();
                (0..taken).for_each(|_| kept.add(&record.resources));
                missing -= taken;
            }
        }
        Some(Demand {
            job: record.id,
            need: record.resources,
            count: missing as u32,
            spot: false,
            ordinary: true,
            types: record.machine_types.clone(),
            zone: record.zone.clone(),
            zone_cap: record.max_tasks_per_zone(),
            one_zone: record.colocate_in_zone,
        })
    }

    /// How many tasks of services are likely to come within a boot, and a job like them.
    pub(super) fn expected_services(&self, boot_s: f64) -> Option<(&Job, u64)> {
        const WINDOW: Duration = Duration::from_secs(120);
        const SLOT: Duration = Duration::from_secs(10);
        // Jobs that come all at once, as at a start, say little of what comes next: a slot counts for no
        // more than this, or than three ordinary ones.
        const SLOT_LIMIT: u32 = 6;
        let mut slots: BTreeMap<u64, u32> = BTreeMap::new();
        let mut typical: Option<&Job> = None;
        let now = self.planning.last_round_at;
        for job in self.jobs.live().filter(|j| j.spec.is_service && j.spec.priority == 0 && j.spec.zone.is_none()) {
            let age = now.since(job.submitted_at);
            if age < WINDOW {
                *slots.entry(age.as_millis() / SLOT.as_millis()).or_insert(0) += job.spec.task_count;
            }
            if typical.is_none_or(|t| t.spec.resources.cpus < job.spec.resources.cpus) {
                typical = Some(job);
            }
        }
        let job = typical?;
        let mut sizes: Vec<u32> =
            (0..WINDOW.as_millis() / SLOT.as_millis()).map(|n| slots.get(&n).copied().unwrap_or(0)).collect();
        sizes.sort_unstable();
        let limit = SLOT_LIMIT.max(3 * sizes[sizes.len() / 2]);
        let rate = sizes.iter().map(|n| f64::from((*n).min(limit))).sum::<f64>() / WINDOW.as_secs_f64();
        Some((job, ((rate * (boot_s + 10.0) * self.settings.tuning.room_ahead).ceil() as u64).max(3)))
    }

    /// Replicas that a new leader holds back because a zone does not answer: they are most likely lost with it, and
    /// the machines for them should be up when that is sure.
    pub(super) fn held_back(&self, now: Timestamp) -> u64 {
        if self.all_machines_fenced()
            || now.since(self.leader_since) < Duration::from_secs(3)
            || self.unfenced_zones().is_subset(&self.zones.recent_leader_zones)
        {
            return 0;
        }
        let services =
            self.jobs.live().filter(|j| j.spec.is_service && j.durable && !j.accepted_by_this_leader && !j.cancelling);
        services.map(|j| u64::from(j.pending.len().min(j.spec.max_tasks_per_zone()))).sum()
    }

    /// Replicas in zones that are cut off and may run elsewhere. They go on until their leases end; room for
    /// them should be up by then.
    pub(super) fn stranded(&self, now: Timestamp) -> u64 {
        let mut jobs: HashMap<JobId, u32> = HashMap::new();
        for m in self.machines.values().filter(|m| self.zone_unreachable_since(&m.record.zone, now).is_some()) {
            for hold in
                m.attempts.values().filter(|h| h.assigned && h.predicted_duration.is_none() && h.occupies_resources())
            {
                *jobs.entry(hold.task.job).or_default() += 1;
            }
        }
        let parts = self.planning_view();
        let zones: BTreeSet<&String> =
            self.cloud.machine_types().into_iter().flatten().flat_map(|f| &f.zones).collect();
        let elsewhere = |job: &Job| -> u32 {
            let there = parts.tasks_by_zone(job);
            let open = zones.iter().filter(|z| self.zone_unreachable_since(z, now).is_none());
            let placed =
                |zone: &str| self.planning.names.zone_index_of(zone).and_then(|z| there.get(&z).copied()).unwrap_or(0);
            open.map(|z| job.spec.max_tasks_per_zone().saturating_sub(placed(z))).fold(0, u32::saturating_add)
        };
        jobs.iter().filter_map(|(id, lost)| Some(u64::from(elsewhere(self.jobs.get(*id)?).min(*lost)))).sum()
    }
}
