//! What is known of the machines and their tasks, and what they are told.
//!
//! A machine is *fenced* once a message of its own says that it has seen this leader's token: from
//! then on nothing that an earlier leader sent can start or stop a task there.

use crate::records::MachineRecord;
use crate::types::{
    AgentEpoch, AttemptId, AttemptNumber, Duration, FencingToken, JobId, MachineId, MessageSequence, Resources, TaskId,
    Timestamp,
};
use crate::wire::{Cause, Order, Report, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Most orders in one message: it must stay far below 64 KiB.
const ORDERS_LIMIT: usize = 300;
/// Ended attempts that a machine is left with: its reports must stay far below 64 KiB.
const ENDED_LIMIT: usize = 200;

/// Whether a machine's enrolment is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Enrolment {
    /// Not asked for yet.
    None,
    /// On its way.
    Pending,
    /// Durable: it may get tasks.
    Durable,
}

/// How far a task is on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Ordered; the worker has not shown it yet.
    Ordered,
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other tasks of its gang.
    Gathering,
    /// Running.
    Running,
    /// Saving after it was stopped.
    Saving,
    /// Ended.
    Exited,
}

/// Whether a direct command that starts the attempt may still arrive late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// No.
    None,
    /// It is under way, with this command number.
    InFlight(u64),
    /// It got no answer and may be executed until the session changes.
    Lost,
}

/// An attempt that a machine holds, or may hold.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Task.
    pub task: TaskId,
    /// How far it is.
    pub phase: Phase,
    /// Whether the worker has shown it.
    pub seen: bool,
    /// Whether a direct start may arrive late.
    pub doubt: Doubt,
    /// Told, or to be told, to stop, with this much time for saving.
    pub stop: Option<f64>,
    /// Whether the worker was told to start it, directly or with the answer to a report.
    pub start_sent: bool,
    /// Whether the stop was sent, directly or with the answer to a report.
    pub stop_sent: bool,
    /// Whether a direct command started it, of which a copy may come late.
    pub direct: bool,
    /// When it ended.
    pub ended: Timestamp,
    /// The worker may forget it (its end is durable or does not matter).
    pub reapable: bool,
    /// The task counts as on this machine for its job.
    pub claimed: bool,
    /// What it takes.
    pub need: Resources,
    /// Importance of its job, 0 first.
    pub rank: u8,
    /// Its image.
    pub image: String,
    /// When it was ordered or found.
    pub since: Timestamp,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from order to end; `None` for services.
    pub predicted: Option<Duration>,
    /// Whether it is a task of a gang.
    pub gang: bool,
}

impl Hold {
    /// Whether it takes room on the machine.
    pub fn occupies(&self) -> bool {
        self.phase != Phase::Exited
    }
}

/// A direct command that has not been answered.
#[derive(Debug, Clone, Copy)]
pub struct Flight {
    /// Its number.
    pub id: u64,
    /// When it was sent.
    pub sent: Timestamp,
}

/// Orders to end what a report shows of jobs that are over.
pub fn kills(report: &Report, over: &dyn Fn(JobId) -> bool) -> Vec<Order> {
    let shown = report.tasks.iter().flatten().filter(|t| t.state != TaskState::Exited);
    let kill = |(task, attempt): (TaskId, u64)| {
        over(task.job).then(|| Order::Kill { task: task.to_string(), attempt, grace_s: 0.0 })
    };
    shown.filter_map(|t| kill((t.task?, t.attempt))).take(ORDERS_LIMIT).collect()
}

