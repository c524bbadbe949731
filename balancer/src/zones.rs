//! The zones, by id.

use crate::api::{BackendId, Nanos, ZoneId};
use crate::zone::Zone;

/// A zone that is to be probed.
#[derive(Clone, Copy)]
pub(crate) struct RequestedProbe {
    /// The zone.
    pub(crate) zone: ZoneId,
    /// How long to wait for the answer.
    pub(crate) timeout: Nanos,
}

/// Where and how long a request may probe a zone.
pub(crate) struct ZoneProbe {
    /// The zone.
    pub(crate) zone: ZoneId,
    /// The backend.
    pub(crate) backend: BackendId,
    /// How long to wait for the answer.
    pub(crate) timeout: Nanos,
}

/// All zones of the settings.
pub(crate) struct Zones {
    zones: Vec<Zone>,
}

impl Zones {
    /// `count` zones of which nothing has been measured.
    pub(crate) fn new(count: u32) -> Self {
        Self {
            zones: vec![Zone::new(); count as usize],
        }
    }

    /// A zone; one that is not in the settings has no capacity and a traffic share of 0.
    pub(crate) fn get(&self, id: ZoneId) -> Zone {
        self.zones.get(id.index()).copied().unwrap_or_default()
    }

    /// A zone, to be changed.
    pub(crate) fn get_mut(&mut self, id: ZoneId) -> Option<&mut Zone> {
        self.zones.get_mut(id.index())
    }

    /// All zones with their ids, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (ZoneId, &mut Zone)> {
        (0..).map(ZoneId).zip(&mut self.zones)
    }

    /// How many zones there are.
    pub(crate) fn count(&self) -> usize {
        self.zones.len()
    }

    /// Part of the requests that a zone may take, 0 to 1.
    pub(crate) fn traffic_share(&self, id: ZoneId) -> f64 {
        self.get(id).traffic_share()
    }

    /// The first zone that is to be probed.
    pub(crate) fn requested_probe(&self) -> Option<RequestedProbe> {
        let ids = (0..).map(ZoneId);
        ids.zip(&self.zones).find_map(|(zone, state)| {
            let timeout = state.probe_timeout()?;
            Some(RequestedProbe { zone, timeout })
        })
    }
}
