//! The budget check: how many more tasks may be evicted at a point in time without exceeding the disruption budgets.

use crate::budget::{Policy, Scope, TaskClass, scopes_for_class};
use crate::eviction_load::EvictionLoad;
use crate::fleet::{ChargeState, ClassAvailability};
use caperstile_types::{Duration, Timestamp, WallClock};
use std::collections::BTreeMap;

/// The time of the last eviction in each scope, for budgets with a minimum interval between evictions.
#[derive(Debug, Clone)]
pub struct LastEvictions {
    /// Counts as the last eviction of a scope without a recorded one, because the previous leader may have evicted a
    /// task just before this leader was elected.
    leader_since: Timestamp,
    by_scope: BTreeMap<Scope, Timestamp>,
}

impl LastEvictions {
    /// Creates an empty history for a leader that was elected at `leader_since`.
    pub fn new(leader_since: Timestamp) -> LastEvictions {
        LastEvictions { leader_since, by_scope: BTreeMap::new() }
    }

    /// Records that a task of this scope was evicted at `now`.
    pub fn record(&mut self, now: Timestamp, scope: Scope) {
        self.by_scope.insert(scope, now);
    }

    fn at(&self, scope: &Scope) -> Timestamp {
        self.by_scope.get(scope).copied().unwrap_or(self.leader_since)
    }
}

/// Why an eviction is not allowed at present. The message is shown to operators in the status of the drain.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EvictionBlocked {
    /// The limit of the budget is 0 at this time, so no task may be unavailable.
    #[error("the budget of {scope} is 0")]
    ZeroBudget {
        /// Scope of the budget.
        scope: Scope,
    },
    /// The eviction would make more tasks unavailable than the budget allows.
    #[error("{scope}: {requested} to be moved, {unavailable} of {allowed} that may be unavailable are out")]
    BudgetExhausted {
        /// Scope of the budget.
        scope: Scope,
        /// Number of tasks that would be evicted.
        requested: u32,
        /// Number of tasks that are unavailable or charged already.
        unavailable: u32,
        /// Maximum number of tasks that may be unavailable.
        allowed: u32,
    },
    /// The minimum interval since the last eviction has not elapsed.
    #[error("{scope}: the next eviction may follow in {} s", .remaining.as_millis().div_ceil(1000))]
    IntervalNotElapsed {
        /// Scope of the budget.
        scope: Scope,
        /// Time until the interval has elapsed.
        remaining: Duration,
    },
}

/// How much of the budget of one scope is in use.
#[derive(Debug, Clone, Default)]
struct BudgetUsage {
    /// Number of tasks that are unavailable or charged.
    unavailable: u32,
    /// Number of charged tasks that have not been stopped yet.
    pending: u32,
    /// Maximum number of unavailable tasks; `None` if the scope has no limit of its own.
    allowed: Option<u32>,
    /// Time until the minimum interval since the last eviction has elapsed.
    interval_remaining: Duration,
    /// Whether the budget sets a minimum interval between evictions.
    has_interval: bool,
}

impl BudgetUsage {
    fn is_exceeded(&self) -> bool {
        self.allowed.is_some_and(|allowed| self.unavailable > allowed)
    }

    fn remaining(&self) -> u32 {
        let remaining = self.allowed.map_or(u32::MAX, |allowed| allowed.saturating_sub(self.unavailable));
        if self.has_interval {
            // At most one task per interval, and none while a charged task has not been stopped yet.
            remaining.min(u32::from(self.interval_remaining.as_millis() == 0 && self.pending == 0))
        } else {
            remaining
        }
    }

    /// Returns how many tasks may be evicted at once if no other task is unavailable.
    fn full_budget(&self) -> u32 {
        let allowed = self.allowed.unwrap_or(u32::MAX);
        if self.has_interval { allowed.min(1) } else { allowed }
    }
}

/// The state and the number of the tasks that one charge counts for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChargedTasks {
    /// State of the charged attempt.
    pub state: ChargeState,
    /// Number of tasks that the charge counts for; more than 1 for a gang.
    pub task_count: u32,
}

/// The disruptions at one point in time, from which allowances are computed.
#[derive(Debug, Clone, Copy)]
pub struct DisruptionState<'a> {
    /// The leader's monotonic time, for minimum intervals.
    pub now: Timestamp,
    /// Time of day, for limits that apply in windows.
    pub wall: WallClock,
    /// Number of desired and unavailable tasks, by class.
    pub availability: &'a BTreeMap<TaskClass, ClassAvailability>,
    /// All charges that have not been released.
    pub charges: &'a [ChargedTasks],
    /// Time of the last eviction in each scope.
    pub last_evictions: &'a LastEvictions,
}

