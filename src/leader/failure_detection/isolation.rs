//! Detects the isolation of this node: whether it reaches any worker.

use super::{MIN_SIGNIFICANT_MACHINES, TWO_COMMAND_TIMEOUTS};
use crate::leader::Leader;
use crate::leadership::StepDownReason;
use crate::types::{Duration, MachineId, Timestamp};

/// Margin beyond the timeouts of two direct commands after which a leader that has never reached a worker is considered
/// isolated.
const ISOLATION_MARGIN: Duration = Duration::from_millis(500);

/// Whether this node reaches any worker.
#[derive(Debug, Default)]
pub(in crate::leader) struct WorkerReachability {
    /// Time since any worker was last reached. It is summed up over ticks instead of being read from the clock, so that
    /// a process that was suspended does not take its own suspension for silence of the workers.
    pub(super) unreachable_for: Duration,
    /// Whether any worker has been reached since the election.
    ever_reached: bool,
}

impl WorkerReachability {
    /// Adds the time of one tick to the time without contact.
    pub(in crate::leader) fn advance(&mut self, elapsed: Duration) {
        self.unreachable_for = self.unreachable_for + elapsed;
    }

    /// Records that contact with a worker was confirmed.
    fn worker_reached(&mut self) {
        self.unreachable_for = Duration::ZERO;
        self.ever_reached = true;
    }
}

impl Leader {
    /// Records that this node reaches workers, if contact with this fenced machine was confirmed just now.
    pub(crate) fn update_reachability(&mut self, now: Timestamp, id: MachineId) {
        if self.machines.get(&id).is_some_and(|machine| machine.last_reached_at == now && machine.fenced) {
            self.reachability.worker_reached();
        }
    }

    /// Steps down if this node reaches no worker although there are some. A leader that was isolated from the workers
    /// but not from the state service kept the leader key, while every lease expired and every task was lost.
    pub fn detect_isolation(&mut self) {
        let ever_reached = self.reachability.ever_reached;
        let significant =
            || self.machines.values().filter(|machine| machine.sends_consecutive_heartbeats || !ever_reached);
        if significant().nth(MIN_SIGNIFICANT_MACHINES - 1).is_none() {
            // Time without workers does not count as silence. Otherwise a leader that has waited long for its first
            // workers steps down as soon as several of them are discovered together.
            self.reachability.unreachable_for = Duration::ZERO;
            return;
        }
        let times = &self.settings.deployment.workers;
        if self.reachability.unreachable_for < times.silence_timeout(usize::MAX) {
            // Too short for any number of workers. Returning here avoids counting the workers at every tick, twenty
            // times a second.
            return;
        }
        let timeout = if ever_reached {
            // Each of these workers sends its next heartbeat to this node within the longest heartbeat interval; the
            // more workers there are, the sooner the first of these heartbeats arrives.
            times.silence_timeout(significant().count())
        } else {
            // Two direct commands to each worker have timed out by then.
            TWO_COMMAND_TIMEOUTS + ISOLATION_MARGIN
        };
        if self.reachability.unreachable_for >= timeout {
            self.step_down_reason = Some(StepDownReason::NoWorkerReachable);
        }
    }
}