/// A machine whose worker has reported, or that an earlier leader enrolled.
#[derive(Debug)]
pub struct Machine {
    /// What is remembered of it.
    pub record: MachineRecord,
    /// Room in all.
    pub capacity: Resources,
    /// Whether its enrolment is durable.
    pub enrolment: Enrolment,
    /// Session of its last message.
    pub session: AgentEpoch,
    /// Order of its last message.
    pub seq: MessageSequence,
    /// Whether it has seen this leader's token.
    pub fenced: bool,
    /// Its last report, answers to direct commands not counted: it has one under way at a time, so that
    /// what is not newer is a late copy, to whose answer nobody listens.
    pub last_report: (AgentEpoch, MessageSequence),
    /// The last report that was answered.
    pub told: (AgentEpoch, MessageSequence),
    /// Whether it has come back to this node with the next report after an answered one.
    pub regular: bool,
    /// When it was heard of last.
    pub heard: Timestamp,
    /// When it was last certain that something of ours reaches it. A machine whose reports arrive while
    /// answers and commands do not reach it is as good as silent.
    pub reached: Timestamp,
    /// When a report of it was answered last.
    pub answered: Timestamp,
    /// When it came into this leader's view.
    pub since: Timestamp,
    /// When the cloud takes it away.
    pub notice: Option<Timestamp>,
    /// Attempts that it holds or may hold.
    pub holds: BTreeMap<AttemptId, Hold>,
    /// Images that it is believed to hold.
    pub images: BTreeSet<String>,
    /// Direct command under way.
    pub flight: Option<Flight>,
    /// Last direct attempt to reach it.
    pub probed: Timestamp,
    /// Direct attempts without answer since something reached it.
    pub unanswered: u32,
    /// Gets no new tasks; why.
    pub draining: Option<&'static str>,
    /// Idle since.
    pub idle_since: Option<Timestamp>,
    /// Different jobs that failed here since the last success.
    pub failed_jobs: BTreeSet<JobId>,
}

/// The end of an attempt, as a worker showed it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exit {
    /// The attempt.
    pub key: AttemptId,
    /// Why.
    pub cause: Cause,
    /// When it had been ordered.
    pub since: Timestamp,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from order to end.
    pub predicted: Option<Duration>,
}

/// What a message of a worker showed.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// An attempt that this leader did not know; it is to be claimed or stopped.
    Found {
        /// The attempt.
        key: AttemptId,
        /// Whether it has ended already.
        ended: bool,
    },
    /// A claimed attempt began to run.
    Running(AttemptId),
    /// The machine now holds this image.
    Image(String),
    /// An attempt ended.
    Exited(Exit),
    /// A claimed attempt is surely gone without an end.
    Lost(TaskId),
    /// The machine has now seen this leader's token.
    Fenced,
}

impl Machine {
    /// A machine that came into view.
    pub fn new(record: MachineRecord, capacity: Resources, enrolment: Enrolment, now: Timestamp) -> Machine {
        Machine {
            record,
            capacity,
            enrolment,
            session: AgentEpoch(0),
            seq: MessageSequence(0),
            fenced: false,
            last_report: (AgentEpoch(0), MessageSequence(0)),
            told: (AgentEpoch(0), MessageSequence(0)),
            regular: false,
            heard: now,
            reached: now,
            answered: now,
            since: now,
            notice: None,
            holds: BTreeMap::new(),
            images: BTreeSet::new(),
            flight: None,
            probed: Timestamp::ZERO,
            unanswered: 0,
            draining: None,
            idle_since: None,
            failed_jobs: BTreeSet::new(),
        }
    }

    /// Name.
    pub fn id(&self) -> MachineId {
        self.record.id
    }

    /// Whether tasks may be started here, as far as the machine is concerned.
    pub fn usable(&self) -> bool {
        self.fenced && self.enrolment == Enrolment::Durable && self.draining.is_none() && self.notice.is_none()
    }

    /// Whether something of ours reached it within this time.
    pub fn in_reach(&self, now: Timestamp, within: Duration) -> bool {
        now.since(self.reached) <= within
    }

    /// Room that is not taken.
    pub fn free(&self) -> Resources {
        let mut free = self.capacity;
        for hold in self.holds.values().filter(|h| h.occupies()) {
            free.saturating_sub(&hold.need);
        }
        free
    }

    /// Whether it holds another attempt of this task, in any state.
    pub fn knows(&self, task: TaskId) -> bool {
        self.holds.values().any(|h| h.task == task)
    }

    /// Whether it holds an attempt of any task of this job, in any state.
    pub fn knows_job(&self, job: JobId) -> bool {
        self.holds.keys().any(|key| key.task.job == job)
    }

    /// Notes a report's place among the others; false for a late copy of one, which shows nothing,
    /// renews nothing and needs no answer.
    ///
    /// A report that is older than the answer to a direct command is no copy: its worker may be waiting
    /// for it, and an answer would renew its lease.
    pub fn report(&mut self, now: Timestamp, report: &Report, others: bool) -> bool {
        let order = (AgentEpoch(report.session), MessageSequence(report.seq));
        if order <= self.last_report || order.0 < self.session {
            return false;
        }
        self.last_report = order;
        // A worker whose report got no answer goes to another node: one that comes back at once with
        // the next report has taken the last answer in.
        if others && order == (self.told.0, MessageSequence(self.told.1.0 + 1)) {
            self.reached(now);
            self.regular = true;
        }
        true
    }

