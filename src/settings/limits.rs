//! Worker timing, and the limits of the state service, the cloud and this process.

use crate::types::Duration;
use serde::Deserialize;

/// Intervals and timeouts of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Interval of a worker's heartbeats, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Maximum time in seconds until all tasks of a cancelled job have ended.
    pub cancel_s: f64,
    /// Timeout in seconds after which a task stops waiting for the other tasks of its gang.
    #[serde(default = "default_gang_wait")]
    pub gang_wait_s: f64,
    /// Maximum time in seconds within which the tasks of a gang notice that another one is gone, and within which all
    /// of them must be commanded to stop.
    #[serde(default = "default_gang_peer")]
    pub gang_peer_s: f64,
}

impl WorkerTiming {
    /// A machine that has not been reached for this long is assigned no further tasks: two heartbeat intervals and a
    /// margin.
    pub fn heartbeat_overdue_after(&self) -> Duration {
        Duration::from_secs_f64(self.report_s * 2.0 + 2.0)
    }

    /// A machine that has not been reached for this long is unreachable: the maximum interval between two heartbeats
    /// and a margin.
    pub fn unreachable_after(&self) -> Duration {
        Duration::from_secs_f64(self.max_heartbeat_interval_s() + UNREACHABLE_MARGIN_S)
    }

    /// A machine that has not been reached for this long and has not responded to commands is released.
    pub fn release_unreachable_after(&self) -> Duration {
        Duration::from_secs_f64(self.max_heartbeat_interval_s() + RELEASE_MARGIN_S)
    }

    /// Time after the last response to a worker at which its lease has certainly expired: the worker's clock may run as
    /// slow as this node's clock runs fast, and the worker's process may act late.
    pub fn lease_expired_after(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s * LEASE_DRIFT_FACTOR + LEASE_MARGIN_S)
    }

    /// Time after which the silence of this many workers that send heartbeats regularly is not a coincidence: each
    /// worker sends one within the maximum interval, and among many workers some send one in a small part of it.
    pub fn silence_timeout(&self, workers: usize) -> Duration {
        let max_expected_gap_s = SILENCE_INTERVALS * self.report_s / workers.max(1) as f64;
        let max_silence_s = (self.max_heartbeat_interval_s() + UNREACHABLE_MARGIN_S).max(MIN_SILENCE_S);
        Duration::from_secs_f64(max_expected_gap_s.clamp(MIN_SILENCE_S, max_silence_s))
    }

    /// Time for which the tasks of a gang wait for each other.
    pub fn gang_wait_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.gang_wait_s)
    }

    /// Maximum interval between two heartbeats of a healthy worker, in seconds.
    fn max_heartbeat_interval_s(&self) -> f64 {
        self.report_s * MAX_INTERVAL_FACTOR
    }
}

/// Maximum interval between two heartbeats, as a multiple of the configured interval.
const MAX_INTERVAL_FACTOR: f64 = 1.25;
/// Delay of a heartbeat, in seconds, that does not yet make its machine unreachable.
const UNREACHABLE_MARGIN_S: f64 = 0.5;
/// Delay of a heartbeat, in seconds, after which its machine may be released.
const RELEASE_MARGIN_S: f64 = 1.5;
/// Maximum ratio of a lease's duration by this node's clock to that by a worker's clock.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
/// Maximum delay, in seconds, with which a worker acts on the expiry of its lease.
const LEASE_MARGIN_S: f64 = 1.5;
/// Number of expected heartbeats, over all workers together, whose absence is not a coincidence.
const SILENCE_INTERVALS: f64 = 20.0;
/// Minimum duration of a silence that is significant, in seconds.
const MIN_SILENCE_S: f64 = 1.5;

/// Limits of the state service, which all nodes share.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of writes per second.
    pub write_rps: f64,
    /// Maximum size of a value in kB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
    /// Limits that will replace these at an unknown time, without notice; `None` if no change is planned.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the state service; a limit that is `None` stays unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Maximum number of requests per second.
    pub rps: Option<f64>,
    /// Maximum number of writes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value in kB.
    pub value_kb: Option<f64>,
    /// Maximum number of operations in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Maximum size of a value in kB that is accepted under both the current and the future limits.
    pub fn guaranteed_value_kb(&self) -> f64 {
        self.next.as_ref().and_then(|n| n.value_kb).map_or(self.value_kb, |kb| kb.min(self.value_kb))
    }
    /// Maximum number of operations in a transaction that is accepted under both the current and the future limits.
    pub fn guaranteed_txn_ops(&self) -> usize {
        self.next.as_ref().and_then(|n| n.txn_ops).map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }
    /// Maximum number of writes per second: the current limit, and the one that applies once the state service rejects
    /// writes as too many.
    pub fn write_rates(&self) -> (f64, f64) {
        let future_rps = self.next.as_ref().and_then(|n| n.write_rps).unwrap_or(self.write_rps);
        (self.write_rps, future_rps.min(self.write_rps))
    }
}

/// Limits of the cloud, which all nodes share.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum delay in seconds with which changes appear in the cloud's list of machines.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Resource limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Available CPU as a share of a core.
    #[serde(default = "default_cpu")]
    pub cpu: f64,
    /// Memory limit in MB.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// Maximum number of file descriptors, most of which are sockets.
    #[serde(default = "default_fds")]
    pub fd_limit: u64,
}

impl ProcessLimits {
    /// Maximum number of direct commands in flight; most sockets are reserved for workers and users.
    pub fn max_concurrent_commands(&self) -> usize {
        (self.fd_limit / 12).clamp(8, 200) as usize
    }
    /// Maximum number of open jobs: those that fit into the memory that remains when all connections are in use. The
    /// earlier limit of 250 jobs for each MB exceeded 37 MB of memory beside 900 connections.
    pub fn max_open_jobs(&self) -> usize {
        let remaining_mb = self.memory_mb - BASE_MB - self.max_connections() as f64 * CONNECTION_MB;
        (remaining_mb.max(self.memory_mb / 8.0) / JOB_MB) as usize
    }
    /// Maximum number of inputs that are queued for the core; requests beyond it are rejected. Each connection has at
    /// most one request in flight.
    pub fn max_queued_inputs(&self) -> usize {
        self.max_connections().max(MIN_QUEUED_INPUTS)
    }
    /// Maximum number of connections that are accepted from workers and users; the other sockets are reserved for the
    /// state service, the cloud, commands to workers, and peers.
    pub fn max_connections(&self) -> usize {
        let reserved = 2 * self.max_concurrent_commands() as u64 + 50;
        self.fd_limit.saturating_sub(reserved).max(16) as usize
    }
}

/// Memory of a node before its first connection, including a margin, in MB.
pub(super) const BASE_MB: f64 = 8.0;

/// Maximum memory of a connection, in MB.
pub(super) const CONNECTION_MB: f64 = 0.02;

/// Memory of an open job including its tasks, in MB.
pub(super) const JOB_MB: f64 = 0.003;

/// Minimum queue capacity for inputs, however few sockets there are: responses of workers and the cloud are queued as
/// well.
const MIN_QUEUED_INPUTS: usize = 2048;

fn default_gang_wait() -> f64 {
    30.0
}

fn default_gang_peer() -> f64 {
    5.0
}

fn default_fds() -> u64 {
    512
}

fn default_cpu() -> f64 {
    1.0
}

fn default_memory() -> f64 {
    64.0
}
