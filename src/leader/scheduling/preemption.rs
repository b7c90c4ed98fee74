//! Preemption: stops tasks of lower priority to free resources for services of the highest priority and for gangs.

use super::machine_view::may_be_preempted;
use super::*;

/// The only priority at which services preempt other tasks. Gangs may preempt at any priority.
const HIGHEST_PRIORITY: u8 = 0;

/// A running task that may be preempted.
#[derive(Debug, Clone, Copy)]
pub(super) struct PreemptionVictim {
    attempt: AttemptId,
    resources: Resources,
    /// Priority of the task's job; 0 is the highest.
    priority: u8,
    /// Run time that is lost if the task is stopped: the time since its last checkpoint, or since its start.
    lost_work: Duration,
}

/// A decision to stop one attempt in favor of another job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Preemption {
    pub(super) machine: MachineId,
    pub(super) attempt: AttemptId,
    /// The job for which resources are freed.
    pub(super) preempting_job: JobId,
}

/// A machine's free resources once all attempts that are being stopped have ended.
fn free_after_stops(machine: &Machine) -> Resources {
    let mut free = machine.free_resources();
    let is_stopping = |attempt: &&TaskAttempt| attempt.occupies_resources() && attempt.stop_grace_s.is_some();
    for attempt in machine.attempts.values().filter(is_stopping) {
        free.add(&attempt.resources);
    }
    free
}

/// Number of victims, in the given order, that have to be stopped so that the task fits; `None` if it does not fit even
/// after all of them are stopped.
fn victims_needed(task: &Resources, mut free: Resources, victims: &[PreemptionVictim]) -> Option<usize> {
    for (count, victim) in victims.iter().enumerate() {
        if task.fits(&free) {
            return Some(count);
        }
        free.add(&victim.resources);
    }
    task.fits(&free).then_some(victims.len())
}

/// Simulates preemptions on one machine for several tasks in turn, so that resources and victims are not counted twice.
#[derive(Debug, Clone)]
pub(super) struct PreemptionSimulation {
    free: Resources,
    /// Preemptible tasks that are not chosen yet, in ascending order of lost work.
    victims: Vec<PreemptionVictim>,
}

impl PreemptionSimulation {
    /// Starts from the machine's free resources, including those of attempts that are being stopped already.
    pub(super) fn new(machine: &Machine, victims: Vec<PreemptionVictim>) -> PreemptionSimulation {
        PreemptionSimulation { free: free_after_stops(machine), victims }
    }

    /// Drops victims that a job of this priority may not preempt, that is, those of the same or a higher priority.
    pub(super) fn retain_victims_below(&mut self, priority: u8) {
        self.victims.retain(|victim| victim.priority > priority);
    }

    /// Allocates resources for `count` tasks of this size. Returns the attempts that have to be stopped for them, or
    /// `None` if there are not enough victims.
    pub(super) fn preempt_for(&mut self, task: &Resources, count: u32) -> Option<Vec<AttemptId>> {
        let mut to_stop = Vec::new();
        for _ in 0..count {
            let needed = victims_needed(task, self.free, &self.victims)?;
            for victim in self.victims.drain(..needed) {
                self.free.add(&victim.resources);
                to_stop.push(victim.attempt);
            }
            self.free.saturating_sub(task);
        }
        Some(to_stop)
    }
}

impl Leader {
    /// Stops tasks of lower priority on machines in whose queues services of the highest priority lack resources.
    ///
    /// The plan counts preemptible resources as available to these services, so they are queued where preemption can
    /// make them fit. Victims with the least lost work are stopped first.
    pub(super) fn preempt_for_services(&mut self, now: Timestamp) {
        let highest_priority_jobs =
            self.planning.plans.planned_jobs().take_while(|job| job.queue_priority().priority == HIGHEST_PRIORITY);
        let machines: BTreeSet<MachineId> = highest_priority_jobs.flat_map(|job| job.machines()).collect();
        let planned = machines.iter().filter_map(|id| self.planning.plans.machine(*id));
        let preemptions = planned.flat_map(|machine| self.preemptions_for_services(machine, now)).collect();
        self.preempt(preemptions);
    }

    /// Preemptions that the services in this machine's queue need.
    fn preemptions_for_services(&self, planned: &PlannedMachine, now: Timestamp) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let Some(machine) = self.machines.get(&planned.id).filter(|machine| machine.accepts_tasks()) else {
            return preemptions;
        };
        let mut simulation: Option<PreemptionSimulation> = None;
        let is_highest_priority_service =
            |entry: &&QueueEntry| entry.is_service && entry.queue_priority.priority == HIGHEST_PRIORITY;
        for entry in planned.queue.iter().filter(is_highest_priority_service) {
            if !self.jobs.get(entry.job).is_some_and(|job| self.is_startable(job, now)) {
                continue;
            }
            let simulation = simulation.get_or_insert_with(|| {
                PreemptionSimulation::new(machine, self.victims(machine, now, HIGHEST_PRIORITY))
            });
            for _ in 0..entry.count {
                let Some(to_stop) = simulation.preempt_for(&entry.resources, 1) else { break };
                preemptions.extend(to_stop.into_iter().map(|attempt| Preemption {
                    machine: planned.id,
                    attempt,
                    preempting_job: entry.job,
                }));
            }
        }
        preemptions
    }

    /// Stops the chosen attempts without a grace period.
    pub(super) fn preempt(&mut self, preemptions: Vec<Preemption>) {
        for Preemption { machine, attempt, preempting_job } in preemptions {
            info!("task preempted task={} machine={machine} for_job={preempting_job}", attempt.task);
            self.stop_attempt(machine, attempt, 0.0, StopReason::Preempted);
        }
    }

    /// Attempts on this machine that a job of this priority may preempt, in ascending order of the work that they would
    /// lose.
    pub(super) fn victims(&self, machine: &Machine, now: Timestamp, priority: u8) -> Vec<PreemptionVictim> {
        let preemptible = machine.attempts.iter().filter(|(_, attempt)| may_be_preempted(attempt, priority));
        let mut victims: Vec<PreemptionVictim> = preemptible
            .map(|(id, attempt)| PreemptionVictim {
                attempt: *id,
                resources: attempt.resources,
                priority: attempt.priority,
                lost_work: self.work_since_checkpoint(attempt, now),
            })
            .collect();
        victims.sort_unstable_by_key(|victim| victim.lost_work);
        victims
    }

    /// Run time of an attempt since its last checkpoint, or since its start if its job makes no checkpoints.
    fn work_since_checkpoint(&self, attempt: &TaskAttempt, now: Timestamp) -> Duration {
        let run_time = attempt.running_since.map_or(Duration::ZERO, |since| now.since(since));
        let interval_ms = self.jobs.get(attempt.task.job).map_or(0, |job| job.spec.checkpoint_interval.as_millis());
        if interval_ms > 0 { Duration::from_millis(run_time.as_millis() % interval_ms) } else { run_time }
    }

    /// Requests that an attempt stops, with `grace_s` seconds to save a checkpoint, and schedules a command to its
    /// machine.
    pub(crate) fn stop_attempt(&mut self, machine: MachineId, attempt: AttemptId, grace_s: f64, reason: StopReason) {
        if self.machines.get_mut(&machine).is_some_and(|machine| machine.request_stop(attempt, grace_s)) {
            let token = self.token;
            debug!(
                "task stop requested task={attempt} machine={machine} grace_s={grace_s} reason=\"{reason}\" token={token}"
            );
            self.command_dispatch.enqueue(machine);
            self.planning.changed_machines.insert(machine);
        }
    }
}
