//! Where plan and inventory meet: what is rented for what waits, and what is emptied and given back.

use crate::arrivals::ClassArrivals;
use crate::cloud::{self, Demand, InstancePool};
use crate::effects::Effect;
use crate::jobs::{self, Job};
use crate::leader::Leader;
use crate::leader::drains::RoomPlanner;
use crate::leader::failure_detection::LostZone;
use crate::leader::scheduling::queue_priority;
use crate::plan::{PlannedMachine, QueuePriority};
use crate::settings::Objective;
use crate::types::{Duration, JobId, MachineId, Resources, Timestamp, WallClock};
use crate::workers::{DrainReason, TaskAttempt};
use caperstile_disruption::Coordinator;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod headroom;
mod returns;
mod zones;

/// Tasks that may use spot machines wait so long for one before an ordinary one is rented: it costs
/// several times as much, and spot machines become free.
const SPOT_PATIENCE: Duration = Duration::from_secs(200);
/// So long nothing is rented in a zone that most machines have fallen silent in: what is rented there
/// most likely cannot report either.
const AVOID_ZONE: Duration = Duration::from_secs(40);
impl Leader {
    /// What waits too long on the machines that there are, as classes.
    fn demands(&mut self, now: Timestamp) -> Vec<Demand> {
        let boots = self.cloud.machine_types().into_iter().flatten().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        let boot = Duration::from_secs_f64(if boots == f64::MAX { 30.0 } else { boots });
        // Apart are those for which ordinary machines are rented too.
        let no_spot = self.cloud.all_spot_recently_refused(now);
        let mut counts: BTreeMap<(QueuePriority, JobId, bool), u32> = BTreeMap::new();
        for server in self.planning.plans.machines().filter(|s| !s.queue.is_empty()) {
            for (entry, start) in self.planning.plans.predicted_starts(server.id, now) {
                // A machine rented now would be up after `boot`: only what it would start sooner counts.
                let late = match start {
                    None => true,
                    Some(at) if entry.is_service => at > now + boot + Duration::from_secs(5),
                    Some(at) => {
                        let goal = self.jobs.get(entry.job).map_or(Timestamp::NEVER, |j| self.goal(j));
                        at > now + boot + Duration::from_secs(3) && at + entry.predicted_duration > goal
                    }
                };
                if late {
                    let long = no_spot
                        && self
                            .jobs
                            .get(entry.job)
                            .is_some_and(|j| self.worth(j, now, start, entry.predicted_duration, boot));
                    *counts.entry((entry.queue_priority, entry.job, long)).or_insert(0) += 1;
                }
            }
        }
        // What was not looked at lately may find room yet.
        const LATELY: Duration = Duration::from_secs(5);
        let tried = |j: &&Job| now.since(j.last_planned_at) < LATELY;
        for job in self.jobs.waiting().filter(|j| self.is_startable(j, now)).filter(tried) {
            let left = job.pending.len().saturating_sub(self.planning.plans.planned_count(job.spec.id));
            if left > 0 {
                let run = self.planning.correction.predict(job.spec.estimated_duration);
                let long = no_spot && self.worth(job, now, None, run, boot);
                *counts.entry((queue_priority(job), job.spec.id, long)).or_insert(0) += left;
            }
        }
        let headroom = self.headroom(now, boot);
        let demands = counts
            .into_iter()
            .filter_map(|((_, id, long), count)| {
                let job = self.jobs.get(id)?;
                let limit = self.limit_left(job);
                // An ordinary machine has to be worth its price: one runs several of these tasks in turn.
                let turns = if long && job.spec.allows_spot {
                    (100_000 / job.spec.estimated_duration.as_millis().max(1)).clamp(1, 4) as u32
                } else {
                    1
                };
                let count = count.div_ceil(turns);
                Some(Demand {
                    job: id,
                    need: job.spec.resources,
                    count: count.min(limit),
                    spot: job.spec.allows_spot,
                    ordinary: long || !job.spec.allows_spot,
                    types: job.spec.machine_types.clone(),
                    zone: job.spec.zone.clone().or_else(|| self.planned_zone(job)),
                    zone_cap: job.spec.max_tasks_per_zone(),
                    one_zone: job.gang.is_some() && job.spec.colocate_in_zone,
                })
            })
            .chain(headroom)
            .chain(self.demands_of_drains(now))
            .filter(|d| d.count > 0);
        demands.collect()
    }

    /// The zone in which a gang that wants one zone is planned.
    fn planned_zone(&self, job: &Job) -> Option<String> {
        let together = job.gang.is_some() && job.spec.colocate_in_zone;
        let (machine, _) = self.planning.plans.planned_machines(job.spec.id).into_iter().next().filter(|_| together)?;
        self.planning.names.zone_name(self.planning.plans.machine(machine)?.zone).map(str::to_string)
    }

