//! Division of requests among zones with different utilization and availability.

use super::*;

#[test]
fn fractions_follow_free_capacity_and_unavailable_zones_get_none() {
    let zone = |capacity, utilization, is_available| ZoneCapacity {
        capacity,
        utilization,
        is_available,
    };
    let fractions = divide_traffic(&[
        zone(10.0, Some(0.4), true),
        zone(10.0, Some(0.8), true),
        zone(50.0, Some(0.1), false),
        zone(10.0, None, true),
    ]);
    assert_eq!(fractions[2], 0.0);
    assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    assert!((fractions[0] / fractions[1] - 3.0).abs() < 1e-9);
    assert_eq!(divide_traffic(&[zone(1.0, None, false)]), [0.0]);
}
