//! All zones, by id.

use crate::api::{BackendId, Nanos, ZoneId};
use crate::zone::Zone;

/// A zone for which a probe has been requested.
#[derive(Clone, Copy)]
pub(crate) struct RequestedProbe {
    pub(crate) zone: ZoneId,
    /// Time to wait for the response, in nanoseconds.
    pub(crate) timeout: Nanos,
}

/// Target and timeout of a zone probe.
pub(crate) struct ZoneProbe {
    pub(crate) zone: ZoneId,
    pub(crate) backend: BackendId,
    /// Time to wait for the response, in nanoseconds.
    pub(crate) timeout: Nanos,
}

/// State of all zones in the settings.
pub(crate) struct Zones {
    zones: Vec<Zone>,
}

impl Zones {
    /// Creates `count` zones without measurements.
    pub(crate) fn new(count: u32) -> Self {
        Self {
            zones: vec![Zone::new(); count as usize],
        }
    }

    /// Returns a copy of a zone's state; a zone that is not in the settings has no capacity and a traffic share of
    /// 0.
    pub(crate) fn get(&self, id: ZoneId) -> Zone {
        self.zones.get(id.index()).copied().unwrap_or_default()
    }

    pub(crate) fn get_mut(&mut self, id: ZoneId) -> Option<&mut Zone> {
        self.zones.get_mut(id.index())
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (ZoneId, &mut Zone)> {
        (0..).map(ZoneId).zip(&mut self.zones)
    }

    pub(crate) fn count(&self) -> usize {
        self.zones.len()
    }

    /// Traffic share of a zone, 0 to 1.
    pub(crate) fn traffic_share(&self, id: ZoneId) -> f64 {
        self.get(id).traffic_share()
    }

    /// The first zone for which a probe has been requested.
    pub(crate) fn requested_probe(&self) -> Option<RequestedProbe> {
        let ids = (0..).map(ZoneId);
        ids.zip(&self.zones).find_map(|(zone, state)| {
            let timeout = state.probe_timeout()?;
            Some(RequestedProbe { zone, timeout })
        })
    }
}
