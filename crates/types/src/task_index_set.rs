//! Compact sets of task indices.

use serde::{Deserialize, Serialize};

/// A set of task indices, stored as sorted half-open ranges: a job may have 100,000 tasks, and its sets must stay small
/// in memory and in the write-ahead log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskIndexSet(Vec<(u32, u32)>);

impl TaskIndexSet {
    /// The set of all indices from 0 to `end`, exclusive.
    pub fn below(end: u32) -> TaskIndexSet {
        if end == 0 { TaskIndexSet(Vec::new()) } else { TaskIndexSet(vec![(0, end)]) }
    }
    /// Number of indices in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(start, end)| end - start).sum()
    }
    /// Number of ranges that represent the set; its serialised size grows with it.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }
    /// Whether the set contains no index.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Whether the set contains `index`.
    pub fn contains(&self, index: u32) -> bool {
        let at = self.first_range_after(index);
        at > 0 && index < self.0[at - 1].1
    }
    /// Adds `index`; returns false if the set already contains it.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let at = self.first_range_after(index);
        let extends_left = at > 0 && self.0[at - 1].1 == index;
        let extends_right = at < self.0.len() && self.0[at].0 == index + 1;
        match (extends_left, extends_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = index + 1,
            (false, true) => self.0[at].0 = index,
            (false, false) => self.0.insert(at, (index, index + 1)),
        }
        true
    }
    /// Removes `index`; returns false if the set does not contain it.
    pub fn remove(&mut self, index: u32) -> bool {
        if !self.contains(index) {
            return false;
        }
        let at = self.first_range_after(index) - 1;
        let (start, end) = self.0[at];
        match (start == index, end == index + 1) {
            (true, true) => {
                self.0.remove(at);
            }
            (true, false) => self.0[at].0 = index + 1,
            (false, true) => self.0[at].1 = index,
            (false, false) => {
                self.0[at].1 = index;
                self.0.insert(at + 1, (index + 1, end));
            }
        }
        true
    }
    /// The smallest index, or `None` if the set is empty.
    pub fn smallest(&self) -> Option<u32> {
        self.0.first().map(|(start, _)| *start)
    }
    /// Splits the set into sets of at most `ranges` ranges each, in ascending order.
    pub fn split_by_ranges(&self, ranges: usize) -> Vec<TaskIndexSet> {
        self.0.chunks(ranges).map(|part| TaskIndexSet(part.to_vec())).collect()
    }
    /// Iterates over the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|(start, end)| *start..*end)
    }

    /// Position of the first range that starts after `index`.
    fn first_range_after(&self, index: u32) -> usize {
        self.0.partition_point(|(start, _)| *start <= index)
    }
}

#[cfg(test)]
mod tests;
