//! Whether this node reaches any worker.

use super::{MIN_SIGNIFICANT_MACHINES, TWO_COMMAND_TIMEOUTS};
use crate::leader::Leader;
use crate::leadership::StepDownReason;
use crate::types::{Duration, MachineId, Timestamp};

/// How long after two unanswered commands to each worker a leader that never reached one counts as isolated.
const ISOLATION_MARGIN: Duration = Duration::from_millis(500);

/// Whether this node reaches workers at all.
#[derive(Debug, Default)]
pub(in crate::leader) struct WorkerReachability {
    /// How long nothing of ours has reached any worker, counted in ticks, so that a process that was suspended
    /// does not take its own absence for silence.
    pub(super) unreachable_for: Duration,
    /// Whether anything has reached a worker since the election.
    ever_reached: bool,
}

impl WorkerReachability {
    /// Notes that this much time passed.
    pub(in crate::leader) fn advance(&mut self, elapsed: Duration) {
        self.unreachable_for = self.unreachable_for + elapsed;
    }

    /// Notes that something of ours reached a worker.
    fn worker_reached(&mut self) {
        self.unreachable_for = Duration::ZERO;
        self.ever_reached = true;
    }
}

impl Leader {
    /// Notes that this node reaches workers, if something of ours reached this machine just now.
    pub(crate) fn update_reachability(&mut self, now: Timestamp, id: MachineId) {
        if self.machines.get(&id).is_some_and(|machine| machine.last_reached_at == now && machine.fenced) {
            self.reachability.worker_reached();
        }
    }

    /// Steps down if this node reaches no worker although there are some: cut off from the workers alone
    /// it kept the leader key, while every lease expired and every task was lost.
    pub fn detect_isolation(&mut self) {
        let ever_reached = self.reachability.ever_reached;
        let significant =
            || self.machines.values().filter(|machine| machine.sends_consecutive_heartbeats || !ever_reached);
        if significant().nth(MIN_SIGNIFICANT_MACHINES - 1).is_none() {
            // Without workers there is no silence: the first ones that came up together ended the leadership of a node that had
            // waited for them.
            self.reachability.unreachable_for = Duration::ZERO;
            return;
        }
        let times = &self.settings.deployment.workers;
        if self.reachability.unreachable_for < times.silence_timeout(usize::MAX) {
            // However many workers there are, this is no silence: they need not be counted, twenty times a second.
            return;
        }
        let timeout = if ever_reached {
            // Each worker that sends its heartbeats here does so again within this time; of many some do at once.
            times.silence_timeout(significant().count())
        } else {
            // Two direct commands to each were not answered.
            TWO_COMMAND_TIMEOUTS + ISOLATION_MARGIN
        };
        if self.reachability.unreachable_for >= timeout {
            self.step_down_reason = Some(StepDownReason::NoWorkerReachable);
        }
    }
}
