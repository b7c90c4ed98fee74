//! What a node is told at its start: the platform's TOML and the operators' INI.

use crate::types::Duration;
use caperstile_admission::{AdmissionPolicy, AdmissionPolicyError};
use caperstile_disruption::{Policy, PolicyError, Section, policy_parser};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::Path;

mod limits;
mod tuning;

pub use limits::{CloudLimits, NextLimits, ProcessLimits, StateLimits, WorkerTiming};
pub use tuning::Tuning;

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
    /// A setting of admission cannot be used.
    #[error("operators' settings: {0}")]
    Admission(#[from] AdmissionPolicyError),
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
    pub external: ExternalServices,
    /// Facts of this deployment.
    pub deployment: Deployment,
    /// Operators' own settings.
    #[serde(skip)]
    pub tuning: Tuning,
    /// The teams' disruption budgets, from the same file.
    #[serde(skip)]
    pub policy: Policy,
    /// How submissions are refused under overload, from the same file.
    #[serde(skip)]
    pub admission: AdmissionPolicy,
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
pub struct ExternalServices {
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
    pub workers: WorkerTiming,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub resources: ProcessLimits,
}

impl Deployment {
    /// Classes with an aim at starting within less than this.
    pub fn classes_with_wait_objective_below(&self, limit: Duration) -> BTreeSet<String> {
        let soon = |o: &&Objective| {
            o.kind == "wait" && o.within_s.is_some_and(|within| Duration::from_secs_f64(within) < limit)
        };
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

/// With fewer sockets a node cannot serve users, workers, the other nodes and the services outside.
const MIN_FDS: u64 = 32;
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
            settings.admission = settings.parse_admission(&text)?;
        }
        Ok(settings)
    }

    /// Reads and checks those settings of the operators' INI again that may change while a node runs.
    pub fn reload(&self, operators: &Path) -> Result<(Policy, AdmissionPolicy), SettingsError> {
        let text = read(operators)?;
        Tuning::parse(&text)?;
        Ok((self.parse_policy(&text)?, self.parse_admission(&text)?))
    }

    /// Reads the settings of admission in the text of the operators' INI.
    pub fn parse_admission(&self, text: &str) -> Result<AdmissionPolicy, SettingsError> {
        let ini = ini::Ini::load_from_str(text).map_err(|e| SettingsError::Ini(e.to_string()))?;
        let teams = self.team_names();
        let mut admission = AdmissionPolicy::default();
        for (section, properties) in &ini {
            let section = section.unwrap_or("");
            if AdmissionPolicy::is_section(section) {
                for (key, value) in properties {
                    admission.set(section, key, value, &teams)?;
                }
            }
        }
        Ok(admission)
    }

    fn team_names(&self) -> BTreeSet<String> {
        self.deployment.teams.iter().map(|team| team.name.clone()).collect()
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
            .filter(|section| policy_parser::is_section(&section.name))
            .collect();
        let clock_error = Duration::from_secs_f64(self.deployment.clock_error_ms / 1000.0);
        Ok(policy_parser::parse(&sections, &self.team_names(), clock_error)?)
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
        if d.resources.fd_limit < MIN_FDS {
            return Err(field("deployment.resources.fd_limit", format!("must be at least {MIN_FDS}")));
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