    /// Something of ours has surely reached the machine.
    pub fn reached(&mut self, now: Timestamp) {
        self.reached = now;
        self.unanswered = 0;
    }

    /// Takes a message (report or answer to a command) and says what it showed.
    ///
    /// Older messages than the last one change nothing: their task list is as old as they are.
    pub fn message(&mut self, now: Timestamp, report: &Report, token: FencingToken, out: &mut Vec<Event>) {
        let (session, seq) = (AgentEpoch(report.session), MessageSequence(report.seq));
        if (session, seq) <= (self.session, self.seq) {
            return;
        }
        if session > self.session {
            if self.session.0 > 0 {
                // The lease ran out: the worker has killed and forgotten every task, and no direct
                // command of the earlier session is executed any more.
                self.drop_holds(out);
            }
            self.session = session;
            // A session's lease counts from its beginning. Counting on from the last answer of the
            // session before gave tasks up that still ran, and started them twice.
            self.answered = now;
        }
        self.seq = seq;
        self.heard = now;
        self.record.endpoint.clone_from(&report.endpoint);
        self.notice = report.notice_s.map(|s| now + Duration::from_secs_f64(s));
        if report.token == token.0 && !self.fenced {
            self.fenced = true;
            // An earlier leader may have renewed the lease up to now, but no longer.
            self.answered = now;
            self.reached(now);
            out.push(Event::Fenced);
        }
        if !self.fenced {
            // What is on it can still change by an earlier leader's word.
            return;
        }
        let mut shown = Vec::with_capacity(report.tasks.as_ref().map_or(0, Vec::len));
        for item in report.tasks.iter().flatten() {
            let Some(task) = item.task else { continue };
            let key = AttemptId { attempt: AttemptNumber(item.attempt), task };
            shown.push(key);
            self.shown(now, key, item.state, item.cause, out);
        }
        shown.sort_unstable();
        let gone: Vec<AttemptId> =
            self.holds.iter().filter(|(a, h)| h.seen && shown.binary_search(a).is_err()).map(|(a, _)| *a).collect();
        for key in gone {
            // Reaped, as ordered; a claimed one that vanished is treated as lost.
            if let Some(hold) = self.holds.remove(&key)
                && hold.claimed
            {
                out.push(Event::Lost(hold.task));
            }
        }
    }

    fn shown(&mut self, now: Timestamp, key: AttemptId, state: TaskState, cause: Option<Cause>, out: &mut Vec<Event>) {
        let phase = match state {
            TaskState::Fetching | TaskState::Other => Phase::Fetching,
            TaskState::Gathering => Phase::Gathering,
            TaskState::Running => Phase::Running,
            TaskState::Flushing => Phase::Saving,
            TaskState::Exited => Phase::Exited,
        };
        if let std::collections::btree_map::Entry::Vacant(slot) = self.holds.entry(key) {
            slot.insert(Hold {
                task: key.task,
                phase: if phase == Phase::Exited { Phase::Ordered } else { phase },
                seen: true,
                doubt: Doubt::None,
                stop: Some(0.0),
                start_sent: true,
                stop_sent: false,
                direct: false,
                ended: now,
                reapable: true,
                claimed: false,
                need: Resources::default(),
                rank: 3,
                image: String::new(),
                since: now,
                running_since: (phase == Phase::Running).then_some(now),
                predicted: None,
                gang: false,
            });
            out.push(Event::Found { key, ended: phase == Phase::Exited });
        }
        let Some(hold) = self.holds.get_mut(&key) else { return };
        if !std::mem::replace(&mut hold.seen, true) {
            // It has taken our order in.
            self.reached = now;
            self.unanswered = 0;
        }
        if hold.phase == phase {
            return;
        }
        hold.phase = phase;
        match phase {
            Phase::Running | Phase::Gathering => {
                if !hold.image.is_empty() && self.images.insert(hold.image.clone()) {
                    out.push(Event::Image(hold.image.clone()));
                }
                if phase == Phase::Running {
                    hold.running_since = Some(now);
                    if hold.claimed {
                        out.push(Event::Running(key));
                    }
                }
            }
            Phase::Exited => {
                hold.ended = now;
                out.push(Event::Exited(Exit {
                    key,
                    cause: cause.unwrap_or(Cause::Other),
                    since: hold.since,
                    running_since: hold.running_since,
                    predicted: hold.predicted,
                }));
            }
            _ => {}
        }
    }

