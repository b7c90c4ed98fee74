//! Read-only view of jobs, machines and pending instances for the placement algorithms of `crate::plan`.

use super::*;

/// The parts of the leader's state that planning reads, borrowed separately from `Planning::plans`, which planning
/// changes.
pub(crate) struct PlanningView<'a> {
    jobs: &'a jobs::JobStore,
    machines: &'a BTreeMap<MachineId, Machine>,
    cloud: &'a cloud::CloudInstances,
    correction: Correction,
    names: &'a NameInterner,
    /// When the current round of planning began.
    round_at: Timestamp,
}

impl Leader {
    /// The view of the leader's current state.
    pub(crate) fn planning_view(&self) -> PlanningView<'_> {
        PlanningView {
            jobs: &self.jobs,
            machines: &self.machines,
            cloud: &self.cloud,
            correction: self.planning.correction,
            names: &self.planning.names,
            round_at: self.planning.last_round_at,
        }
    }
}

impl PlanningView<'_> {
    /// Whether the job's constraints on machine type, zone and spot instances allow this machine, and the job does not
    /// avoid it after a failure there. False for an unknown machine.
    pub(crate) fn allows_machine(&self, job: &Job, id: MachineId) -> bool {
        let Some(machine) = self.machines.get(&id) else { return false };
        let record = &machine.record;
        job.spec.allows(&record.machine_type, &record.zone, record.spot) && !job.failed_on.avoids(self.round_at, id)
    }

    /// Number of a job's tasks that run, or may run, in each zone, by zone index.
    pub(crate) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<usize, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        for placement in job.placements.values() {
            let machine = self.machines.get(&placement.machine);
            if let Some(zone) = machine.and_then(|machine| self.names.zone_index_of(&machine.record.zone)) {
                *tasks_by_zone.entry(zone).or_insert(0) += 1;
            }
        }
        tasks_by_zone
    }

    /// The machines on which a job's tasks may run, and their predicted duration by machine type. A gang also avoids
    /// machines that still hold attempts of it, because their workers refuse another attempt of the same task.
    pub(crate) fn job_profile(&self, job: &Job) -> JobProfile {
        let mut avoided_machines: Vec<MachineId> = job.failed_on.avoided(self.round_at).collect();
        if let Some(gang) = &job.gang {
            let still_holds =
                |id: &&MachineId| self.machines.get(id).is_some_and(|machine| machine.holds_job(job.spec.id));
            avoided_machines.extend(gang.attempt_machines.iter().filter(still_holds));
        }
        self.spec_profile(&job.spec, avoided_machines)
    }

    /// The same as `job_profile`, for any job with this specification; its tasks are kept off `avoided_machines`.
    pub(crate) fn spec_profile(&self, spec: &jobs::JobSpec, avoided_machines: Vec<MachineId>) -> JobProfile {
        let machine_types = self.names.machine_types().iter();
        JobProfile {
            durations_by_type: machine_types.map(|name| self.predicted_durations(spec, name)).collect(),
            zone: spec.zone.as_ref().map(|zone| self.names.zone_index_of(zone).unwrap_or(usize::MAX)),
            allows_spot: spec.allows_spot,
            avoided_machines,
            image: self.names.image_index_of(&spec.image),
        }
    }

    /// Predicted duration of a job's tasks on a machine type: the run-time estimate, plus the time to fetch the image
    /// where it is not cached, scaled by CorrecFAST. `None` if the tasks cannot run on this type.
    fn predicted_durations(&self, spec: &jobs::JobSpec, machine_type: &String) -> Option<PredictedDurations> {
        let is_named = spec.machine_types.as_ref().is_none_or(|types| types.contains(machine_type));
        let machine_type = self.cloud.machine_type(machine_type)?;
        if !is_named || !spec.resources.fits(&jobs::capacity(machine_type)) {
            return None;
        }
        let fetch = if machine_type.fetch_gb_per_s > 0.0 {
            Duration::from_millis((spec.image_mb as f64 / machine_type.fetch_gb_per_s) as u64)
        } else {
            Duration::ZERO
        };
        Some(PredictedDurations {
            image_cached: self.correction.predict(spec.estimated_duration),
            image_fetched: self.correction.predict(spec.estimated_duration + fetch),
        })
    }
}

impl JobDirectory for PlanningView<'_> {
    fn profile(&self, job: JobId) -> Option<JobProfile> {
        Some(self.job_profile(self.jobs.get(job)?))
    }

    fn zone_allowance(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> ZoneAllowance {
        let Some(job) = self.jobs.get(job) else { return ZoneAllowance::default() };
        let mut tasks_by_zone = self.tasks_by_zone(job);
        for (zone, count) in planned {
            *tasks_by_zone.entry(*zone).or_insert(0) += count;
        }
        let colocate = job.spec.colocate_in_zone;
        let remaining = |zone: usize| {
            if colocate && tasks_by_zone.keys().any(|other| *other != zone) {
                return 0;
            }
            job.spec.max_tasks_per_zone().saturating_sub(tasks_by_zone.get(&zone).copied().unwrap_or(0))
        };
        ZoneAllowance { remaining_tasks: (0..self.names.zone_count()).map(remaining).collect(), colocate }
    }
}
