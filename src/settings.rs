//! The settings of a node: the platform's file (TOML) and the operators' file (INI).

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

/// An error in the settings; it names the invalid field where there is one.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A settings file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The platform's file does not have the structure that DEPLOY describes.
    #[error("settings: {0}")]
    Toml(String),
    /// A field has an invalid value.
    #[error("settings: field `{field}`: {problem}")]
    Field {
        /// Path of the field, such as `deployment.cloud.rps`.
        field: String,
        /// Why the value is invalid.
        problem: String,
    },
    /// The operators' file is not valid INI.
    #[error("operators' settings: {0}")]
    Ini(String),
    /// A setting of the disruption budgets is invalid.
    #[error("operators' settings: {0}")]
    Budget(#[from] PolicyError),
    /// A setting of admission control is invalid.
    #[error("operators' settings: {0}")]
    Admission(#[from] AdmissionPolicyError),
}

fn invalid(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
    SettingsError::Field { field: field.into(), problem: problem.into() }
}

/// The settings of a node.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this node.
    pub node: String,
    /// Zone in which this node runs; may be empty.
    #[serde(default)]
    pub area: String,
    /// Address on which the HTTP API for users, workers and health checks listens.
    pub api_addr: SocketAddrV4,
    /// Address on which this node accepts links from the other controllers.
    pub peer_bind: SocketAddrV4,
    /// The other controllers of the deployment.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Addresses of external services.
    pub external: ExternalServices,
    /// Description of the deployment: its teams, objectives and limits.
    pub deployment: Deployment,
    /// Tuning parameters from the operators' file; defaults without one.
    #[serde(skip)]
    pub tuning: Tuning,
    /// The teams' disruption budgets from the operators' file.
    #[serde(skip)]
    pub policy: Policy,
    /// Policy for refusing submissions under overload, from the operators' file.
    #[serde(skip)]
    pub admission: AdmissionPolicy,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Name of the node.
    pub node: String,
    /// Zone in which the node runs; may be empty.
    #[serde(default)]
    pub area: String,
    /// Address on which the node accepts links from other controllers.
    pub address: SocketAddrV4,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud's API.
    pub cloud: SocketAddrV4,
    /// Address of the state service.
    pub state: SocketAddrV4,
}

/// Description of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    #[serde(default)]
    pub size: u32,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives for starting and finishing jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of the workers.
    pub workers: WorkerTiming,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resource limits of this process.
    pub resources: ProcessLimits,
}

impl Deployment {
    /// Returns the job classes with a `wait` objective shorter than `limit`.
    pub fn classes_with_wait_objective_below(&self, limit: Duration) -> BTreeSet<String> {
        let is_below_limit = |objective: &&Objective| {
            objective.kind == "wait" && objective.within_s.is_some_and(|within| Duration::from_secs_f64(within) < limit)
        };
        self.objectives.iter().filter(is_below_limit).map(|objective| objective.class.clone()).collect()
    }
}

/// A team with its guaranteed resources and its quotas, the maximum resources; 0 means no guarantee or no quota.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective (SLO) for the jobs of a class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective, such as `wait`, `deadline` or `finished`.
    pub kind: String,
    /// Job class to which the objective applies.
    #[serde(default)]
    pub class: String,
    /// Time limit in seconds; `None` if the kind has none.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet the objective, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// Minimum number of file descriptors: with fewer, a node cannot serve users, workers, the other nodes and the external
/// services.
const MIN_FDS: u64 = 32;
fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.display().to_string(), e))
}

impl Settings {
    /// Reads and validates the platform's file and, if `operators` is given, the operators' file.
    pub fn load(file: &Path, operators: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read_file(file)?)?;
        if let Some(path) = operators {
            let text = read_file(path)?;
            settings.tuning = Tuning::parse(&text)?;
            settings.policy = settings.parse_policy(&text)?;
            settings.admission = settings.parse_admission(&text)?;
        }
        Ok(settings)
    }

    /// Reads and validates the operators' file again and returns those settings that may change while a node runs.
    pub fn reload(&self, operators: &Path) -> Result<(Policy, AdmissionPolicy), SettingsError> {
        let text = read_file(operators)?;
        Tuning::parse(&text)?;
        Ok((self.parse_policy(&text)?, self.parse_admission(&text)?))
    }

    /// Parses the admission settings in the text of the operators' file.
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

    /// Parses the disruption budgets in the text of the operators' file.
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

    /// Parses and validates the text of the platform's file.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Toml(e.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        if self.node.is_empty() {
            return Err(invalid("node", "must not be empty"));
        }
        let deployment = &self.deployment;
        let positive = [
            ("deployment.workers.report_s", deployment.workers.report_s),
            ("deployment.workers.lease_s", deployment.workers.lease_s),
            ("deployment.workers.cancel_s", deployment.workers.cancel_s),
            ("deployment.workers.gang_wait_s", deployment.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", deployment.workers.gang_peer_s),
            ("deployment.state.rps", deployment.state.rps),
            ("deployment.state.write_rps", deployment.state.write_rps),
            ("deployment.state.value_kb", deployment.state.value_kb),
            ("deployment.cloud.rps", deployment.cloud.rps),
            ("deployment.resources.cpu", deployment.resources.cpu),
            ("deployment.resources.memory_mb", deployment.resources.memory_mb),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(invalid(name, format!("{value} is not a positive number")));
            }
        }
        if deployment.resources.fd_limit < MIN_FDS {
            return Err(invalid("deployment.resources.fd_limit", format!("must be at least {MIN_FDS}")));
        }
        let next = deployment.state.next.clone().unwrap_or_default();
        for (name, value) in [("rps", next.rps), ("write_rps", next.write_rps), ("value_kb", next.value_kb)] {
            if let Some(value) = value.filter(|v| !(v.is_finite() && *v > 0.0)) {
                return Err(invalid(
                    format!("deployment.state.next.{name}"),
                    format!("{value} is not a positive number"),
                ));
            }
        }
        for (name, ops) in [("txn_ops", Some(deployment.state.txn_ops)), ("next.txn_ops", next.txn_ops)] {
            if ops.is_some_and(|ops| ops < 2) {
                return Err(invalid(format!("deployment.state.{name}"), "must be at least 2"));
            }
        }
        for (i, seed) in self.seeds.iter().enumerate() {
            if seed.node == self.node || self.seeds[..i].iter().any(|s| s.node == seed.node) {
                return Err(invalid(format!("seeds[{i}].node"), format!("`{}` is named twice", seed.node)));
            }
        }
        for (i, team) in deployment.teams.iter().enumerate() {
            if deployment.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(invalid(format!("deployment.teams[{i}].name"), format!("`{}` is named twice", team.name)));
            }
            for (name, value) in
                [("cpus", team.cpus), ("cpus_max", team.cpus_max), ("gpus", team.gpus), ("gpus_max", team.gpus_max)]
            {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(invalid(format!("deployment.teams[{i}].{name}"), format!("{value} is not an amount")));
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
pub(crate) mod tests;