    /// All attempts are surely gone: the lease is over, or the machine is.
    pub fn drop_holds(&mut self, out: &mut Vec<Event>) {
        for (_, hold) in std::mem::take(&mut self.holds) {
            if hold.claimed {
                out.push(Event::Lost(hold.task));
            }
        }
        self.flight = None;
    }

    /// The orders for a report's answer, which is never executed late.
    ///
    /// What the worker has not shown is ordered again: `run` of an attempt that it holds has no
    /// effect. An attempt that is to be stopped unseen gets `run` before `kill`, so that the worker
    /// knows it, and a late copy of the direct `run` finds it exited. For the same reason the worker is
    /// left with an ended attempt that was started directly for `keep`: once it has forgotten it, a copy
    /// of the command, carried out late although the command was answered, would start it anew.
    pub fn orders(&mut self, now: Timestamp, keep: Duration) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut too_many = self.holds.values().filter(|h| !h.occupies()).count().saturating_sub(ENDED_LIMIT);
        for (key, hold) in &mut self.holds {
            // Most attempts need no order, so their names are not written out.
            let (task, attempt) = (key.task, key.attempt.0);
            if hold.phase == Phase::Exited {
                let safe = !hold.direct || now.since(hold.ended) >= keep;
                if hold.reapable && hold.doubt == Doubt::None && (safe || too_many > 0) {
                    too_many = too_many.saturating_sub(1);
                    orders.push(Order::Reap { task: task.to_string(), attempt });
                }
                continue;
            }
            if !hold.seen {
                hold.start_sent = true;
                orders.push(Order::Run { task: task.to_string(), attempt });
            }
            // One that saves is ended by a second order, when there is nothing to save it for any more.
            if let Some(grace_s) = hold.stop
                && (hold.phase != Phase::Saving || grace_s == 0.0)
            {
                hold.stop_sent = true;
                orders.push(Order::Kill { task: task.to_string(), attempt, grace_s });
            }
            if orders.len() >= ORDERS_LIMIT {
                break;
            }
        }
        orders
    }

    /// The orders for a direct command: starts that were not sent and stops of what was seen.
    ///
    /// What went with the answer to a report is not sent again: the next answer repeats it if need be.
    pub fn direct_orders(&mut self, command: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        for (key, hold) in &mut self.holds {
            let (task, attempt) = (key.task, key.attempt.0);
            match hold.stop {
                None if !hold.seen && !hold.start_sent => {
                    hold.start_sent = true;
                    hold.doubt = Doubt::InFlight(command);
                    hold.direct = true;
                    orders.push(Order::Run { task: task.to_string(), attempt });
                }
                Some(grace_s) if hold.seen && hold.occupies() && !hold.stop_sent => {
                    hold.stop_sent = true;
                    orders.push(Order::Kill { task: task.to_string(), attempt, grace_s });
                }
                _ => {}
            }
            if orders.len() >= ORDERS_LIMIT {
                break;
            }
        }
        orders
    }

    /// A direct command was answered (`answered`) or may still be executed.
    pub fn command_over(&mut self, now: Timestamp, command: u64, answered: bool) {
        if answered {
            self.reached(now);
        } else {
            self.unanswered += 1;
        }
        if self.flight.is_some_and(|f| f.id == command) {
            self.flight = None;
        }
        for hold in self.holds.values_mut().filter(|h| h.doubt == Doubt::InFlight(command)) {
            hold.doubt = if answered { Doubt::None } else { Doubt::Lost };
        }
    }

    /// Orders an attempt to stop; true if the machine is to be told.
    pub fn stop(&mut self, key: AttemptId, grace_s: f64) -> bool {
        if let Some(hold) = self.holds.get_mut(&key)
            && hold.occupies()
            && hold.stop.is_none_or(|g| g > grace_s)
        {
            hold.stop = Some(grace_s);
            hold.stop_sent = false;
            return true;
        }
        false
    }
}

#[cfg(test)]
mod tests;
