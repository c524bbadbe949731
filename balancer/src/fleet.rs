//! What this node knows of the fleet: its settings, the time, backends, zones and request classes.

use crate::api::{ClassSettings, Nanos, Settings, ZoneId};
use crate::backends::Backends;
use crate::class_statistics::{ClassStatistics, Classes};
use crate::zones::Zones;

/// The state that all decisions read. Each part changes its own state only, by its methods.
pub(crate) struct Fleet {
    /// Settings of the node; they never change.
    pub(crate) settings: Settings,
    /// Time of the event being handled; it never goes back.
    pub(crate) now: Nanos,
    /// The backends, by id.
    pub(crate) backends: Backends,
    /// The zones, by id.
    pub(crate) zones: Zones,
    /// Statistics of the request classes, by id.
    pub(crate) classes: Classes,
}

impl Fleet {
    /// A fleet of which only the settings are known.
    pub(crate) fn new(settings: Settings, now: Nanos) -> Self {
        Self {
            now,
            backends: Backends::default(),
            zones: Zones::new(settings.zone_count),
            classes: Classes::new(&settings.classes),
            settings,
        }
    }

    /// The node's own zone.
    pub(crate) fn local_zone(&self) -> ZoneId {
        self.settings.local_zone
    }

    /// All zones but the node's own.
    pub(crate) fn remote_zones(&self) -> impl Iterator<Item = ZoneId> + Clone {
        let local = self.local_zone();
        (0..self.settings.zone_count)
            .map(ZoneId)
            .filter(move |&zone| zone != local)
    }

    /// Statistics and settings of each class, by id.
    pub(crate) fn classes_with_settings(
        &self,
    ) -> impl Iterator<Item = (&ClassStatistics, &ClassSettings)> {
        self.classes.iter().zip(&self.settings.classes)
    }
}
