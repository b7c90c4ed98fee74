//! Reads budgets from the sections of the operators' INI file and checks them.

use crate::budget::{BatchEviction, Budget, Limit, Policy, TaskClass};
use crate::window::{Minute, Window};
use caperstile_types::Duration;
use std::collections::{BTreeMap, BTreeSet};

/// A section of the operators' file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Name.
    pub name: String,
    /// Keys and values.
    pub entries: Vec<(String, String)>,
}

/// Why a statement cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {key}: {reason}")]
pub struct PolicyError {
    /// Section.
    pub section: String,
    /// Key.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

const DRAINS: &str = "drains";
const BUDGET: &str = "budget ";
const WINDOW: &str = "window ";
const MAX_UNAVAILABLE: &str = "max_unavailable";
/// Longest time that may be stated, in seconds: a week.
const LONGEST_S: f64 = 7.0 * 86_400.0;
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// Whether a section of the operators' file belongs to this module.
pub fn is_section(name: &str) -> bool {
    name == DRAINS || name.starts_with(BUDGET) || name.starts_with(WINDOW)
}

/// Reads and checks all sections; `teams` are those of the deployment.
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
            enter_budget(section, scope.trim(), budget, teams, &mut policy)?;
        }
    }
    Ok(policy)
}

fn error(section: &Section, key: &str, reason: impl Into<String>) -> PolicyError {
    PolicyError { section: section.name.clone(), key: key.to_string(), reason: reason.into() }
}

fn parse_drains(section: &Section, policy: &mut Policy) -> Result<(), PolicyError> {
    for (key, value) in &section.entries {
        match key.as_str() {
            "enabled" => {
                policy.enabled = match value.as_str() {
                    "yes" | "true" => true,
                    "no" | "false" => false,
                    _ => return Err(error(section, key, format!("`{value}` is neither yes nor no"))),
                }
            }
            "max_machines" => {
                policy.parallel = match parse_limit(section, key, value)? {
                    Limit::Count(0) => return Err(error(section, key, "must be at least 1")),
                    Limit::Share { share, .. } => Limit::Share { share, at_least: 1 },
                    limit => limit,
                }
            }
            _ => return Err(error(section, key, "not a known setting")),
        }
    }
    Ok(())
}

/// A count such as `3`, or a share such as `10%`.
fn parse_limit(section: &Section, key: &str, value: &str) -> Result<Limit, PolicyError> {
    if let Some(percent) = value.strip_suffix('%') {
        return match percent.trim().parse::<f64>() {
            Ok(percent) if (0.0..=100.0).contains(&percent) => Ok(Limit::Share { share: percent / 100.0, at_least: 0 }),
            _ => Err(error(section, key, format!("`{value}` is not a share from 0% to 100%"))),
        };
    }
    value
        .parse()
        .map(Limit::Count)
        .map_err(|_| error(section, key, format!("`{value}` is neither a count such as 3 nor a share such as 10%")))
}

fn parse_seconds(section: &Section, key: &str, value: &str) -> Result<Duration, PolicyError> {
    match value.parse::<f64>() {
        Ok(seconds) if (0.0..=LONGEST_S).contains(&seconds) => Ok(Duration::from_secs_f64(seconds)),
        _ => Err(error(section, key, format!("`{value}` is not a time from 0 to {LONGEST_S} seconds"))),
    }
}

fn parse_budget(section: &Section, windows: &BTreeMap<String, Window>) -> Result<Budget, PolicyError> {
    let mut budget = Budget::default();
    for (key, value) in &section.entries {
        match key.as_str() {
            MAX_UNAVAILABLE => budget.max_unavailable = Some(parse_limit(section, key, value)?),
            "min_interval_s" => budget.min_interval = Some(parse_seconds(section, key, value)?),
            "batch_wait_s" => budget.batch_wait = Some(parse_seconds(section, key, value)?),
            "evict_batch" => budget.batch_eviction = Some(parse_eviction(section, key, value)?),
            _ => {
                let Some(name) = key.strip_prefix(MAX_UNAVAILABLE).and_then(|rest| rest.strip_prefix('.')) else {
                    return Err(error(section, key, "not a known setting"));
                };
                let Some(window) = windows.get(name) else {
                    return Err(error(section, key, format!("there is no section [{WINDOW}{name}]")));
                };
                budget.windows.push((window.clone(), parse_limit(section, key, value)?));
            }
        }
    }
    Ok(budget)
}

fn parse_eviction(section: &Section, key: &str, value: &str) -> Result<BatchEviction, PolicyError> {
    match value {
        "never" => Ok(BatchEviction::Never),
        "checkpointed" => Ok(BatchEviction::Checkpointed),
        "always" => Ok(BatchEviction::Always),
        _ => Err(error(section, key, format!("`{value}` is not never, checkpointed or always"))),
    }
}

/// `TEAM` or `TEAM/CLASS`; names may hold slashes, so the teams of the deployment decide.
fn enter_budget(
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
        Some(_) => Err(error(section, "", "the class is missing")),
        None => Err(error(section, "", format!("`{scope}` names no team of this deployment"))),
    }
}

fn parse_window(section: &Section, name: &str) -> Result<Window, PolicyError> {
    let (mut zone, mut days, mut from, mut until) = (None, [true; 7], None, None);
    let minute = |key: &str, value: &str| {
        Minute::parse(value).ok_or_else(|| error(section, key, format!("`{value}` is not a time such as 09:30")))
    };
    for (key, value) in &section.entries {
        match key.as_str() {
            "zone" => {
                let unknown = |_| error(section, key, format!("`{value}` is not a known time zone"));
                zone = Some(value.parse().map_err(unknown)?);
            }
            "days" => days = parse_days(section, key, value)?,
            "from" => from = Some(minute(key, value)?),
            "until" => until = Some(minute(key, value)?),
            _ => return Err(error(section, key, "not a known setting")),
        }
    }
    let missing = |key: &str| error(section, key, "is missing");
    let (from, until) = (from.ok_or_else(|| missing("from"))?, until.ok_or_else(|| missing("until"))?);
    if from == until {
        return Err(error(section, "until", "the window is empty: it ends when it begins"));
    }
    Ok(Window { name: name.to_string(), zone: zone.ok_or_else(|| missing("zone"))?, days, from, until })
}

/// `mon,wed` or `mon-fri`, or both together.
fn parse_days(section: &Section, key: &str, value: &str) -> Result<[bool; 7], PolicyError> {
    let day = |text: &str| {
        let text = text.trim();
        let known = DAYS.iter().position(|day| *day == text);
        known.ok_or_else(|| error(section, key, format!("`{text}` is not a day such as mon")))
    };
    let mut days = [false; 7];
    for part in value.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let (first, last) = (day(first)?, day(last)?);
        if last < first {
            return Err(error(section, key, format!("`{}` ends before it begins", part.trim())));
        }
        days[first..=last].fill(true);
    }
    Ok(days)
}
