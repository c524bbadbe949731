use super::*;

#[test]
fn equal_seeds_draw_alike_and_purposes_apart() {
    let draws = |seed, purpose| {
        let mut random = Random::new(seed, purpose);
        (0..4).map(|_| random.bits()).collect::<Vec<_>>()
    };
    assert_eq!(draws(7, "arrivals"), draws(7, "arrivals"));
    assert_ne!(draws(7, "arrivals"), draws(7, "servers"));
    assert_ne!(draws(7, "arrivals"), draws(8, "arrivals"));
}

#[test]
fn draws_keep_their_bounds_and_means() {
    let mut random = Random::new(1, "test");
    assert!((0..1000).all(|_| (3..=5).contains(&random.between(3, 5))));
    assert_eq!(random.between(9, 9), 9);
    assert!((0..1000).any(|_| random.between(0, u64::MAX) > u64::MAX / 2));
    let mean = (0..20_000).map(|_| random.exponential(4.0)).sum::<f64>() / 20_000.0;
    assert!((3.8..4.2).contains(&mean), "{mean}");
    let share = (0..20_000).filter(|_| random.chance(0.3)).count();
    assert!((5_700..6_300).contains(&share), "{share}");
}
