//! Preemption: lower tasks are stopped to make room for services, and for gangs.

use super::machine_view::may_be_preempted;
use super::*;

/// The priority of the services for which tasks are preempted.
const MOST_IMPORTANT: u8 = 0;

/// A task that may be stopped to make room.
#[derive(Debug, Clone, Copy)]
pub(super) struct PreemptionVictim {
    attempt: AttemptId,
    resources: Resources,
    /// Importance of its job, 0 first.
    priority: u8,
    /// The work that it would lose.
    lost_work: Duration,
}

/// A task that is to be stopped.
#[derive(Debug, Clone, Copy)]
pub(super) struct Preemption {
    pub(super) machine: MachineId,
    pub(super) attempt: AttemptId,
    /// The job that needs its room.
    pub(super) preempting_job: JobId,
}

/// What a machine will have free once everything that was told to stop is gone.
fn free_after_stops(machine: &Machine) -> Resources {
    let mut free = machine.free_resources();
    let is_stopping = |attempt: &&TaskAttempt| attempt.occupies_resources() && attempt.stop_grace_s.is_some();
    for attempt in machine.attempts.values().filter(is_stopping) {
        free.add(&attempt.resources);
    }
    free
}

/// How many of these victims, from the first on, have to be stopped so that the task fits; `None`: all are not enough.
fn victims_needed(task: &Resources, mut free: Resources, victims: &[PreemptionVictim]) -> Option<usize> {
    for (count, victim) in victims.iter().enumerate() {
        if task.fits(&free) {
            return Some(count);
        }
        free.add(&victim.resources);
    }
    task.fits(&free).then_some(victims.len())
}

/// A machine on which room is made, as far as it has come.
#[derive(Debug, Clone)]
pub(super) struct PreemptionTrial {
    free: Resources,
    /// What may be stopped, least loss first.
    victims: Vec<PreemptionVictim>,
}

impl PreemptionTrial {
    /// A machine with what may be stopped there.
    pub(super) fn new(machine: &Machine, victims: Vec<PreemptionVictim>) -> PreemptionTrial {
        PreemptionTrial { free: free_after_stops(machine), victims }
    }

    /// Leaves alone what a job of this priority may not preempt.
    pub(super) fn keep_only_below(&mut self, priority: u8) {
        self.victims.retain(|victim| victim.priority > priority);
    }

    /// Takes room for so many tasks; what has to be stopped for it, or `None` if that is not enough.
    pub(super) fn preempt_for(&mut self, task: &Resources, count: u32) -> Option<Vec<AttemptId>> {
        let mut stopped = Vec::new();
        for _ in 0..count {
            let needed = victims_needed(task, self.free, &self.victims)?;
            for victim in self.victims.drain(..needed) {
                self.free.add(&victim.resources);
                stopped.push(victim.attempt);
            }
            self.free.saturating_sub(task);
        }
        Some(stopped)
    }
}

impl Leader {
    /// Stops tasks of lower priority where services are planned that would have to wait for room.
    ///
    /// The plan counts such room as free for services, so they are planned where it can be made; those
    /// that lose least work go first.
    pub(super) fn preempt_for_services(&mut self, now: Timestamp) {
        let most_important =
            self.planning.plans.planned_jobs().take_while(|job| job.queue_priority().priority == MOST_IMPORTANT);
        let machines: BTreeSet<MachineId> = most_important.flat_map(|job| job.machines()).collect();
        let planned = machines.iter().filter_map(|id| self.planning.plans.machine(*id));
        let preemptions = planned.flat_map(|machine| self.preemptions_for_services(machine, now)).collect();
        self.preempt(preemptions);
    }

    /// What is to be stopped on one machine for the services in its queue.
    fn preemptions_for_services(&self, planned: &PlannedMachine, now: Timestamp) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let Some(machine) = self.machines.get(&planned.id).filter(|machine| machine.accepts_tasks()) else {
            return preemptions;
        };
        let mut trial: Option<PreemptionTrial> = None;
        let is_important = |entry: &&QueueEntry| entry.is_service && entry.queue_priority.priority == MOST_IMPORTANT;
        for entry in planned.queue.iter().filter(is_important) {
            if !self.jobs.get(entry.job).is_some_and(|job| self.is_startable(job, now)) {
                continue;
            }
            let trial =
                trial.get_or_insert_with(|| PreemptionTrial::new(machine, self.victims(machine, now, MOST_IMPORTANT)));
            for _ in 0..entry.count {
                let Some(stopped) = trial.preempt_for(&entry.resources, 1) else { break };
                preemptions.extend(stopped.into_iter().map(|attempt| Preemption {
                    machine: planned.id,
                    attempt,
                    preempting_job: entry.job,
                }));
            }
        }
        preemptions
    }

    /// Stops tasks to make room for others.
    pub(super) fn preempt(&mut self, preemptions: Vec<Preemption>) {
        for Preemption { machine, attempt, preempting_job } in preemptions {
            info!("task preempted task={} machine={machine} for_job={preempting_job}", attempt.task);
            self.stop_attempt(machine, attempt, 0.0);
        }
    }

    /// What may be stopped on this machine for a job of this priority, with the work it would lose, least first.
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

    /// The work that a task has done since its last checkpoint, or since its start if it makes none.
    fn work_since_checkpoint(&self, attempt: &TaskAttempt, now: Timestamp) -> Duration {
        let run_time = attempt.running_since.map_or(Duration::ZERO, |since| now.since(since));
        let interval_ms = self.jobs.get(attempt.task.job).map_or(0, |job| job.spec.checkpoint_interval.as_millis());
        if interval_ms > 0 { Duration::from_millis(run_time.as_millis() % interval_ms) } else { run_time }
    }

    /// Requests that an attempt stops, with so much time for saving, and sees to it that the machine is told.
    pub(crate) fn stop_attempt(&mut self, machine: MachineId, attempt: AttemptId, grace_s: f64) {
        if self.machines.get_mut(&machine).is_some_and(|machine| machine.request_stop(attempt, grace_s)) {
            self.command_dispatch.enqueue(machine);
            self.planning.changed_machines.insert(machine);
        }
    }
}
