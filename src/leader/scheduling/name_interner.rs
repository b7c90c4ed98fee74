//! The names of zones, machine types and images as indexes, so that the plan compares numbers.

use crate::plan::ImageIndex;
use std::collections::HashMap;

/// Names that the plan knows as indexes, in the order in which they were first seen.
#[derive(Debug, Default)]
pub(crate) struct NameInterner {
    zones: Vec<String>,
    machine_types: Vec<String>,
    images: HashMap<String, ImageIndex>,
}

/// The index of a name, a new one if need be.
fn intern(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl NameInterner {
    /// The index of a zone, a new one if need be.
    pub(super) fn intern_zone(&mut self, name: &str) -> usize {
        intern(&mut self.zones, name)
    }

    /// The index of a machine type, a new one if need be.
    pub(super) fn intern_machine_type(&mut self, name: &str) -> usize {
        intern(&mut self.machine_types, name)
    }

    /// The indexes of a machine's images, sorted; new ones if need be.
    pub(super) fn intern_images<'a>(&mut self, names: impl Iterator<Item = &'a String>) -> Vec<ImageIndex> {
        let mut indexes: Vec<ImageIndex> = names.map(|name| self.intern_image(name)).collect();
        indexes.sort_unstable();
        indexes.dedup();
        indexes
    }

    fn intern_image(&mut self, name: &String) -> ImageIndex {
        if let Some(index) = self.images.get(name) {
            return *index;
        }
        let index = self.images.len() as ImageIndex;
        self.images.insert(name.clone(), index);
        index
    }

    /// The index of a zone, if a machine is or was there.
    pub(crate) fn zone_index_of(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// The name of a zone.
    pub(crate) fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// How many zones are known.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// The known machine types, by index.
    pub(super) fn machine_types(&self) -> &[String] {
        &self.machine_types
    }

    /// The index of an image; one that no machine has is none of those that machines have.
    pub(super) fn image_index_of(&self, name: &str) -> ImageIndex {
        self.images.get(name).copied().unwrap_or(ImageIndex::MAX)
    }
}
