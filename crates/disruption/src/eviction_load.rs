//! The number of tasks that an eviction charges to the disruption budgets.

use crate::budget::{Scope, TaskClass, scopes_for_class};
use crate::fleet::TaskView;
use std::collections::BTreeMap;

/// Number of tasks of each class that an eviction makes unavailable.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionLoad(BTreeMap<TaskClass, u32>);

impl EvictionLoad {
    /// Returns the load of `task_count` tasks of one class.
    pub fn of_class(class: TaskClass, task_count: u32) -> EvictionLoad {
        EvictionLoad(BTreeMap::from([(class, task_count)]))
    }

    /// Returns the load of these tasks. Tasks that are already unavailable are not counted.
    pub fn of_tasks<'a>(tasks: impl IntoIterator<Item = &'a TaskView>) -> EvictionLoad {
        let mut load = EvictionLoad::default();
        for task in tasks.into_iter().filter(|task| !task.already_unavailable) {
            load.add_task(&task.class);
        }
        load
    }

    /// Adds one task of a class to the load.
    pub fn add_task(&mut self, class: &TaskClass) {
        *self.0.entry(class.clone()).or_default() += 1;
    }

    /// Removes one task of a class that was added before.
    pub fn remove_task(&mut self, class: &TaskClass) {
        if let Some(count) = self.0.get_mut(class) {
            *count -= 1;
        }
    }

    /// Adds all tasks of another load to this one.
    pub fn add(&mut self, other: &EvictionLoad) {
        for (class, count) in &other.0 {
            *self.0.entry(class.clone()).or_default() += count;
        }
    }

    /// Returns the number of tasks charged to each scope.
    pub fn by_scope(&self) -> BTreeMap<Scope, u32> {
        let mut scopes = BTreeMap::new();
        for (class, count) in &self.0 {
            for scope in scopes_for_class(class) {
                *scopes.entry(scope).or_default() += count;
            }
        }
        scopes
    }
}

impl FromIterator<(TaskClass, u32)> for EvictionLoad {
    fn from_iter<I: IntoIterator<Item = (TaskClass, u32)>>(counts: I) -> EvictionLoad {
        EvictionLoad(counts.into_iter().collect())
    }
}
