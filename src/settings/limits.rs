//! Worker timing, and the limits of the state service, the cloud and this process.

use crate::types::Duration;
use serde::Deserialize;

/// Worker timing.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Interval of heartbeats, in seconds.
    pub report_s: f64,
    /// How long a worker's lease lasts, in seconds.
    pub lease_s: f64,
    /// Seconds until a cancelled job's tasks must be gone.
    pub cancel_s: f64,
    /// Seconds after which a task gives up waiting for the other tasks of its gang.
    #[serde(default = "default_gang_wait")]
    pub gang_wait_s: f64,
    /// Seconds within which tasks of a gang notice that another is gone, and within which all must be told to stop.
    #[serde(default = "default_gang_peer")]
    pub gang_peer_s: f64,
}

impl WorkerTiming {
    /// A machine that nothing has reached for this long gets no further tasks: two heartbeat intervals and a margin.
    pub fn heartbeat_overdue_after(&self) -> Duration {
        Duration::from_secs_f64(self.report_s * 2.0 + 2.0)
    }

    /// A machine that nothing has reached for this long is unreached: the longest interval between two heartbeats and a margin.
    pub fn unreachable_after(&self) -> Duration {
        Duration::from_secs_f64(self.max_heartbeat_interval_s() + UNREACHABLE_MARGIN_S)
    }

    /// An unreached machine that leaves commands unanswered is given back after this time.
    pub fn release_unreachable_after(&self) -> Duration {
        Duration::from_secs_f64(self.max_heartbeat_interval_s() + RELEASE_MARGIN_S)
    }

    /// A worker's lease has surely expired this long after the last answer to it: its clock may run slow by as much as ours
    /// runs fast, and a process may be late.
    pub fn lease_expired_after(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s * LEASE_DRIFT_FACTOR + LEASE_MARGIN_S)
    }

    /// When this many workers that send heartbeats regularly are silent for this long, it is not by chance: each sends one
    /// within the longest interval, and of many some do in a small part of it.
    pub fn silence_timeout(&self, workers: usize) -> Duration {
        let likely_gap_s = SILENCE_INTERVALS * self.report_s / workers.max(1) as f64;
        let longest_s = (self.max_heartbeat_interval_s() + UNREACHABLE_MARGIN_S).max(MIN_SILENCE_S);
        Duration::from_secs_f64(likely_gap_s.clamp(MIN_SILENCE_S, longest_s))
    }

    /// How long the tasks of a gang wait for each other.
    pub fn gang_wait_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.gang_wait_s)
    }

    /// How late a copy of a message may arrive: well over a lease. With two leases a copy of a start that came 35 s late, at a
    /// lease of 16 s, found its attempt forgotten and ran it again.
    pub fn duplicate_delay_limit(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s * DUPLICATE_DELAY_LEASES)
    }

    /// The longest interval between two heartbeats of a worker that is well.
    fn max_heartbeat_interval_s(&self) -> f64 {
        self.report_s * MAX_INTERVAL_FACTOR
    }
}

/// The longest interval between two heartbeats, in heartbeat intervals.
const MAX_INTERVAL_FACTOR: f64 = 1.25;
/// Delay of a heartbeat that is not taken for silence, in seconds.
const UNREACHABLE_MARGIN_S: f64 = 0.5;
/// Delay of a heartbeat before its machine may be given back, in seconds.
const RELEASE_MARGIN_S: f64 = 1.5;
/// How much longer a lease may last by a worker's clock than by ours.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
/// How late a worker may act on the end of its lease, in seconds.
const LEASE_MARGIN_S: f64 = 1.5;
/// Heartbeat intervals, shared by all workers, without a heartbeat that are not by chance.
const SILENCE_INTERVALS: f64 = 20.0;
/// The shortest silence that means something, in seconds.
const MIN_SILENCE_S: f64 = 1.5;
/// How late a copy of a message may arrive, in leases.
const DUPLICATE_DELAY_LEASES: f64 = 2.5;

/// Limits of the state service, shared by all nodes.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Limits that come into force at some moment, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits that the state service will have; what is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Changes per second.
    pub write_rps: Option<f64>,
    /// Largest value.
    pub value_kb: Option<f64>,
    /// Most changes in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The largest value that is taken now and later.
    pub fn guaranteed_value_kb(&self) -> f64 {
        self.next.as_ref().and_then(|n| n.value_kb).map_or(self.value_kb, |kb| kb.min(self.value_kb))
    }
    /// The most changes of a transaction that is taken now and later.
    pub fn guaranteed_txn_ops(&self) -> usize {
        self.next.as_ref().and_then(|n| n.txn_ops).map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }
    /// Changes per second now, and once the state service says that they are too many.
    pub fn write_rates(&self) -> (f64, f64) {
        let later = self.next.as_ref().and_then(|n| n.write_rps).unwrap_or(self.write_rps);
        (self.write_rps, later.min(self.write_rps))
    }
}

/// Limits of the cloud, shared by all nodes.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How late its list is.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of a core.
    #[serde(default = "default_cpu")]
    pub cpu: f64,
    /// Memory.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// Sockets.
    #[serde(default = "default_fds")]
    pub fd_limit: u64,
}

impl ProcessLimits {
    /// Direct commands that may be under way at once: most sockets are for workers and users.
    pub fn max_concurrent_commands(&self) -> usize {
        (self.fd_limit / 12).clamp(8, 200) as usize
    }
    /// Jobs that are kept open: what is left of the memory with all connections in use. 250 for each MB, as it was,
    /// was more than 37 MB hold beside 900 connections.
    pub fn max_open_jobs(&self) -> usize {
        let left = self.memory_mb - BASE_MB - self.max_connections() as f64 * CONNECTION_MB;
        (left.max(self.memory_mb / 8.0) / JOB_MB) as usize
    }
    /// Inputs that may wait for the core; beyond it, requests are refused. Each connection has one under way at the most.
    pub fn max_queued_inputs(&self) -> usize {
        self.max_connections().max(MIN_QUEUED_INPUTS)
    }
    /// Connections that are taken from workers and users; the others are for the state service, the
    /// cloud, commands to workers, and peers.
    pub fn max_connections(&self) -> usize {
        let reserved = 2 * self.max_concurrent_commands() as u64 + 50;
        self.fd_limit.saturating_sub(reserved).max(16) as usize
    }
}

/// What a node holds before its first connection, in MB, with a margin.
pub(super) const BASE_MB: f64 = 8.0;

/// What a connection holds at the most.
pub(super) const CONNECTION_MB: f64 = 0.02;

/// What an open job holds, its tasks among it.
pub(super) const JOB_MB: f64 = 0.003;

/// Inputs that may wait however few sockets there are: answers of workers and the cloud are among them.
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
