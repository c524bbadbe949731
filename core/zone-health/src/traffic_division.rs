//! Divides the traffic that the local zone does not take among the other zones, in proportion to their free capacity.

/// A zone that may take traffic of the local zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneCapacity {
    /// Sum of the sizes of its servers, less what its state withholds.
    pub(crate) capacity: f64,
    /// Utilization of its cores, from 0 to 1, if recently reported.
    pub(crate) utilization: Option<f64>,
    /// Whether the zone may take any traffic.
    pub(crate) is_available: bool,
}

/// Utilization assumed for a zone that has not reported any.
const DEFAULT_UTILIZATION: f64 = 0.5;
/// Fraction of its size that counts as free at the least: an outdated report must not exclude a zone.
const MINIMUM_FREE_FRACTION: f64 = 0.05;

impl ZoneCapacity {
    /// The capacity left for more traffic, in units of size.
    fn free_capacity(&self) -> f64 {
        if !self.is_available {
            return 0.0;
        }
        let utilization = self.utilization.unwrap_or(DEFAULT_UTILIZATION);
        let free_fraction = (1.0 - utilization).clamp(MINIMUM_FREE_FRACTION, 1.0);
        self.capacity.max(0.0) * free_fraction
    }
}

/// Each zone's fraction of the traffic. The fractions add up to 1, or are all 0 if no zone has free capacity.
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
