//! Disruption budgets: how many tasks of a team or class may be unavailable at once.

use crate::window::Window;
use caperstile_types::{Duration, WallClock};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A class of jobs of one team. Budgets and availability are kept per class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskClass {
    /// Name of the team.
    pub team: String,
    /// Name of the class within the team.
    pub class: String,
}

impl fmt::Display for TaskClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.class)
    }
}

/// The tasks that a budget covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All tasks of a team.
    Team(String),
    /// The tasks of one class of a team.
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

/// Returns the scopes to whose budgets the eviction of a task is charged: its class and its team.
pub fn scopes_for_class(class: &TaskClass) -> [Scope; 2] {
    [Scope::Class(class.clone()), Scope::Team(class.team.clone())]
}

/// A limit on the number of replicas or tasks that may be unavailable at once, or of machines that may be drained at
/// once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// An absolute number.
    Count(u32),
    /// A share of the desired number. It is rounded down, so that the share is never exceeded.
    Share {
        /// The share, from 0 to 1.
        share: f64,
        /// Lower bound of the result. It is 0 for a share that operators set in a budget, so that their share holds
        /// even if it comes to 0 tasks.
        at_least: u32,
    },
}

impl Limit {
    /// Returns the limit as a number, given the desired number of tasks.
    pub fn resolve(&self, desired: u32) -> u32 {
        // A share such as 0.29 has no exact binary representation; without this addition, 0.29 of 100 would give 28
        // instead of 29.
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

/// Which batch tasks may be evicted once `Budget::batch_wait` has elapsed since the drain of their machine began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchEviction {
    /// None. The drain waits until they end.
    Never,
    /// Only tasks that save checkpoints.
    Checkpointed,
    /// All batch tasks, including those that lose their progress.
    Always,
}

/// A limit that applies during a window.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowLimit {
    /// The window during which the limit applies.
    pub window: Window,
    /// Maximum number of unavailable tasks during the window.
    pub limit: Limit,
}

/// The budget of a team or of a class. For a class, the batch settings that are `None` come from the team's budget and
/// then from the defaults; `Policy::base_limit` states which limit applies if `max_unavailable` is `None`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Budget {
    /// Maximum number of tasks that may be unavailable at once.
    pub max_unavailable: Option<Limit>,
    /// Limits that apply during windows, in addition to `max_unavailable`. The strictest one counts.
    pub windows: Vec<WindowLimit>,
    /// Minimum interval between two evictions; `None`: evictions are not spaced.
    pub min_interval: Option<Duration>,
    /// How long a drain waits for batch tasks to end before it may evict them.
    pub batch_wait: Option<Duration>,
    /// Which batch tasks may be evicted after that time.
    pub batch_eviction: Option<BatchEviction>,
}

/// Limit of a class if operators set none for the class or its team: 10% of its tasks, but at least 1.
pub const DEFAULT_LIMIT: Limit = Limit::Share { share: 0.1, at_least: 1 };
/// Default time that a drain waits for batch tasks to end.
pub const DEFAULT_BATCH_WAIT: Duration = Duration::from_secs(600);
/// By default, only tasks that save checkpoints are evicted, since they lose little progress.
pub const DEFAULT_BATCH_EVICTION: BatchEviction = BatchEviction::Checkpointed;
/// Default limit on machines drained at once: 10% of the fleet, but at least 1.
pub const DEFAULT_MAX_DRAINING_MACHINES: Limit = Limit::Share { share: 0.1, at_least: 1 };

/// The disruption budgets and drain settings of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Whether operators' drains are executed and voluntary evictions are checked against the budgets.
    pub enabled: bool,
    /// Maximum number of machines that may be drained at once. A share refers to the size of the fleet.
    pub max_draining_machines: Limit,
    /// Maximum error of the time of day. A window's limit applies this much before and after the window.
    pub clock_error: Duration,
    /// Budgets of teams, by name.
    pub teams: BTreeMap<String, Budget>,
    /// Budgets of classes; they apply in addition to the budget of the team.
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

    /// Returns the limit of a scope that applies at all times, regardless of windows; `None` if the scope has no limit
    /// of its own.
    ///
    /// For a class without a limit, `DEFAULT_LIMIT` applies, unless its team has a limit; then only the team's limit
    /// applies.
    pub fn base_limit(&self, scope: &Scope) -> Option<Limit> {
        let configured = self.budget_for(scope).and_then(|budget| budget.max_unavailable);
        match scope {
            Scope::Team(_) => configured,
            Scope::Class(class) => configured.or_else(|| {
                let team = self.teams.get(&class.team).and_then(|budget| budget.max_unavailable);
                team.is_none().then_some(DEFAULT_LIMIT)
            }),
        }
    }

    /// Returns the scopes for which operators set a limit of 0 outside of windows. Their replicas can never be evicted.
    pub fn scopes_with_zero_budget(&self) -> Vec<Scope> {
        let is_zero = |budget: &Budget| {
            matches!(budget.max_unavailable, Some(Limit::Count(0) | Limit::Share { share: 0.0, at_least: 0 }))
        };
        let teams = self.teams.iter().filter(|(_, budget)| is_zero(budget)).map(|(team, _)| Scope::Team(team.clone()));
        let classes = self.classes.iter().filter(|(_, budget)| is_zero(budget));
        teams.chain(classes.map(|(class, _)| Scope::Class(class.clone()))).collect()
    }

    /// Returns how many tasks of a scope may be unavailable at time `wall`: the strictest of the base limit and of the
    /// limits of current windows. `None` if the scope has no limit of its own.
    pub fn max_unavailable(&self, scope: &Scope, desired: u32, wall: WallClock) -> Option<u32> {
        let windows = self.budget_for(scope).into_iter().flat_map(|budget| &budget.windows);
        let in_force = windows.filter(|limited| limited.window.may_contain(wall, self.clock_error));
        let limits = self.base_limit(scope).into_iter().chain(in_force.map(|limited| limited.limit));
        limits.map(|limit| limit.resolve(desired)).min()
    }

    /// Returns the minimum interval between two evictions in a scope; 0 if none is set.
    pub fn min_interval(&self, scope: &Scope) -> Duration {
        self.budget_for(scope).and_then(|budget| budget.min_interval).unwrap_or_default()
    }

    /// Returns how long a drain waits for batch tasks of a class to end before it may evict them.
    pub fn batch_wait(&self, class: &TaskClass) -> Duration {
        self.class_setting(class, |budget| budget.batch_wait).unwrap_or(DEFAULT_BATCH_WAIT)
    }

    /// Returns which batch tasks of a class may be evicted after that time.
    pub fn batch_eviction(&self, class: &TaskClass) -> BatchEviction {
        self.class_setting(class, |budget| budget.batch_eviction).unwrap_or(DEFAULT_BATCH_EVICTION)
    }

    /// Returns a setting of a class, or that of its team if the class does not have the setting.
    fn class_setting<T>(&self, class: &TaskClass, field: impl Fn(&Budget) -> Option<T>) -> Option<T> {
        let own = self.classes.get(class).and_then(&field);
        own.or_else(|| self.teams.get(&class.team).and_then(&field))
    }
}
