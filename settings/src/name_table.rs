//! Translates between the names in the settings and endpoint lists and the balancer's integer ids.

use std::collections::HashMap;

use badgerpost_balancer::ZoneId;

/// Maximum number of zones, and of machine kinds. Endpoint lists may contain new names at any time; names beyond this
/// number share the last id, which bounds the table's memory.
const MAX_NAMES: usize = 1024;

/// The names in a settings object, in the order of the settings.
pub(crate) struct SettingsNames {
    pub(crate) zones: Vec<String>,
    pub(crate) classes: Vec<String>,
    pub(crate) machine_kinds: Vec<String>,
    pub(crate) tenants: Vec<String>,
}

/// Maps the names of zones, request classes, machine kinds and tenants to ids. The ids are valid within one node only.
///
/// The id of a name in the settings is the name's position there. New names get the following ids in the order in which
/// they appear.
pub struct NameTable {
    zones: Vec<String>,
    /// A class that is listed twice in the settings has the id of the last entry.
    classes: HashMap<String, u32>,
    machine_kinds: Vec<String>,
    tenants: Vec<String>,
}

impl NameTable {
    /// Creates a table of the names in the settings.
    pub(crate) fn new(names: SettingsNames) -> Self {
        Self {
            zones: names.zones,
            classes: names.classes.into_iter().zip(0..).collect(),
            machine_kinds: names.machine_kinds,
            tenants: names.tenants,
        }
    }

    /// The name of a zone, or `None` for an unassigned id.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        let position = usize::try_from(zone.0).ok()?;
        self.zones.get(position).map(String::as_str)
    }

    /// The id of a zone. An unknown name is added to the table.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(find_or_insert(&mut self.zones, name))
    }

    /// The id of a machine kind. An unknown name is added to the table.
    pub fn kind(&mut self, name: &str) -> u32 {
        find_or_insert(&mut self.machine_kinds, name)
    }

    /// The id of a tenant, or `None` if the request has no tenant or the settings do not list the tenant.
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

    /// The id of a request class, or `None` if the settings do not list the class.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.get(name).copied()
    }
}

/// Returns the id of a name. An unknown name is added while there are fewer than [`MAX_NAMES`].
fn find_or_insert(names: &mut Vec<String>, name: &str) -> u32 {
    if let Some(position) = names.iter().position(|known| known == name) {
        return id_of_position(position);
    }
    if names.len() < MAX_NAMES {
        names.push(name.to_owned());
    }
    id_of_position(names.len() - 1)
}

/// Converts a position in a list of names to an id.
pub(crate) fn id_of_position(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
