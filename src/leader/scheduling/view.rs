//! What the plan is shown of jobs and machines, and the names that it knows as indexes.

use super::*;

/// The parts of a term that planning reads, borrowed beside the plan itself.
pub(crate) struct PlanningView<'a> {
    pub(super) jobs: &'a jobs::JobStore,
    pub(super) machines: &'a BTreeMap<MachineId, Machine>,
    pub(super) cloud: &'a cloud::CloudInstances,
    pub(super) correction: crate::plan::Correction,
    pub(super) names: &'a NameInterner,
}

impl PlanningView<'_> {
    /// Whether the job's description allows its tasks on this machine.
    pub(crate) fn allows_machine(&self, job: &Job, id: MachineId) -> bool {
        let Some(m) = self.machines.get(&id) else { return false };
        job.spec.allows(&m.record.machine_type, &m.record.zone, m.record.spot) && !job.failed_on.contains(&id)
    }

    /// How many of a job's tasks are, or may be, in each zone.
    pub(crate) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<usize, u32> {
        let mut zones = BTreeMap::new();
        for placed in job.placements.values() {
            if let Some(zone) =
                self.machines.get(&placed.machine).and_then(|m| self.names.zone_index_of(&m.record.zone))
            {
                *zones.entry(zone).or_insert(0) += 1;
            }
        }
        zones
    }

    /// Run-time estimate plus uncached image fetch, scaled by CorrecFAST, by type of machine.
    pub(crate) fn job_profile(&self, job: &Job) -> JobProfile {
        let mut avoid = job.failed_on.clone();
        if let Some(gang) = &job.gang {
            let knows = |id: &&MachineId| self.machines.get(id).is_some_and(|m| m.holds_job(job.spec.id));
            avoid.extend(gang.former.iter().filter(knows));
        }
        self.spec_profile(&job.spec, avoid)
    }

    /// The same for any job like this one.
    pub(crate) fn spec_profile(&self, record: &jobs::JobSpec, avoid: Vec<MachineId>) -> JobProfile {
        let kinds = self.names.machine_types.iter().map(|kind| {
            let flavor = self.cloud.machine_type(kind)?;
            let named = record.machine_types.as_ref().is_none_or(|types| types.contains(kind));
            if !named || !record.resources.fits(&jobs::capacity(flavor)) {
                return None;
            }
            let fetch = if flavor.fetch_gb_per_s > 0.0 {
                Duration::from_millis((record.image_mb as f64 / flavor.fetch_gb_per_s) as u64)
            } else {
                Duration::ZERO
            };
            let estimate = record.estimated_duration;
            Some(PredictedDurations {
                image_cached: self.correction.predict(estimate),
                image_fetched: self.correction.predict(estimate + fetch),
            })
        });
        JobProfile {
            durations_by_type: kinds.collect(),
            zone: record.zone.as_ref().map(|z| self.names.zone_index_of(z).unwrap_or(usize::MAX)),
            allows_spot: record.allows_spot,
            avoided_machines: avoid,
            image: self.names.image_index_of(&record.image),
        }
    }
}

impl JobDirectory for PlanningView<'_> {
    fn profile(&self, job: JobId) -> Option<JobProfile> {
        Some(self.job_profile(self.jobs.get(job)?))
    }

    fn zone_allowance(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> ZoneAllowance {
        let Some(job) = self.jobs.get(job) else { return ZoneAllowance::default() };
        let mut taken = self.tasks_by_zone(job);
        for (zone, n) in planned {
            *taken.entry(*zone).or_insert(0) += n;
        }
        let together = job.spec.colocate_in_zone;
        let left = (0..self.names.zones.len()).map(|zone| {
            if together && taken.keys().any(|z| *z != zone) {
                return 0;
            }
            job.spec.max_tasks_per_zone().saturating_sub(taken.get(&zone).copied().unwrap_or(0))
        });
        ZoneAllowance { remaining_tasks: left.collect(), colocate: together }
    }
}

/// Names that the plan knows as indexes.
#[derive(Debug, Default)]
pub(crate) struct NameInterner {
    zones: Vec<String>,
    machine_types: Vec<String>,
    images: HashMap<String, plan::ImageIndex>,
}

fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl NameInterner {
    /// The index of a zone, a new one if need be.
    pub(super) fn intern_zone(&mut self, name: &str) -> usize {
        index_of(&mut self.zones, name)
    }

    /// The index of a machine type, a new one if need be.
    pub(super) fn intern_machine_type(&mut self, name: &str) -> usize {
        index_of(&mut self.machine_types, name)
    }

    pub(crate) fn zone_index_of(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }

    pub(crate) fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// An image that no machine has is none of those that machines have.
    fn image_index_of(&self, name: &str) -> plan::ImageIndex {
        self.images.get(name).copied().unwrap_or(plan::ImageIndex::MAX)
    }

    pub(super) fn intern_images<'a>(&mut self, names: impl Iterator<Item = &'a String>) -> Vec<plan::ImageIndex> {
        let mut found: Vec<plan::ImageIndex> = names
            .map(|name| match self.images.get(name) {
                Some(image) => *image,
                None => {
                    let image = self.images.len() as plan::ImageIndex;
                    self.images.insert(name.clone(), image);
                    image
                }
            })
            .collect();
        found.sort_unstable();
        found.dedup();
        found
    }
}
