//! Operators' settings of admission control, which are read from sections of their INI file.

use caperstile_types::Duration;
use std::collections::{BTreeMap, BTreeSet};

const SECTION: &str = "admission";
const TEAM_SECTION: &str = "admission team ";
/// Weight of a team without a section of its own.
const DEFAULT_WEIGHT: f64 = 1.0;
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// Accepted range of `max_wait_s`. Users stop retrying after 60 s, so a longer wait would not help any of them.
const WAITS_S: std::ops::RangeInclusive<f64> = 5.0..=50.0;

/// When submissions are refused because jobs of the same team and class wait too long for machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BacklogBound {
    /// A backlog never causes refusals.
    Never,
    /// A backlog causes refusals only while the controllers are overloaded: long queues of pending tasks cost the
    /// controllers most, and accepting a job gains least where it would wait longest.
    WhileOverloaded,
    /// A backlog causes refusals whenever the predicted wait is too long, also without overload.
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

/// Operators' settings of admission control.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionPolicy {
    /// Whether the leader limits submissions at all.
    pub enabled: bool,
    /// When submissions are also refused because jobs of the same pair wait too long for machines.
    pub backlog_bound: BacklogBound,
    /// Time after which a pair that submits jobs but has had none admitted is admitted in full. If more pairs are in
    /// this state than the limit allows to serve within that time, some of them are admitted later.
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

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {key}: {reason}")]
pub struct AdmissionPolicyError {
    /// Section of the file that contains the setting, without brackets.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Why the setting is invalid.
    pub reason: String,
}

impl AdmissionPolicy {
    /// Whether a section of the operators' file belongs to admission control.
    pub fn is_section(name: &str) -> bool {
        name == SECTION || name.starts_with(TEAM_SECTION)
    }

    /// Returns the team's weight in the weighted max-min division of the limit; 1 if none is set.
    pub fn weight(&self, team: &str) -> f64 {
        self.weights.get(team).copied().unwrap_or(DEFAULT_WEIGHT)
    }

    /// Applies one setting. `teams` are the teams of the deployment; a section for any other team is an error.
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
