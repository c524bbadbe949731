//! State that all decisions read: settings, time, backends, zones and request classes.

use crate::api::{BackendId, ClassSettings, Nanos, Settings, ZoneId};
use crate::backends::Backends;
use crate::class_statistics::{ClassStatistics, Classes};
use crate::zones::Zones;

/// This node's view of the fleet. Each part changes its own state only, by its methods.
pub(crate) struct Fleet {
    /// Settings of the node; they never change.
    pub(crate) settings: Settings,
    /// Time of the event being handled; it never decreases.
    pub(crate) now: Nanos,
    /// The backends, by id.
    pub(crate) backends: Backends,
    /// The zones, by id.
    pub(crate) zones: Zones,
    /// Statistics of the request classes, by id.
    pub(crate) classes: Classes,
}

impl Fleet {
    /// A fleet without backends; of its zones and classes nothing has been measured.
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

    /// Counts an attempt with a backend and its zone, now that the backend has the complete request. Returns
    /// the backend's load before it; `None` if there is no such backend.
    pub(crate) fn start_attempt(
        &mut self,
        id: BackendId,
        zone: ZoneId,
        slow_start_cost: f64,
    ) -> Option<f64> {
        let backend = self.backends.get_mut(id)?;
        let load = backend.load(&self.settings);
        backend.start_request(self.now, &self.settings.rules, slow_start_cost);
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.start_attempt(self.now);
        }
        Some(load)
    }

    /// An attempt's upload has ended, complete or not: what it had reserved of a slow-start budget is free.
    pub(crate) fn end_upload(&mut self, id: BackendId, reserved: f64) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.release_slow_start_budget(reserved);
        }
    }

    /// Statistics and settings of each class, by id.
    pub(crate) fn classes_with_settings(
        &self,
    ) -> impl Iterator<Item = (&ClassStatistics, &ClassSettings)> {
        self.classes.iter().zip(&self.settings.classes)
    }
}
