//! The gate: what may still be evicted within the budgets at one moment.

use crate::budget::{Policy, Scope, TaskClass, scopes_of};
use crate::fleet::{ChargeState, Demand};
use caperstile_types::{Duration, Timestamp, WallClock};
use std::collections::BTreeMap;
use std::fmt;

/// How many tasks of each class an eviction takes.
pub type Load = BTreeMap<TaskClass, u32>;

/// When something of each scope was evicted last.
#[derive(Debug, Clone)]
pub struct LastEvictions {
    /// Under an earlier leader something may have been evicted just before this one began.
    began: Timestamp,
    by_scope: BTreeMap<Scope, Timestamp>,
}

impl LastEvictions {
    /// A leader's that began at this time.
    pub fn new(began: Timestamp) -> LastEvictions {
        LastEvictions { began, by_scope: BTreeMap::new() }
    }

    /// Notes an eviction.
    pub fn note(&mut self, now: Timestamp, scope: Scope) {
        self.by_scope.insert(scope, now);
    }

    fn of(&self, scope: &Scope) -> Timestamp {
        self.by_scope.get(scope).copied().unwrap_or(self.began)
    }
}

/// Why an eviction has to wait, or can never be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Blocked {
    /// The budget is 0 at this time.
    NoBudget {
        /// Whose.
        scope: Scope,
    },
    /// So much is out already.
    Used {
        /// Whose budget.
        scope: Scope,
        /// How much more was to be evicted.
        more: u32,
        /// How much is unavailable or charged.
        out: u32,
        /// How much may be.
        allowed: u32,
    },
    /// The last eviction was not long enough ago.
    Interval {
        /// Whose.
        scope: Scope,
        /// The rest of the interval.
        left: Duration,
    },
}

impl fmt::Display for Blocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Blocked::NoBudget { scope } => write!(f, "the budget of {scope} is 0"),
            Blocked::Used { scope, more, out, allowed } => {
                write!(f, "{scope}: {more} to be moved, {out} of {allowed} that may be unavailable are out")
            }
            Blocked::Interval { scope, left } => {
                write!(f, "{scope}: the next eviction may follow in {} s", left.as_millis().div_ceil(1000))
            }
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Account {
    /// How much is unavailable or charged.
    out: u32,
    /// Charged tasks that were not told to stop yet.
    standing: u32,
    /// How much may be out; none: no limit of its own.
    allowed: Option<u32>,
    /// The rest of the interval since the last eviction.
    pause: Duration,
    /// Evictions are spaced by an interval.
    spaced: bool,
}

/// What may still be evicted.
#[derive(Debug, Clone, Default)]
pub struct Allowances {
    accounts: BTreeMap<Scope, Account>,
}

impl Allowances {
    /// Opens the accounts: what is unavailable for whatever reason, and what is charged on top of it.
    pub fn new<'a>(
        policy: &Policy,
        now: Timestamp,
        wall: WallClock,
        demand: &BTreeMap<TaskClass, Demand>,
        charges: impl Iterator<Item = (&'a ChargeState, u32)>,
        last: &LastEvictions,
    ) -> Allowances {
        let wanted = wanted_by_scope(demand);
        let mut allowances = Allowances::default();
        for (class, demand) in demand {
            for scope in scopes_of(class) {
                allowances.accounts.entry(scope).or_default().out += demand.unavailable;
            }
        }
        for (state, count) in charges {
            allowances.enter(state, count);
        }
        for (scope, account) in &mut allowances.accounts {
            account.allowed = policy.allowed(scope, wanted.get(scope).copied().unwrap_or_default(), wall);
            let interval = policy.min_interval(scope);
            account.spaced = interval.as_millis() > 0;
            account.pause = interval.saturating_sub(now.since(last.of(scope)));
        }
        allowances
    }

    fn enter(&mut self, state: &ChargeState, count: u32) {
        let (class, counted, standing) = match state {
            ChargeState::Returned => return,
            ChargeState::Standing { class, counted } => (class, *counted, true),
            ChargeState::Out { class, counted } => (class, *counted, false),
        };
        for scope in scopes_of(class) {
            let account = self.accounts.entry(scope).or_default();
            account.out += if counted { 0 } else { count };
            account.standing += if standing { count } else { 0 };
        }
    }

    /// Whether a class or its team has more out than it may.
    pub fn is_exceeded(&self, class: &TaskClass) -> bool {
        let exceeds = |account: &Account| account.allowed.is_some_and(|allowed| account.out > allowed);
        scopes_of(class).iter().any(|scope| self.accounts.get(scope).is_some_and(exceeds))
    }

    /// How much of a scope may be evicted now.
    pub fn left(&self, scope: &Scope) -> u32 {
        let Some(account) = self.accounts.get(scope) else { return u32::MAX };
        let left = account.allowed.map_or(u32::MAX, |allowed| allowed.saturating_sub(account.out));
        match account.spaced {
            // One at a time, and none while another is about to be told.
            true => left.min(u32::from(account.pause.as_millis() == 0 && account.standing == 0)),
            false => left,
        }
    }

    /// Whether a load may be evicted now, or what it waits for.
    pub fn check(&self, load: &Load) -> Result<(), Blocked> {
        for (scope, count) in by_scope(load) {
            if count > self.left(&scope) {
                return Err(self.blocked(scope, count));
            }
        }
        Ok(())
    }

    fn blocked(&self, scope: Scope, more: u32) -> Blocked {
        let Some(account) = self.accounts.get(&scope) else { return Blocked::NoBudget { scope } };
        match account.allowed {
            Some(0) => Blocked::NoBudget { scope },
            _ if account.spaced && account.pause.as_millis() > 0 => Blocked::Interval { scope, left: account.pause },
            allowed => Blocked::Used { scope, more, out: account.out, allowed: allowed.unwrap_or(u32::MAX) },
        }
    }

    /// Charges a load.
    pub fn take(&mut self, load: &Load) {
        for (scope, count) in by_scope(load) {
            let account = self.accounts.entry(scope).or_default();
            account.out += count;
            account.standing += count;
        }
    }

    /// Whether a load is more than its budgets allow even when nothing else is out: it must be evicted in parts.
    pub fn never_at_once(&self, load: &Load) -> bool {
        by_scope(load).into_iter().any(|(scope, count)| {
            self.accounts.get(&scope).is_some_and(|account| {
                let most = account.allowed.unwrap_or(u32::MAX);
                count > if account.spaced { most.min(1) } else { most }
            })
        })
    }
}

/// What is wanted of each scope.
pub fn wanted_by_scope(demand: &BTreeMap<TaskClass, Demand>) -> BTreeMap<Scope, u32> {
    by_scope(&demand.iter().map(|(class, demand)| (class.clone(), demand.wanted)).collect())
}

/// A load by the scopes that it is charged to.
pub fn by_scope(load: &Load) -> BTreeMap<Scope, u32> {
    let mut scopes = BTreeMap::new();
    for (class, count) in load {
        for scope in scopes_of(class) {
            *scopes.entry(scope).or_default() += count;
        }
    }
    scopes
}
