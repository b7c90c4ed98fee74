//! Interns the names of zones, machine types and images as integer indexes, so that the plan compares integers rather
//! than strings.

use crate::plan::ImageIndex;
use std::collections::HashMap;

/// The interned names. An index is the position in which its name was first seen, and stays valid.
#[derive(Debug, Default)]
pub(crate) struct NameInterner {
    zones: Vec<String>,
    machine_types: Vec<String>,
    images: HashMap<String, ImageIndex>,
}

/// Returns the index of a name; adds the name if it is new.
fn intern(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl NameInterner {
    /// Returns the index of a zone; adds the zone if it is new.
    pub(super) fn intern_zone(&mut self, name: &str) -> usize {
        intern(&mut self.zones, name)
    }

    /// Returns the index of a machine type; adds the type if it is new.
    pub(super) fn intern_machine_type(&mut self, name: &str) -> usize {
        intern(&mut self.machine_types, name)
    }

    /// Returns the indexes of a machine's images, sorted and without duplicates; adds images that are new.
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

    /// Returns the index of a zone; `None` if this leader has seen no machine or pending instance there.
    pub(crate) fn zone_index_of(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// Returns the name of the zone with this index; `None` if the index was not assigned.
    pub(crate) fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// Number of zones that have been seen.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Names of the machine types that have been seen; a type's index is its position.
    pub(super) fn machine_types(&self) -> &[String] {
        &self.machine_types
    }

    /// Returns the index of an image; `ImageIndex::MAX`, which equals no machine's image, if no machine has held it.
    pub(super) fn image_index_of(&self, name: &str) -> ImageIndex {
        self.images.get(name).copied().unwrap_or(ImageIndex::MAX)
    }
}
