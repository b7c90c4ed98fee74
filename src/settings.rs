//! What a node is told at its start: the platform's TOML and the operators' INI.

use crate::units::Duration;
use caperstile_disruption::{Policy, PolicyError, Section, policy};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::Path;

/// Settings that cannot be used, with the field at fault.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The platform's file is not what DEPLOY describes.
    #[error("settings: {0}")]
    Toml(String),
    /// A field has a value that cannot be used.
    #[error("settings: field `{field}`: {problem}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The operators' file is malformed.
    #[error("operators' settings: {0}")]
    Ini(String),
    /// A disruption budget cannot be used.
    #[error("operators' settings: {0}")]
    Budget(#[from] PolicyError),
}

fn field(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
    SettingsError::Field { field: field.into(), problem: problem.into() }
}

/// The platform's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub node: String,
    /// The zone it runs in.
    #[serde(default)]
    pub area: String,
    /// Address for users, workers and health checks.
    pub api_addr: SocketAddrV4,
    /// Address for other controllers.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Outside services.
    pub external: External,
    /// Facts of this deployment.
    pub deployment: Deployment,
    /// Operators' own settings.
    #[serde(skip)]
    pub tuning: Tuning,
    /// The teams' disruption budgets, from the same file.
    #[serde(skip)]
    pub policy: Policy,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Name.
    pub node: String,
    /// Its zone.
    #[serde(default)]
    pub area: String,
    /// Peer address.
    pub address: SocketAddrV4,
}

/// Addresses of the services outside.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// Cloud API.
    pub cloud: SocketAddrV4,
    /// State service.
    pub state: SocketAddrV4,
}

/// Facts of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    #[serde(default)]
    pub size: u32,
    /// How far the time of day may be off.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Aims at starting and finishing.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Worker timing.
    pub workers: WorkerTimes,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub resources: ProcessLimits,
}

