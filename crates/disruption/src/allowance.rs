//! The budget check: what may still be evicted within the disruption budgets at one moment.

use crate::budget::{Policy, Scope, TaskClass, scopes_for_class};
use crate::eviction_load::EvictionLoad;
use crate::fleet::{ChargeState, ClassAvailability};
use caperstile_types::{Duration, Timestamp, WallClock};
use std::collections::BTreeMap;

/// When something of each scope was evicted last.
#[derive(Debug, Clone)]
pub struct LastEvictions {
    /// Under an earlier leader something may have been evicted just before this one was elected.
    leader_since: Timestamp,
    by_scope: BTreeMap<Scope, Timestamp>,
}

impl LastEvictions {
    /// No evictions yet, under a leader elected at this time.
    pub fn new(leader_since: Timestamp) -> LastEvictions {
        LastEvictions { leader_since, by_scope: BTreeMap::new() }
    }

    /// Records an eviction.
    pub fn record(&mut self, now: Timestamp, scope: Scope) {
        self.by_scope.insert(scope, now);
    }

    fn at(&self, scope: &Scope) -> Timestamp {
        self.by_scope.get(scope).copied().unwrap_or(self.leader_since)
    }
}

/// Why an eviction has to wait, or can never be made. Operators see the text in the status of a drain.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EvictionBlocked {
    /// The budget is 0 at this time.
    #[error("the budget of {scope} is 0")]
    ZeroBudget {
        /// Whose budget.
        scope: Scope,
    },
    /// The eviction would take more than the budget has left.
    #[error("{scope}: {requested} to be moved, {unavailable} of {allowed} that may be unavailable are out")]
    BudgetExhausted {
        /// Whose budget.
        scope: Scope,
        /// How many tasks were to be evicted.
        requested: u32,
        /// How many are unavailable or charged.
        unavailable: u32,
        /// How many may be.
        allowed: u32,
    },
    /// The last eviction was not long enough ago.
    #[error("{scope}: the next eviction may follow in {} s", .remaining.as_millis().div_ceil(1000))]
    IntervalNotElapsed {
        /// Whose budget.
        scope: Scope,
        /// The rest of the interval.
        remaining: Duration,
    },
}

/// The consumption of one scope's budget.
#[derive(Debug, Clone, Default)]
struct Account {
    /// How many tasks are unavailable or charged.
    unavailable: u32,
    /// Charged tasks that were not told to stop yet.
    pending: u32,
    /// How many may be unavailable; none: no limit of its own.
    allowed: Option<u32>,
    /// The rest of the interval since the last eviction.
    interval_remaining: Duration,
    /// Evictions are spaced by an interval.
    has_interval: bool,
}

impl Account {
    fn is_exceeded(&self) -> bool {
        self.allowed.is_some_and(|allowed| self.unavailable > allowed)
    }

    fn remaining(&self) -> u32 {
        let remaining = self.allowed.map_or(u32::MAX, |allowed| allowed.saturating_sub(self.unavailable));
        if self.has_interval {
            // One at a time, and none while another is about to be told.
            remaining.min(u32::from(self.interval_remaining.as_millis() == 0 && self.pending == 0))
        } else {
            remaining
        }
    }

    /// What may be evicted at once while nothing else is unavailable.
    fn full_budget(&self) -> u32 {
        let allowed = self.allowed.unwrap_or(u32::MAX);
        if self.has_interval { allowed.min(1) } else { allowed }
    }
}

/// The tasks of one charge, and what became of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChargedTasks {
    /// What became of the charged attempt.
    pub state: ChargeState,
    /// How many tasks the charge counts for.
    pub task_count: u32,
}

/// What the budgets are checked against.
#[derive(Debug, Clone, Copy)]
pub struct DisruptionState<'a> {
    /// The leader's clock.
    pub now: Timestamp,
    /// Time of day, for windows.
    pub wall: WallClock,
    /// What is desired and unavailable, by class.
    pub availability: &'a BTreeMap<TaskClass, ClassAvailability>,
    /// All charges.
    pub charges: &'a [ChargedTasks],
    /// When something was evicted last.
    pub last_evictions: &'a LastEvictions,
}

