use super::*;

#[test]
fn parts_follow_the_room_and_closed_zones_get_none() {
    let room = |size, util, open| ZoneCapacity { size, util, open };
    let parts = divide(&[
        room(10.0, Some(0.4), true),
        room(10.0, Some(0.8), true),
        room(50.0, Some(0.1), false),
        room(10.0, None, true),
    ]);
    assert_eq!(parts[2], 0.0);
    assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    assert!((parts[0] / parts[1] - 3.0).abs() < 1e-9);
    assert_eq!(divide(&[room(1.0, None, false)]), [0.0]);
}
