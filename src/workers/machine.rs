//! The leader's view of a machine.

use super::attempt::TaskAttempt;
use super::drain_reason::DrainReason;
use super::message_position::MessagePosition;
use super::quarantine::Quarantine;
use crate::types::{AttemptId, Duration, FencingToken, JobId, MachineId, Resources, TaskId, Timestamp};
use crate::write_ahead_log::MachineRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a machine's registration in the write-ahead log. Every later leader waits until all registered machines
/// are fenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registration {
    /// No registration record has been appended.
    NotRequested,
    /// The registration record has been appended and is not durable yet.
    Pending,
    /// The registration is durable, so tasks may be started on the machine.
    Durable,
}

/// A direct command without a response.
#[derive(Debug, Clone, Copy)]
pub struct InFlightCommand {
    /// Number of the command, unique under this leader.
    pub id: u64,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// A machine whose worker has sent a heartbeat to this leader, or that an earlier leader registered.
#[derive(Debug)]
pub struct Machine {
    /// Its durable state in the write-ahead log.
    pub record: MachineRecord,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether its registration in the write-ahead log is durable.
    pub registration: Registration,
    /// Position of its newest message, a heartbeat or the response to a direct command.
    pub last_message: MessagePosition,
    /// Whether one of its messages contained a fencing token of this leader.
    pub fenced: bool,
    /// Fencing token of the messages to its worker, the highest that this leader has sent to it.
    pub message_token: FencingToken,
    /// Position of its newest heartbeat, not counting responses to direct commands. A worker has only one heartbeat in
    /// flight, so a heartbeat that is not newer than this one is a delayed duplicate, whose response nobody reads.
    pub last_heartbeat: MessagePosition,
    /// Position of the last heartbeat that this leader responded to.
    pub last_responded_heartbeat: MessagePosition,
    /// Whether it has sent two consecutive heartbeats to this node, the second after the response to the first.
    pub sends_consecutive_heartbeats: bool,
    /// When its last message arrived.
    pub last_message_at: Timestamp,
    /// When a response or command of this leader was last known to have reached it. A machine whose heartbeats arrive
    /// but that no response or command reaches is treated like a silent one.
    pub last_reached_at: Timestamp,
    /// The latest time at which its worker's lease may have been renewed, from which the expiry of the lease is
    /// computed: when this leader last responded to one of its heartbeats, when the machine was fenced, or when its
    /// worker agent began a new epoch, whichever is latest.
    pub lease_renewed_at: Timestamp,
    /// When its instance was requested, or, if the request is not known to this leader, when the machine was
    /// discovered.
    pub known_since: Timestamp,
    /// When the cloud will reclaim it, if it has announced that.
    pub reclaim_at: Option<Timestamp>,
    /// Attempts that are on the machine, or whose start was requested there.
    pub attempts: BTreeMap<AttemptId, TaskAttempt>,
    /// Images that are assumed to be in its cache.
    pub images: BTreeSet<String>,
    /// The direct command in flight to it; at most one is sent at a time.
    pub in_flight_command: Option<InFlightCommand>,
    /// When a direct command was last sent to it, with or without commands in it.
    pub last_probe_at: Timestamp,
    /// Number of direct commands that have failed without a response since the machine was last reached.
    pub unanswered_commands: u32,
    /// Why it gets no new tasks; `None` unless it is draining.
    pub draining: Option<DrainReason>,
    /// Since when it has been idle; `None` if it is not.
    pub idle_since: Option<Timestamp>,
    /// Whether it is suspected because tasks failed on it.
    pub quarantine: Quarantine,
}

impl Machine {
    /// Creates a machine that no message has been received from yet. `token` is the fencing token under which this
    /// leader was elected.
    pub fn new(
        record: MachineRecord,
        capacity: Resources,
        registration: Registration,
        token: FencingToken,
        now: Timestamp,
    ) -> Machine {
        Machine {
            record,
            capacity,
            registration,
            last_message: MessagePosition::default(),
            fenced: false,
            message_token: token,
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
            quarantine: Quarantine::default(),
        }
    }

    /// Returns the id of the machine.
    pub fn id(&self) -> MachineId {
        self.record.id
    }

    /// Whether its tasks are known and its registration is durable.
    pub fn is_ready(&self) -> bool {
        self.fenced && self.registration == Registration::Durable
    }

    /// Whether tasks may be started here: the machine is ready, neither drained nor reclaimed, and no trial is in
    /// progress. Free resources are not considered.
    pub fn accepts_tasks(&self) -> bool {
        self.is_ready() && self.draining.is_none() && self.reclaim_at.is_none() && !self.is_being_tried()
    }

    /// Whether a response or command of this leader is known to have reached it within the last `within`.
    pub fn reached_within(&self, now: Timestamp, within: Duration) -> bool {
        now.since(self.last_reached_at) <= within
    }

    /// Whether this leader has responded to any of its heartbeats.
    pub fn was_sent_response(&self) -> bool {
        self.last_responded_heartbeat.epoch.0 > 0
    }

    /// Whether any attempt occupies resources here.
    pub fn is_occupied(&self) -> bool {
        self.attempts.values().any(TaskAttempt::occupies_resources)
    }

    /// Returns the resources that no attempt occupies.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.capacity;
        for attempt in self.attempts.values().filter(|attempt| attempt.occupies_resources()) {
            free.saturating_sub(&attempt.resources);
        }
        free
    }

    /// Whether there is an attempt of this task here, in any phase.
    pub fn holds_task(&self, task: TaskId) -> bool {
        self.attempts.values().any(|attempt| attempt.task == task)
    }

    /// Whether there is an attempt of any task of this job here, in any phase.
    pub fn holds_job(&self, job: JobId) -> bool {
        self.attempts.keys().any(|id| id.task.job == job)
    }

    /// Records that a response or command of this leader has reached the machine.
    pub fn mark_reached(&mut self, now: Timestamp) {
        self.last_reached_at = now;
        self.unanswered_commands = 0;
    }
}
