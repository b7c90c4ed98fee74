//! The state of a machine, as far as this leader knows it.

use super::attempt::TaskAttempt;
use super::drain_reason::DrainReason;
use super::message_position::MessagePosition;
use crate::types::{AttemptId, Duration, JobId, MachineId, Resources, TaskId, Timestamp};
use crate::write_ahead_log::MachineRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Whether the log holds the machine, so that every later leader waits until it is fenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registration {
    /// Not written yet.
    NotRequested,
    /// Being written.
    Pending,
    /// Durable: the machine may get tasks.
    Durable,
}

/// A direct command that has not been answered.
#[derive(Debug, Clone, Copy)]
pub struct InFlightCommand {
    /// Its number.
    pub id: u64,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// A machine whose worker has sent a heartbeat, or that an earlier leader registered.
#[derive(Debug)]
pub struct Machine {
    /// What the log holds of it.
    pub record: MachineRecord,
    /// Its resources in all.
    pub capacity: Resources,
    /// Whether its registration is durable.
    pub registration: Registration,
    /// Position of its last message.
    pub last_message: MessagePosition,
    /// Whether it has seen this leader's fencing token.
    pub fenced: bool,
    /// Its last heartbeat; answers to direct commands do not count. A worker has one heartbeat in flight at a time, so that one
    /// which is not newer is a late copy, whose answer nobody reads.
    pub last_heartbeat: MessagePosition,
    /// The last heartbeat that was answered.
    pub last_responded_heartbeat: MessagePosition,
    /// Whether it has come back to this node with the next heartbeat after an answered one.
    pub sends_consecutive_heartbeats: bool,
    /// When its last message arrived.
    pub last_message_at: Timestamp,
    /// When it last proved that something of ours reached it. A machine whose heartbeats arrive while answers and commands do not
    /// reach it is treated as a silent one.
    pub last_reached_at: Timestamp,
    /// When a heartbeat of it was answered last: its lease counts from then.
    pub lease_renewed_at: Timestamp,
    /// When it became known to this leader, or was rented.
    pub known_since: Timestamp,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Timestamp>,
    /// Attempts that it holds or may hold.
    pub attempts: BTreeMap<AttemptId, TaskAttempt>,
    /// Images that it is believed to hold.
    pub images: BTreeSet<String>,
    /// The direct command in flight to it.
    pub in_flight_command: Option<InFlightCommand>,
    /// When a direct command was last sent to it.
    pub last_probe_at: Timestamp,
    /// Direct commands without an answer since something reached it.
    pub unanswered_commands: u32,
    /// Why it gets no new tasks, if so.
    pub draining: Option<DrainReason>,
    /// Since when it has been idle.
    pub idle_since: Option<Timestamp>,
    /// Different jobs that failed here since the last success.
    pub failed_jobs: BTreeSet<JobId>,
}

impl Machine {
    /// A machine of which no message has arrived yet.
    pub fn new(record: MachineRecord, capacity: Resources, registration: Registration, now: Timestamp) -> Machine {
        Machine {
            record,
            capacity,
            registration,
            last_message: MessagePosition::default(),
            fenced: false,
            last_heartbeat: MessagePosition::default(),
            last_responded_heartbeat: MessagePosition::default(),
            sends_consecutive_heartbeats: false,
            last_message_at: now,
            last_reached_at: now,
            lease_renewed_at: now,
            known_since: now,
            reclaim_at: None,
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            in_flight_command: None,
            last_probe_at: Timestamp::ZERO,
            unanswered_commands: 0,
            draining: None,
            idle_since: None,
            failed_jobs: BTreeSet::new(),
        }
    }

    /// Its name.
    pub fn id(&self) -> MachineId {
        self.record.id
    }

    /// Whether tasks may be started here, as far as the machine itself is concerned.
    pub fn accepts_tasks(&self) -> bool {
        self.fenced
            && self.registration == Registration::Durable
            && self.draining.is_none()
            && self.reclaim_at.is_none()
    }

    /// Whether something of ours reached it within this time.
    pub fn reached_within(&self, now: Timestamp, within: Duration) -> bool {
        now.since(self.last_reached_at) <= within
    }

    /// Whether a heartbeat of it was answered by this leader.
    pub fn was_sent_response(&self) -> bool {
        self.last_responded_heartbeat.epoch.0 > 0
    }

    /// Whether an attempt takes resources here.
    pub fn is_occupied(&self) -> bool {
        self.attempts.values().any(TaskAttempt::occupies_resources)
    }

    /// The resources that no attempt takes.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.capacity;
        for attempt in self.attempts.values().filter(|attempt| attempt.occupies_resources()) {
            free.saturating_sub(&attempt.resources);
        }
        free
    }

    /// Whether it holds an attempt of this task, in any phase.
    pub fn holds_task(&self, task: TaskId) -> bool {
        self.attempts.values().any(|attempt| attempt.task == task)
    }

    /// Whether it holds an attempt of any task of this job, in any phase.
    pub fn holds_job(&self, job: JobId) -> bool {
        self.attempts.keys().any(|id| id.task.job == job)
    }

    /// Notes that something of ours has surely reached the machine.
    pub fn mark_reached(&mut self, now: Timestamp) {
        self.last_reached_at = now;
        self.unanswered_commands = 0;
    }
}