/// What may still be evicted.
#[derive(Debug, Clone, Default)]
pub struct Allowances {
    accounts: BTreeMap<Scope, Account>,
}

impl Allowances {
    /// Opens the accounts: what is unavailable for whatever reason, and what is charged on top of it.
    pub fn new(policy: &Policy, state: &DisruptionState<'_>) -> Allowances {
        let desired = desired_by_scope(state.availability);
        let mut allowances = Allowances::default();
        for (class, availability) in state.availability {
            for scope in scopes_for_class(class) {
                allowances.accounts.entry(scope).or_default().unavailable += availability.unavailable;
            }
        }
        for charged in state.charges {
            allowances.count_charge(charged);
        }
        for (scope, account) in &mut allowances.accounts {
            let desired = desired.get(scope).copied().unwrap_or_default();
            account.allowed = policy.max_unavailable(scope, desired, state.wall);
            let interval = policy.min_interval(scope);
            account.has_interval = interval.as_millis() > 0;
            account.interval_remaining = interval.saturating_sub(state.now.since(state.last_evictions.at(scope)));
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
            let account = self.accounts.entry(scope).or_default();
            account.unavailable += if already_unavailable { 0 } else { charged.task_count };
            account.pending += if pending { charged.task_count } else { 0 };
        }
    }

    /// Whether a class or its team has more unavailable than it may.
    pub fn is_exceeded(&self, class: &TaskClass) -> bool {
        scopes_for_class(class).iter().any(|scope| self.accounts.get(scope).is_some_and(Account::is_exceeded))
    }

    /// How many tasks of a scope may be evicted now.
    pub fn remaining(&self, scope: &Scope) -> u32 {
        self.accounts.get(scope).map_or(u32::MAX, Account::remaining)
    }

    /// Whether a load may be evicted now, or what it waits for.
    pub fn check(&self, load: &EvictionLoad) -> Result<(), EvictionBlocked> {
        for (scope, count) in load.by_scope() {
            if count > self.remaining(&scope) {
                return Err(self.blocked_reason(scope, count));
            }
        }
        Ok(())
    }

    fn blocked_reason(&self, scope: Scope, requested: u32) -> EvictionBlocked {
        let Some(account) = self.accounts.get(&scope) else { return EvictionBlocked::ZeroBudget { scope } };
        match account.allowed {
            Some(0) => EvictionBlocked::ZeroBudget { scope },
            _ if account.has_interval && account.interval_remaining.as_millis() > 0 => {
                EvictionBlocked::IntervalNotElapsed { scope, remaining: account.interval_remaining }
            }
            allowed => EvictionBlocked::BudgetExhausted {
                scope,
                requested,
                unavailable: account.unavailable,
                allowed: allowed.unwrap_or(u32::MAX),
            },
        }
    }

    /// Charges a load to the budgets.
    pub fn charge(&mut self, load: &EvictionLoad) {
        for (scope, count) in load.by_scope() {
            let account = self.accounts.entry(scope).or_default();
            account.unavailable += count;
            account.pending += count;
        }
    }

    /// Whether a load is more than its budgets allow even when nothing else is unavailable: it must be evicted in parts.
    pub fn exceeds_full_budget(&self, load: &EvictionLoad) -> bool {
        let exceeds = |(scope, count): (Scope, u32)| {
            self.accounts.get(&scope).is_some_and(|account| count > account.full_budget())
        };
        load.by_scope().into_iter().any(exceeds)
    }
}

/// How many tasks of each scope are desired.
pub fn desired_by_scope(availability: &BTreeMap<TaskClass, ClassAvailability>) -> BTreeMap<Scope, u32> {
    let desired = availability.iter().map(|(class, availability)| (class.clone(), availability.desired));
    desired.collect::<EvictionLoad>().by_scope()
}
