//! Sets of task numbers.

use serde::{Deserialize, Serialize};

/// A set of task numbers, kept as half-open ranges: jobs of 100,000 tasks must stay small in memory and in the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskIndexSet(Vec<(u32, u32)>);

impl TaskIndexSet {
    /// All numbers from 0 up to but without `end`.
    pub fn below(end: u32) -> TaskIndexSet {
        if end == 0 { TaskIndexSet(Vec::new()) } else { TaskIndexSet(vec![(0, end)]) }
    }
    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(start, end)| end - start).sum()
    }
    /// How many ranges it takes.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }
    /// Whether nothing is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Whether `index` is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let at = self.first_range_after(index);
        at > 0 && index < self.0[at - 1].1
    }
    /// Adds `index`; false if it was there.
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
    /// Takes `index` out; false if it was not there.
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
    /// The smallest number.
    pub fn smallest(&self) -> Option<u32> {
        self.0.first().map(|(start, _)| *start)
    }
    /// The set in parts of at most `ranges` ranges.
    pub fn split_by_ranges(&self, ranges: usize) -> Vec<TaskIndexSet> {
        self.0.chunks(ranges).map(|part| TaskIndexSet(part.to_vec())).collect()
    }
    /// All numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|(start, end)| *start..*end)
    }

    /// Position of the first range that begins behind `index`.
    fn first_range_after(&self, index: u32) -> usize {
        self.0.partition_point(|(start, _)| *start <= index)
    }
}

#[cfg(test)]
mod tests;