/// How many more tasks may be evicted in each scope.
#[derive(Debug, Clone, Default)]
pub struct Allowances {
    usage_by_scope: BTreeMap<Scope, BudgetUsage>,
}

impl Allowances {
    /// Computes the allowances. Tasks that are unavailable for any reason use up the budget of their scopes, and so do
    /// charged tasks that are not counted as unavailable already.
    pub fn new(policy: &Policy, state: &DisruptionState<'_>) -> Allowances {
        let desired = desired_by_scope(state.availability);
        let mut allowances = Allowances::default();
        for (class, availability) in state.availability {
            for scope in scopes_for_class(class) {
                allowances.usage_by_scope.entry(scope).or_default().unavailable += availability.unavailable;
            }
        }
        for charged in state.charges {
            allowances.count_charge(charged);
        }
        for (scope, usage) in &mut allowances.usage_by_scope {
            let desired = desired.get(scope).copied().unwrap_or_default();
            usage.allowed = policy.max_unavailable(scope, desired, state.wall);
            let interval = policy.min_interval(scope);
            usage.has_interval = interval.as_millis() > 0;
            usage.interval_remaining = interval.saturating_sub(state.now.since(state.last_evictions.at(scope)));
        }
        allowances
    }

    fn count_charge(&mut self, charged: &ChargedTasks) {
        let (class, already_unavailable, pending) = match &charged.state {
            ChargeState::Released => return,
            ChargeState::Pending { class, already_unavailable } => (class, *already_unavailable, true),
            ChargeState::Disrupted { class, already_unavailable } => (class, *already_unavailable, false),
        };
        for scope in scopes_for_class(class) {
            let usage = self.usage_by_scope.entry(scope).or_default();
            usage.unavailable += if already_unavailable { 0 } else { charged.task_count };
            usage.pending += if pending { charged.task_count } else { 0 };
        }
    }

    /// Whether more tasks of a class, or of its team, are unavailable than the budget allows.
    pub fn is_exceeded(&self, class: &TaskClass) -> bool {
        scopes_for_class(class).iter().any(|scope| self.usage_by_scope.get(scope).is_some_and(BudgetUsage::is_exceeded))
    }

    /// Returns how many tasks of a scope may be evicted now; `u32::MAX` if no limit applies.
    pub fn remaining(&self, scope: &Scope) -> u32 {
        self.usage_by_scope.get(scope).map_or(u32::MAX, BudgetUsage::remaining)
    }

    /// Checks whether all tasks of a load may be evicted now. The error names the first scope whose budget does not
    /// allow it.
    pub fn check(&self, load: &EvictionLoad) -> Result<(), EvictionBlocked> {
        for (scope, count) in load.by_scope() {
            if count > self.remaining(&scope) {
                return Err(self.blocked_reason(scope, count));
            }
        }
        Ok(())
    }

    fn blocked_reason(&self, scope: Scope, requested: u32) -> EvictionBlocked {
        let Some(usage) = self.usage_by_scope.get(&scope) else { return EvictionBlocked::ZeroBudget { scope } };
        match usage.allowed {
            Some(0) => EvictionBlocked::ZeroBudget { scope },
            _ if usage.has_interval && usage.interval_remaining.as_millis() > 0 => {
                EvictionBlocked::IntervalNotElapsed { scope, remaining: usage.interval_remaining }
            }
            allowed => EvictionBlocked::BudgetExhausted {
                scope,
                requested,
                unavailable: usage.unavailable,
                allowed: allowed.unwrap_or(u32::MAX),
            },
        }
    }

    /// Charges a load to the budgets of its scopes, whether or not they allow it.
    pub fn charge(&mut self, load: &EvictionLoad) {
        for (scope, count) in load.by_scope() {
            let usage = self.usage_by_scope.entry(scope).or_default();
            usage.unavailable += count;
            usage.pending += count;
        }
    }

    /// Whether a load exceeds a budget even if no other task is unavailable, so that its tasks must be evicted in
    /// parts.
    pub fn exceeds_full_budget(&self, load: &EvictionLoad) -> bool {
        let exceeds = |(scope, count): (Scope, u32)| {
            self.usage_by_scope.get(&scope).is_some_and(|usage| count > usage.full_budget())
        };
        load.by_scope().into_iter().any(exceeds)
    }
}

/// Sums up the desired tasks of each scope.
pub fn desired_by_scope(availability: &BTreeMap<TaskClass, ClassAvailability>) -> BTreeMap<Scope, u32> {
    let desired = availability.iter().map(|(class, availability)| (class.clone(), availability.desired));
    desired.collect::<EvictionLoad>().by_scope()
}
