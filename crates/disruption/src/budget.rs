//! Budgets: how much of a team's work may be disrupted at once.

use crate::window::Window;
use caperstile_types::{Duration, WallClock};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A class of a team's jobs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskClass {
    /// Team.
    pub team: String,
    /// Class.
    pub class: String,
}

impl fmt::Display for TaskClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.class)
    }
}

/// The work that a budget covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All of a team's work.
    Team(String),
    /// One class of it.
    Class(TaskClass),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Team(team) => write!(f, "team {team}"),
            Scope::Class(class) => write!(f, "{class}"),
        }
    }
}

/// The scopes that a task of a class is charged to.
pub fn scopes_for_class(class: &TaskClass) -> [Scope; 2] {
    [Scope::Class(class.clone()), Scope::Team(class.team.clone())]
}

/// How many replicas or tasks may be unavailable at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// This many.
    Count(u32),
    /// This share of what is desired, rounded down, so that never more than the share is unavailable.
    Share {
        /// From 0 to 1.
        share: f64,
        /// Lower bound; 0 where operators state a share, which is then kept whatever it comes to.
        at_least: u32,
    },
}

impl Limit {
    /// The limit where so many tasks are desired.
    pub fn resolve(&self, desired: u32) -> u32 {
        // Shares such as 0.29 have no exact binary form: 0.29 of 100 must be 29.
        const ROUNDING: f64 = 1e-9;
        match *self {
            Limit::Count(count) => count,
            Limit::Share { share, at_least } => ((f64::from(desired) * share + ROUNDING) as u32).max(at_least),
        }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Limit::Count(count) => write!(f, "{count}"),
            Limit::Share { share, at_least: 0 } => write!(f, "{}%", share * 100.0),
            Limit::Share { share, at_least } => write!(f, "{}%, at least {at_least}", share * 100.0),
        }
    }
}

/// Which batch tasks may be stopped once the wait for their end is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchEviction {
    /// None: they are left to end.
    Never,
    /// Those that save checkpoints.
    Checkpointed,
    /// All.
    Always,
}

/// A limit that applies within a window.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowLimit {
    /// When it applies.
    pub window: Window,
    /// The limit.
    pub limit: Limit,
}

/// The settings of a team for all of its work or for a class. What is not stated is taken from the team, then from the default.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Budget {
    /// How many tasks may be unavailable at once.
    pub max_unavailable: Option<Limit>,
    /// Stricter limits, by window.
    pub windows: Vec<WindowLimit>,
    /// Least time between two evictions.
    pub min_interval: Option<Duration>,
    /// How long batch tasks are left to end.
    pub batch_wait: Option<Duration>,
    /// Which of them are stopped afterwards.
    pub batch_eviction: Option<BatchEviction>,
}

/// A tenth of a class that states nothing, one replica at least.
pub const DEFAULT_LIMIT: Limit = Limit::Share { share: 0.1, at_least: 1 };
/// How long batch tasks are left to end by default.
pub const DEFAULT_BATCH_WAIT: Duration = Duration::from_secs(600);
/// By default only tasks that lose little are stopped.
pub const DEFAULT_BATCH_EVICTION: BatchEviction = BatchEviction::Checkpointed;
/// Share of all machines that may be drained at once by default.
pub const DEFAULT_MAX_DRAINING_MACHINES: Limit = Limit::Share { share: 0.1, at_least: 1 };

/// All budgets of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Whether operators' drains are carried out and voluntary evictions are checked against the budgets.
    pub enabled: bool,
    /// How many machines may be drained at once.
    pub max_draining_machines: Limit,
    /// How far the time of day may be off.
    pub clock_error: Duration,
    /// Budgets of teams.
    pub teams: BTreeMap<String, Budget>,
    /// Budgets of classes.
    pub classes: BTreeMap<TaskClass, Budget>,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            enabled: false,
            max_draining_machines: DEFAULT_MAX_DRAINING_MACHINES,
            clock_error: Duration::ZERO,
            teams: BTreeMap::new(),
            classes: BTreeMap::new(),
        }
    }
}

impl Policy {
    fn budget_for(&self, scope: &Scope) -> Option<&Budget> {
        match scope {
            Scope::Team(team) => self.teams.get(team),
            Scope::Class(class) => self.classes.get(class),
        }
    }

    /// The limit of a scope outside of windows; `None`: no limit of its own.
    ///
    /// A class without a statement has the default, unless its team states a limit, which is then the only one.
    pub fn base_limit(&self, scope: &Scope) -> Option<Limit> {
        let stated = self.budget_for(scope).and_then(|budget| budget.max_unavailable);
        match scope {
            Scope::Team(_) => stated,
            Scope::Class(class) => stated.or_else(|| {
                let team = self.teams.get(&class.team).and_then(|budget| budget.max_unavailable);
                team.is_none().then_some(DEFAULT_LIMIT)
            }),
        }
    }

    /// Scopes for which operators state that nothing may be unavailable at any time.
    pub fn scopes_with_zero_budget(&self) -> Vec<Scope> {
        let none = |budget: &Budget| {
            matches!(budget.max_unavailable, Some(Limit::Count(0) | Limit::Share { share: 0.0, at_least: 0 }))
        };
        let teams = self.teams.iter().filter(|(_, budget)| none(budget)).map(|(team, _)| Scope::Team(team.clone()));
        let classes = self.classes.iter().filter(|(_, budget)| none(budget));
        teams.chain(classes.map(|(class, _)| Scope::Class(class.clone()))).collect()
    }

    /// How many tasks of a scope may be unavailable at this time; `None`: no limit of its own.
    pub fn max_unavailable(&self, scope: &Scope, desired: u32, wall: WallClock) -> Option<u32> {
        let windows = self.budget_for(scope).into_iter().flat_map(|budget| &budget.windows);
        let in_force = windows.filter(|limited| limited.window.may_contain(wall, self.clock_error));
        let limits = self.base_limit(scope).into_iter().chain(in_force.map(|limited| limited.limit));
        limits.map(|limit| limit.resolve(desired)).min()
    }

    /// The least time between two evictions of a scope.
    pub fn min_interval(&self, scope: &Scope) -> Duration {
        self.budget_for(scope).and_then(|budget| budget.min_interval).unwrap_or_default()
    }

    /// How long a class's batch tasks are left to end.
    pub fn batch_wait(&self, class: &TaskClass) -> Duration {
        self.class_setting(class, |budget| budget.batch_wait).unwrap_or(DEFAULT_BATCH_WAIT)
    }

    /// Which batch tasks of a class may be stopped afterwards.
    pub fn batch_eviction(&self, class: &TaskClass) -> BatchEviction {
        self.class_setting(class, |budget| budget.batch_eviction).unwrap_or(DEFAULT_BATCH_EVICTION)
    }

    /// A setting of a class, else of its team.
    fn class_setting<T>(&self, class: &TaskClass, field: impl Fn(&Budget) -> Option<T>) -> Option<T> {
        let own = self.classes.get(class).and_then(&field);
        own.or_else(|| self.teams.get(&class.team).and_then(&field))
    }
}
