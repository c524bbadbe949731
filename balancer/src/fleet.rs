//! State that all decisions read: settings, time, backends, zones and class statistics.

use crate::api::{BackendId, ClassSettings, Nanos, Settings, ZoneId};
use crate::backends::Backends;
use crate::class_statistics::{ClassStatistics, Classes};
use crate::zones::Zones;

/// This node's view of the fleet.
pub(crate) struct Fleet {
    /// Settings of the node, never changed.
    pub(crate) settings: Settings,
    /// Time of the current event; never decreases.
    pub(crate) now: Nanos,
    pub(crate) backends: Backends,
    pub(crate) zones: Zones,
    /// Statistics of the request classes.
    pub(crate) classes: Classes,
}

impl Fleet {
    /// Creates a fleet without backends and without measurements.
    pub(crate) fn new(settings: Settings, now: Nanos) -> Self {
        Self {
            now,
            backends: Backends::default(),
            zones: Zones::new(settings.zone_count),
            classes: Classes::new(&settings.classes),
            settings,
        }
    }

    pub(crate) fn local_zone(&self) -> ZoneId {
        self.settings.local_zone
    }

    /// All zones except the node's own, in id order.
    pub(crate) fn remote_zones(&self) -> impl Iterator<Item = ZoneId> + Clone {
        let local = self.local_zone();
        (0..self.settings.zone_count)
            .map(ZoneId)
            .filter(move |&zone| zone != local)
    }

    /// Counts an attempt as load of a backend and its zone once the backend has the complete request. Returns the
    /// backend's load before the attempt; `None` if the backend is unknown.
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

    /// Releases the slow-start budget reserved for an upload that has ended, complete or not.
    pub(crate) fn end_upload(&mut self, id: BackendId, reserved: f64) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.release_slow_start_budget(reserved);
        }
    }

    /// Statistics and settings of each class, by class id.
    pub(crate) fn classes_with_settings(
        &self,
    ) -> impl Iterator<Item = (&ClassStatistics, &ClassSettings)> {
        self.classes.iter().zip(&self.settings.classes)
    }
}
