//! Divides the requests that spill from the local zone among the other zones, in proportion to their free capacity.

/// Capacity of a zone for requests that spill from the local zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneCapacity {
    /// Sum of the relative capacities of the zone's servers, multiplied by the fraction that the zone's state allows.
    pub(crate) capacity: f64,
    /// Utilization of the zone's cores, from 0 to 1; none without a recent report.
    pub(crate) utilization: Option<f64>,
    /// Whether the zone may take spilled requests.
    pub(crate) is_available: bool,
}

/// Utilization assumed for a zone without a recent report.
const DEFAULT_UTILIZATION: f64 = 0.5;
/// Lower bound of the free fraction of a zone's capacity, so that an outdated report cannot exclude a zone.
const MINIMUM_FREE_FRACTION: f64 = 0.05;

impl ZoneCapacity {
    /// Capacity left for spilled requests, in units of relative server capacity.
    fn free_capacity(&self) -> f64 {
        if !self.is_available {
            return 0.0;
        }
        let utilization = self.utilization.unwrap_or(DEFAULT_UTILIZATION);
        let free_fraction = (1.0 - utilization).clamp(MINIMUM_FREE_FRACTION, 1.0);
        self.capacity.max(0.0) * free_fraction
    }
}

/// Each zone's fraction of the spilled requests. The fractions add up to 1, or are all 0 without free capacity.
pub(crate) fn divide_traffic(zones: &[ZoneCapacity]) -> Vec<f64> {
    let total: f64 = zones.iter().map(ZoneCapacity::free_capacity).sum();
    zones
        .iter()
        .map(|zone| {
            if total > 0.0 {
                zone.free_capacity() / total
            } else {
                0.0
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
