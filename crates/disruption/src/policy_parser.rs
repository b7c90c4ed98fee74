//! Parses and validates disruption budgets and drain settings from sections of the operators' INI file.

use crate::budget::{BatchEviction, Budget, Limit, Policy, TaskClass, WindowLimit};
use crate::window::{MinuteOfDay, Window};
use caperstile_types::Duration;
use std::collections::{BTreeMap, BTreeSet};

/// A section of the operators' INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Name of the section, without brackets.
    pub name: String,
    /// Pairs of key and value, in the order of the file.
    pub entries: Vec<(String, String)>,
}

/// A setting that is invalid, with its location in the file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {key}: {reason}")]
pub struct PolicyError {
    /// Name of the section.
    pub section: String,
    /// Name of the key; empty if the section's name itself is invalid.
    pub key: String,
    /// Why the setting is invalid.
    pub reason: InvalidSetting,
}

/// Why a setting is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// The section has no setting with this key.
    #[error("not a known setting")]
    UnknownKey,
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// The value is not a boolean.
    #[error("`{0}` is neither yes nor no")]
    NotYesOrNo(String),
    /// The limit on drained machines is 0.
    #[error("must be at least 1")]
    BelowOne,
    /// The value is not a percentage from 0% to 100%.
    #[error("`{0}` is not a share from 0% to 100%")]
    NotAShare(String),
    /// The value is neither a count nor a percentage.
    #[error("`{0}` is neither a count such as 3 nor a share such as 10%")]
    NotALimit(String),
    /// The value is not a duration in the allowed range.
    #[error("`{0}` is not a time from 0 to {MAX_DURATION_S} seconds")]
    NotADuration(String),
    /// The value is not one of the rules for evicting batch tasks.
    #[error("`{0}` is not never, checkpointed or always")]
    NotABatchEviction(String),
    /// The limit refers to a window that is not defined.
    #[error("there is no section [{WINDOW}{0}]")]
    UnknownWindow(String),
    /// The section's name ends after the slash that separates team and class.
    #[error("the class is missing")]
    MissingClass,
    /// The budget is for a team that the deployment does not have.
    #[error("`{0}` names no team of this deployment")]
    UnknownTeam(String),
    /// The value is not a time of day.
    #[error("`{0}` is not a time such as 09:30")]
    NotATimeOfDay(String),
    /// The value is not the name of a time zone in the IANA database.
    #[error("`{0}` is not a known time zone")]
    UnknownTimeZone(String),
    /// The window begins and ends at the same time of day.
    #[error("the window is empty: it ends when it begins")]
    EmptyWindow,
    /// The value is not an abbreviated day of the week.
    #[error("`{0}` is not a day such as mon")]
    NotADay(String),
    /// A range of days ends before it begins.
    #[error("`{0}` ends before it begins")]
    ReversedDays(String),
}

const DRAINS: &str = "drains";
const BUDGET: &str = "budget ";
const WINDOW: &str = "window ";
const MAX_UNAVAILABLE: &str = "max_unavailable";
/// Maximum duration in settings: one week, in seconds.
const MAX_DURATION_S: f64 = 7.0 * 86_400.0;
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// Whether this module parses the section with this name.
pub fn is_section(name: &str) -> bool {
    name == DRAINS || name.starts_with(BUDGET) || name.starts_with(WINDOW)
}

/// Parses and validates all sections. `teams` are the names of the deployment's teams, and `clock_error` is the maximum
/// error of the time of day.
pub fn parse(sections: &[Section], teams: &BTreeSet<String>, clock_error: Duration) -> Result<Policy, PolicyError> {
    let mut policy = Policy { clock_error, ..Policy::default() };
    let mut windows = BTreeMap::new();
    for section in sections {
        if let Some(name) = section.name.strip_prefix(WINDOW) {
            windows.insert(name.trim().to_string(), parse_window(section, name.trim())?);
        }
    }
    for section in sections {
        if section.name == DRAINS {
            parse_drains(section, &mut policy)?;
        } else if let Some(scope) = section.name.strip_prefix(BUDGET) {
            let budget = parse_budget(section, &windows)?;
            insert_budget(section, scope.trim(), budget, teams, &mut policy)?;
        }
    }
    Ok(policy)
}

fn error(section: &Section, key: &str, reason: InvalidSetting) -> PolicyError {
    PolicyError { section: section.name.clone(), key: key.to_string(), reason }
}

fn parse_drains(section: &Section, policy: &mut Policy) -> Result<(), PolicyError> {
    for (key, value) in &section.entries {
        match key.as_str() {
            "enabled" => {
                policy.enabled = match value.as_str() {
                    "yes" | "true" => true,
                    "no" | "false" => false,
                    _ => return Err(error(section, key, InvalidSetting::NotYesOrNo(value.clone()))),
                }
            }
            "max_machines" => {
                policy.max_draining_machines = match parse_limit(section, key, value)? {
                    Limit::Count(0) => return Err(error(section, key, InvalidSetting::BelowOne)),
                    Limit::Share { share, .. } => Limit::Share { share, at_least: 1 },
                    limit => limit,
                }
            }
            _ => return Err(error(section, key, InvalidSetting::UnknownKey)),
        }
    }
    Ok(())
}