impl Deployment {
    /// Classes with an aim at starting within less than this.
    pub fn classes_to_start_within(&self, limit: Duration) -> BTreeSet<String> {
        let soon = |o: &&Objective| o.kind == "wait" && o.within_s.is_some_and(|within| Duration::secs(within) < limit);
        self.objectives.iter().filter(soon).map(|o| o.class.clone()).collect()
    }
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim at starting or finishing the jobs of a class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait`, `deadline` or `finished`.
    pub kind: String,
    /// Class of jobs.
    #[serde(default)]
    pub class: String,
    /// Time allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share that must make it.
    #[serde(default)]
    pub share: f64,
}

/// Worker timing.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Interval of reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// Time until a cancelled job's tasks must be gone.
    pub cancel_s: f64,
    /// Time after which a task gives up waiting for the other tasks of its gang.
    #[serde(default = "default_gang_wait")]
    pub gang_wait_s: f64,
    /// Time within which tasks of a gang notice that another is gone, and within which all must be told to stop.
    #[serde(default = "default_gang_peer")]
    pub gang_peer_s: f64,
}

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
    pub fn value_kb_always(&self) -> f64 {
        self.next.as_ref().and_then(|n| n.value_kb).map_or(self.value_kb, |kb| kb.min(self.value_kb))
    }
    /// The most changes of a transaction that is taken now and later.
    pub fn txn_ops_always(&self) -> usize {
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

impl WorkerTimes {
    /// A machine that nothing has reached for so long gets no further tasks: two reports and a little.
    pub fn overdue(&self) -> Duration {
        Duration::secs(self.report_s * 2.0 + 2.0)
    }

    /// When so many workers that report regularly are silent for so long, it is not by chance: each reports
    /// within the longest interval, and of many some do in a small part of it.
    pub fn silence(&self, workers: usize) -> Duration {
        let gaps = 20.0 * self.report_s / workers.max(1) as f64;
        Duration::secs(gaps.clamp(1.5, (self.report_s * 1.25 + 0.5).max(1.5)))
    }

    /// How long the tasks of a gang wait for each other.
    pub fn gang_wait(&self) -> Duration {
        Duration::secs(self.gang_wait_s)
    }

    /// A copy of a message may come well over a lease late; after this time none is expected any more. With two leases a copy of a start
    /// that came 35 s late, at a lease of 16 s, found its attempt forgotten and ran it again.
    pub fn copies_over(&self) -> Duration {
        Duration::secs(self.lease_s * 2.5)
    }
}

impl ProcessLimits {
    /// Direct commands that may be under way at once: most sockets are for workers and users.
    pub fn commands_at_once(&self) -> usize {
        (self.fd_limit / 12).clamp(8, 200) as usize
    }
    /// Jobs that are kept open: what is left of the memory with all connections in use. 250 for each MB, as it was,
    /// was more than 37 MB hold beside 900 connections.
    pub fn open_jobs(&self) -> usize {
        let left = self.memory_mb - BASE_MB - self.connections() as f64 * CONNECTION_MB;
        (left.max(self.memory_mb / 8.0) / JOB_MB) as usize
    }
    /// Inputs that may wait for the core; beyond it, requests are refused. Each connection has one under way at the most.
    pub fn inputs_waiting(&self) -> usize {
        self.connections().max(FEWEST_INPUTS)
    }
    /// Connections that are taken from workers and users; the others are for the state service, the
    /// cloud, commands to workers, and peers.
    pub fn connections(&self) -> usize {
        let reserved = 2 * self.commands_at_once() as u64 + 50;
        self.fd_limit.saturating_sub(reserved).max(16) as usize
    }
}

/// With fewer sockets a node cannot serve users, workers, the other nodes and the services outside.
const FEWEST_FDS: u64 = 32;
/// Inputs that may wait however few sockets there are: answers of workers and the cloud are among them.
const FEWEST_INPUTS: usize = 2048;
/// What a node holds before its first connection, in MB, with a margin.
const BASE_MB: f64 = 8.0;
/// What a connection holds at the most.
const CONNECTION_MB: f64 = 0.02;
/// What an open job holds, its tasks among it.
const JOB_MB: f64 = 0.003;

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

/// The operators' own settings, read from an INI file; each has a default.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Life of the leadership lease.
    pub leader_lease: Duration,
    /// Least time between two commits.
    pub commit_every: Duration,
    /// How long an idle ordinary machine is kept.
    pub idle_ordinary: Duration,
    /// How long an idle spot machine is kept.
    pub idle_spot: Duration,
    /// Log entries between two snapshots.
    pub snapshot_every: u64,
    /// Ordinary machines are paid for tasks that could wait only for aims of at least this share.
    pub strict_aim: f64,
    /// Room is kept for so many times the services that are likely to come within a boot: they come in
    /// bursts, and dying machines need it too.
    pub room_ahead: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            leader_lease: Duration(1500),
            commit_every: Duration(150),
            idle_ordinary: Duration(25_000),
            idle_spot: Duration(12_000),
            snapshot_every: 200,
            strict_aim: 0.875,
            room_ahead: 3.0,
        }
    }
}

impl Tuning {
    /// Reads the operators' INI; unknown sections and names are errors, since they are typing slips.
    pub fn parse(text: &str) -> Result<Tuning, SettingsError> {
        let ini = ini::Ini::load_from_str(text).map_err(|e| SettingsError::Ini(e.to_string()))?;
        let mut tuning = Tuning::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            if policy::is_section(section) {
                continue;
            }
            for (name, value) in properties.iter() {
                let path = format!("{section}.{name}");
                let within = |what: &str, low: f64, high: f64| -> Result<f64, SettingsError> {
                    match value.parse::<f64>() {
                        Ok(v) if v >= low && v <= high => Ok(v),
                        _ => Err(field(path.clone(), format!("`{value}` is not a {what} from {low} to {high}"))),
                    }
                };
                let number = |low, high| within("number", low, high);
                let seconds = |low, high| Ok::<_, SettingsError>(Duration::secs(within("time in seconds", low, high)?));
                match path.as_str() {
                    "leadership.lease_s" => tuning.leader_lease = seconds(0.5, 60.0)?,
                    "records.commit_every_s" => tuning.commit_every = seconds(0.02, 2.0)?,
                    "records.snapshot_entries" => {
                        tuning.snapshot_every = match value.parse() {
                            Ok(v) if (10..=100_000).contains(&v) => v,
                            _ => return Err(field(path, format!("`{value}` is not a count from 10 to 100000"))),
                        }
                    }
                    "fleet.idle_ordinary_s" => tuning.idle_ordinary = seconds(0.0, 86_400.0)?,
                    "fleet.strict_aim" => tuning.strict_aim = number(0.0, 1.0)?,
                    "fleet.room_ahead" => tuning.room_ahead = number(0.0, 100.0)?,
                    "fleet.idle_spot_s" => tuning.idle_spot = seconds(0.0, 86_400.0)?,
                    _ => return Err(field(path, "not a known setting")),
                }
            }
        }
        Ok(tuning)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.display().to_string(), e))
}

impl Settings {
    /// Reads and checks the platform's file and, if named, the operators' INI.
    pub fn load(file: &Path, operators: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read(file)?)?;
        if let Some(path) = operators {
            let text = read(path)?;
            settings.tuning = Tuning::parse(&text)?;
            settings.policy = settings.parse_policy(&text)?;
        }
        Ok(settings)
    }

    /// Reads and checks the disruption budgets of the operators' INI again.
    pub fn load_policy(&self, operators: &Path) -> Result<Policy, SettingsError> {
        let text = read(operators)?;
        Tuning::parse(&text)?;
        self.parse_policy(&text)
    }

    /// Reads the disruption budgets in the text of the operators' INI.
    pub fn parse_policy(&self, text: &str) -> Result<Policy, SettingsError> {
        let ini = ini::Ini::load_from_str(text).map_err(|e| SettingsError::Ini(e.to_string()))?;
        let entries = |properties: &ini::Properties| {
            properties.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
        };
        let sections: Vec<Section> = ini
            .iter()
            .map(|(name, properties)| Section { name: name.unwrap_or("").into(), entries: entries(properties) })
            .filter(|section| policy::is_section(&section.name))
            .collect();
        let teams = self.deployment.teams.iter().map(|team| team.name.clone()).collect();
        let clock_error = Duration::secs(self.deployment.clock_error_ms / 1000.0);
        Ok(policy::parse(&sections, &teams, clock_error)?)
    }

    /// Reads and checks the platform's TOML.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Toml(e.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.node.is_empty() {
            return Err(field("node", "must not be empty"));
        }
        let d = &self.deployment;
        let positive = [
            ("deployment.workers.report_s", d.workers.report_s),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.workers.gang_wait_s", d.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", d.workers.gang_peer_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.resources.cpu", d.resources.cpu),
            ("deployment.resources.memory_mb", d.resources.memory_mb),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(field(name, format!("{value} is not a positive number")));
            }
        }
        if d.resources.fd_limit < FEWEST_FDS {
            return Err(field("deployment.resources.fd_limit", format!("must be at least {FEWEST_FDS}")));
        }
        let next = d.state.next.clone().unwrap_or_default();
        for (name, value) in [("rps", next.rps), ("write_rps", next.write_rps), ("value_kb", next.value_kb)] {
            if let Some(value) = value.filter(|v| !(v.is_finite() && *v > 0.0)) {
                return Err(field(
                    format!("deployment.state.next.{name}"),
                    format!("{value} is not a positive number"),
                ));
            }
        }
        for (name, ops) in [("txn_ops", Some(d.state.txn_ops)), ("next.txn_ops", next.txn_ops)] {
            if ops.is_some_and(|ops| ops < 2) {
                return Err(field(format!("deployment.state.{name}"), "must be at least 2"));
            }
        }
        for (i, seed) in self.seeds.iter().enumerate() {
            if seed.node == self.node || self.seeds[..i].iter().any(|s| s.node == seed.node) {
                return Err(field(format!("seeds[{i}].node"), format!("`{}` is named twice", seed.node)));
            }
        }
        for (i, team) in d.teams.iter().enumerate() {
            if d.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(field(format!("deployment.teams[{i}].name"), format!("`{}` is named twice", team.name)));
            }
            for (name, value) in
                [("cpus", team.cpus), ("cpus_max", team.cpus_max), ("gpus", team.gpus), ("gpus_max", team.gpus_max)]
            {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(field(format!("deployment.teams[{i}].{name}"), format!("{value} is not an amount")));
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
pub(crate) mod tests;
