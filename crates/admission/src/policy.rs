//! Operators' settings of admission, read from sections of their INI file.

use caperstile_types::Duration;
use std::collections::{BTreeMap, BTreeSet};

const SECTION: &str = "admission";
const TEAM_SECTION: &str = "admission team ";
/// Weight of a team that is not named.
const DEFAULT_WEIGHT: f64 = 1.0;
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// Users give up after 60 s, so a longer wait would serve nobody.
const WAITS_S: std::ops::RangeInclusive<f64> = 5.0..=50.0;

/// When submissions are refused because the jobs of their pair wait too long for machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BacklogBound {
    /// Never.
    Never,
    /// While the controllers are overloaded: long queues cost them most, and what waits longest gains least by being accepted.
    WhileOverloaded,
    /// Whenever they wait too long.
    Always,
}

impl BacklogBound {
    fn parse(value: &str) -> Result<BacklogBound, String> {
        match value {
            "never" => Ok(BacklogBound::Never),
            "overload" => Ok(BacklogBound::WhileOverloaded),
            "always" => Ok(BacklogBound::Always),
            _ => Err(format!("`{value}` is none of never, overload and always")),
        }
    }
}

/// What operators say of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionPolicy {
    /// Whether an overloaded leader refuses submissions by a table.
    pub enabled: bool,
    /// When submissions are also refused because the jobs of their pair wait too long for machines.
    pub backlog_bound: BacklogBound,
    /// A pair that asked for so long without an admitted job is admitted in full, unless more pairs wait than can be served in that time.
    pub max_wait: Duration,
    weights: BTreeMap<String, f64>,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        AdmissionPolicy {
            enabled: true,
            backlog_bound: BacklogBound::WhileOverloaded,
            max_wait: Duration::from_secs(20),
            weights: BTreeMap::new(),
        }
    }
}

/// Why a setting cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {key}: {reason}")]
pub struct AdmissionPolicyError {
    /// Section.
    pub section: String,
    /// Key.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl AdmissionPolicy {
    /// Whether a section of the operators' file belongs to admission.
    pub fn is_section(name: &str) -> bool {
        name == SECTION || name.starts_with(TEAM_SECTION)
    }

    /// A team's weight.
    pub fn weight(&self, team: &str) -> f64 {
        self.weights.get(team).copied().unwrap_or(DEFAULT_WEIGHT)
    }

    /// Reads one setting; `teams` are those of the deployment.
    pub fn set(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        teams: &BTreeSet<String>,
    ) -> Result<(), AdmissionPolicyError> {
        let error = |reason: String| AdmissionPolicyError { section: section.into(), key: key.into(), reason };
        if let Some(team) = section.strip_prefix(TEAM_SECTION).map(str::trim) {
            if !teams.contains(team) {
                return Err(error(format!("there is no team `{team}`")));
            }
            if key != "weight" {
                return Err(error("not a known setting".into()));
            }
            let weight = within(value, WEIGHTS).map_err(error)?;
            self.weights.insert(team.to_string(), weight);
            return Ok(());
        }
        match key {
            "enabled" => self.enabled = yes_or_no(value).map_err(error)?,
            "bound_backlog" => self.backlog_bound = BacklogBound::parse(value).map_err(error)?,
            "max_wait_s" => self.max_wait = Duration::from_secs_f64(within(value, WAITS_S).map_err(error)?),
            _ => return Err(error("not a known setting".into())),
        }
        Ok(())
    }
}

fn yes_or_no(value: &str) -> Result<bool, String> {
    match value {
        "yes" | "true" => Ok(true),
        "no" | "false" => Ok(false),
        _ => Err(format!("`{value}` is neither yes nor no")),
    }
}

fn within(value: &str, range: std::ops::RangeInclusive<f64>) -> Result<f64, String> {
    match value.parse::<f64>() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(format!("`{value}` is not a number from {} to {}", range.start(), range.end())),
    }
}
