//! Translates between the names in the settings and endpoint lists and the balancer's integer ids.

use std::collections::HashMap;

use badgerpost_balancer::ZoneId;

/// Most names of one sort, zones or machine kinds. Endpoint lists may bring new names for as long as a process runs;
/// those beyond this many share the last id, so that the table stays bounded.
const MAX_NAMES: usize = 1024;

/// The names in a settings object, each list in the settings' order.
pub(crate) struct SettingsNames {
    pub(crate) zones: Vec<String>,
    pub(crate) classes: Vec<String>,
    pub(crate) machine_kinds: Vec<String>,
    pub(crate) tenants: Vec<String>,
}

/// The ids that one node has given to the names of its zones, request classes, machine kinds and tenants.
///
/// An id is the position of its name: first those of the settings in their order, then new ones as they appear.
pub struct NameTable {
    zones: Vec<String>,
    /// A class that is named twice in the settings has the id of its last entry.
    classes: HashMap<String, u32>,
    machine_kinds: Vec<String>,
    tenants: Vec<String>,
}

impl NameTable {
    /// A table of the names in the settings.
    pub(crate) fn new(names: SettingsNames) -> Self {
        Self {
            zones: names.zones,
            classes: names.classes.into_iter().zip(0..).collect(),
            machine_kinds: names.machine_kinds,
            tenants: names.tenants,
        }
    }

    /// A zone's name, or `None` for an id that was never given out.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        let position = usize::try_from(zone.0).ok()?;
        self.zones.get(position).map(String::as_str)
    }

    /// A zone's id. A name that the settings do not list gets an id past those of the settings.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(find_or_insert(&mut self.zones, name))
    }

    /// A machine kind's id; a new name gets a new id.
    pub fn kind(&mut self, name: &str) -> u32 {
        find_or_insert(&mut self.machine_kinds, name)
    }

    /// A tenant's id, or `None` where the request has no tenant or one that the settings do not list.
    #[must_use]
    pub fn tenant(&self, name: Option<&str>) -> Option<u32> {
        let name = name?;
        let position = self.tenants.iter().position(|known| known == name)?;
        Some(id_of_position(position))
    }

    /// The names of the request classes, by id.
    #[must_use]
    pub fn class_names(&self) -> Vec<String> {
        let mut names: Vec<_> = self.classes.iter().collect();
        names.sort_by_key(|(_, id)| **id);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// A request class's id, or `None` where the settings do not list it.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.get(name).copied()
    }
}

/// The id of a name, which is added if it is new and there are fewer than [`MAX_NAMES`].
fn find_or_insert(names: &mut Vec<String>, name: &str) -> u32 {
    if let Some(position) = names.iter().position(|known| known == name) {
        return id_of_position(position);
    }
    if names.len() < MAX_NAMES {
        names.push(name.to_owned());
    }
    id_of_position(names.len() - 1)
}

/// A position as an id. No list of names comes near the bound of `u32`.
pub(crate) fn id_of_position(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