    /// Whether ordinary machines may be rented for a task that could wait for a spot machine: several
    /// times as dear, they are for what would else miss an aim that nearly all must meet, and for what
    /// has waited very long.
    fn worth(&self, job: &Job, now: Timestamp, start: Option<Timestamp>, run: Duration, boot: Duration) -> bool {
        let waited = now.since(job.submitted_at);
        if start.is_none_or(|at| at > now + SPOT_PATIENCE / 4) && waited >= SPOT_PATIENCE {
            return true;
        }
        let Some(due) = self.due(job) else { return start.is_some_and(|at| at > now + SPOT_PATIENCE) };
        // Predictions made at once are poor: most backlogs are over sooner.
        let settled = waited.as_millis() * 3 >= due.since(job.submitted_at).as_millis();
        settled && start.is_none_or(|at| at + run > due) && now + boot + run <= due
    }

    /// When a job must be over for an aim that allows few misses.
    fn due(&self, job: &Job) -> Option<Timestamp> {
        let strict = |o: &Objective| o.share >= self.settings.tuning.strict_aim;
        if job.spec.deadline.is_some() && self.aims(job, "deadline").any(strict) {
            return Some(job.deadline());
        }
        let within = self.aims(job, "finished").filter(|o| strict(o)).filter_map(|o| o.within_s);
        within.reduce(f64::min).map(|within| job.submitted_at + Duration::from_secs_f64(within))
    }

    /// What the settings aim at for a job's class.
    fn aims(&self, job: &Job, kind: &str) -> impl Iterator<Item = &Objective> {
        self.settings.deployment.objectives.iter().filter(move |o| o.kind == kind && o.class == job.spec.class)
    }

    /// When a job's tasks should be over: its deadline, or what the settings aim at for its class.
    fn goal(&self, job: &Job) -> Timestamp {
        if job.spec.deadline.is_some() {
            return job.deadline();
        }
        let within = self.aims(job, "finished").filter_map(|o| o.within_s).reduce(f64::min);
        within.map_or(Timestamp::ZERO, |within| job.submitted_at + Duration::from_secs_f64(within * 0.25))
    }

    /// How many tasks of a job its team's limit lets run at once.
    fn limit_left(&self, job: &Job) -> u32 {
        let Some(team) = self.settings.deployment.teams.iter().find(|t| t.name == job.spec.team) else { return 0 };
        let part = |max: f64, need: u64| {
            if max > 0.0 { ((max * 1000.0) as u64).checked_div(need).unwrap_or(u64::MAX) } else { u64::MAX }
        };
        part(team.cpus_max, job.spec.resources.cpus)
            .min(part(team.gpus_max, job.spec.resources.gpus))
            .min(u64::from(u32::MAX)) as u32
    }

    pub(crate) fn scale_out(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        if self.cloud.scale_out_in_flight()
            || (!self.all_machines_fenced() && now.since(self.leader_since) < Duration::from_secs(3))
        {
            return;
        }
        let demands = self.demands(now);
        if demands.is_empty() {
            return;
        }
        for d in &demands {
            debug!("demand job={} count={} spot={} ordinary={}", d.job, d.count, d.spot, d.ordinary);
        }
        let mut zones: BTreeMap<(String, bool), u64> = BTreeMap::new();
        for m in self.machines.values() {
            *zones.entry((m.record.zone.clone(), m.record.spot)).or_insert(0) += m.capacity.cpus;
        }
        for (_, b) in self.cloud.pending() {
            let cpus = self.cloud.machine_type(&b.machine_type).map_or(0, |f| jobs::capacity(f).cpus);
            *zones.entry((b.zone.clone(), b.spot)).or_insert(0) += cpus;
        }
        let inventory = &self.cloud;
        let (doubtful, empty) = (&self.zones.suspected, &self.zones.empty);
        let refused = |place: &InstancePool| {
            inventory.recently_refused(place, now)
                || self.lost_within(&place.1, now, AVOID_ZONE)
                || doubtful.contains(&place.1)
                || (empty.contains(&place.1) && self.coming(&place.1))
        };
        let mut counts = cloud::choose(&demands, self.cloud.machine_types().unwrap_or_default(), &refused, &mut zones);
        for (_, count) in counts.iter_mut().filter(|(place, _)| empty.contains(&place.1)) {
            *count = 1;
        }
        counts.extend(self.probes(now).into_iter().map(|place| (place, 1)));
        let mut events = Vec::new();
        // Ordinary machines first: services have no other place.
        let mut calls: Vec<(InstancePool, u32)> = counts
            .into_iter()
            .flat_map(|(place, count)| {
                let parts = count.div_ceil(cloud::RENT_LIMIT);
                (0..parts).map(move |i| (place.clone(), (count - i * cloud::RENT_LIMIT).min(cloud::RENT_LIMIT)))
            })
            .collect();
        calls.sort_by_key(|(place, count)| (place.2, std::cmp::Reverse(*count)));
        for (place, count) in calls.into_iter().take(self.cloud.available_calls()) {
            self.cloud.scale_out(now, &place, count, &mut events);
        }
        self.apply_cloud_events(now, wall, events, out);
    }
}