/// Parses a count such as `3` or a share such as `10%`.
fn parse_limit(section: &Section, key: &str, value: &str) -> Result<Limit, PolicyError> {
    if let Some(percent) = value.strip_suffix('%') {
        return match percent.trim().parse::<f64>() {
            Ok(percent) if (0.0..=100.0).contains(&percent) => Ok(Limit::Share { share: percent / 100.0, at_least: 0 }),
            _ => Err(error(section, key, InvalidSetting::NotAShare(value.to_string()))),
        };
    }
    value.parse().map(Limit::Count).map_err(|_| error(section, key, InvalidSetting::NotALimit(value.to_string())))
}

fn parse_seconds(section: &Section, key: &str, value: &str) -> Result<Duration, PolicyError> {
    match value.parse::<f64>() {
        Ok(seconds) if (0.0..=MAX_DURATION_S).contains(&seconds) => Ok(Duration::from_secs_f64(seconds)),
        _ => Err(error(section, key, InvalidSetting::NotADuration(value.to_string()))),
    }
}

fn parse_budget(section: &Section, windows: &BTreeMap<String, Window>) -> Result<Budget, PolicyError> {
    let mut budget = Budget::default();
    for (key, value) in &section.entries {
        match key.as_str() {
            MAX_UNAVAILABLE => budget.max_unavailable = Some(parse_limit(section, key, value)?),
            "min_interval_s" => budget.min_interval = Some(parse_seconds(section, key, value)?),
            "batch_wait_s" => budget.batch_wait = Some(parse_seconds(section, key, value)?),
            "evict_batch" => budget.batch_eviction = Some(parse_batch_eviction(section, key, value)?),
            _ => {
                let Some(name) = key.strip_prefix(MAX_UNAVAILABLE).and_then(|rest| rest.strip_prefix('.')) else {
                    return Err(error(section, key, InvalidSetting::UnknownKey));
                };
                let Some(window) = windows.get(name) else {
                    return Err(error(section, key, InvalidSetting::UnknownWindow(name.to_string())));
                };
                let limit = parse_limit(section, key, value)?;
                budget.windows.push(WindowLimit { window: window.clone(), limit });
            }
        }
    }
    Ok(budget)
}

fn parse_batch_eviction(section: &Section, key: &str, value: &str) -> Result<BatchEviction, PolicyError> {
    match value {
        "never" => Ok(BatchEviction::Never),
        "checkpointed" => Ok(BatchEviction::Checkpointed),
        "always" => Ok(BatchEviction::Always),
        _ => Err(error(section, key, InvalidSetting::NotABatchEviction(value.to_string()))),
    }
}

/// Adds the budget of a scope, written as `TEAM` or `TEAM/CLASS`. Since the names themselves may contain slashes, the
/// scope is matched against the names of the deployment's teams.
fn insert_budget(
    section: &Section,
    scope: &str,
    budget: Budget,
    teams: &BTreeSet<String>,
    policy: &mut Policy,
) -> Result<(), PolicyError> {
    if teams.contains(scope) {
        policy.teams.insert(scope.to_string(), budget);
        return Ok(());
    }
    let class_of = |team: &String| scope.strip_prefix(team.as_str())?.strip_prefix('/').map(str::to_string);
    let found = teams.iter().find_map(|team| class_of(team).map(|class| (team.clone(), class)));
    match found {
        Some((team, class)) if !class.is_empty() => {
            policy.classes.insert(TaskClass { team, class }, budget);
            Ok(())
        }
        Some(_) => Err(error(section, "", InvalidSetting::MissingClass)),
        None => Err(error(section, "", InvalidSetting::UnknownTeam(scope.to_string()))),
    }
}

fn parse_window(section: &Section, name: &str) -> Result<Window, PolicyError> {
    let (mut time_zone, mut days, mut from, mut until) = (None, [true; 7], None, None);
    let minute = |key: &str, value: &str| {
        MinuteOfDay::parse(value).ok_or_else(|| error(section, key, InvalidSetting::NotATimeOfDay(value.to_string())))
    };
    for (key, value) in &section.entries {
        match key.as_str() {
            "zone" => {
                let unknown = |_| error(section, key, InvalidSetting::UnknownTimeZone(value.clone()));
                time_zone = Some(value.parse().map_err(unknown)?);
            }
            "days" => days = parse_days(section, key, value)?,
            "from" => from = Some(minute(key, value)?),
            "until" => until = Some(minute(key, value)?),
            _ => return Err(error(section, key, InvalidSetting::UnknownKey)),
        }
    }
    let missing = |key: &str| error(section, key, InvalidSetting::Missing);
    let (from, until) = (from.ok_or_else(|| missing("from"))?, until.ok_or_else(|| missing("until"))?);
    if from == until {
        return Err(error(section, "until", InvalidSetting::EmptyWindow));
    }
    Ok(Window { name: name.to_string(), time_zone: time_zone.ok_or_else(|| missing("zone"))?, days, from, until })
}

/// Parses days such as `mon,wed`, a range such as `mon-fri`, or a combination of both such as `mon-wed,fri`.
fn parse_days(section: &Section, key: &str, value: &str) -> Result<[bool; 7], PolicyError> {
    let day = |text: &str| {
        let text = text.trim();
        let known = DAYS.iter().position(|day| *day == text);
        known.ok_or_else(|| error(section, key, InvalidSetting::NotADay(text.to_string())))
    };
    let mut days = [false; 7];
    for part in value.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let (first, last) = (day(first)?, day(last)?);
        if last < first {
            return Err(error(section, key, InvalidSetting::ReversedDays(part.trim().to_string())));
        }
        days[first..=last].fill(true);
    }
    Ok(days)
}
