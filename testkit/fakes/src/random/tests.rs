use super::*;

#[test]
fn draws_depend_only_on_the_seed_and_the_purpose() {
    let draws = |seed, purpose| {
        let mut random = Random::new(seed, purpose);
        (0..4).map(|_| random.next_u64()).collect::<Vec<_>>()
    };
    assert_eq!(draws(7, "arrivals"), draws(7, "arrivals"));
    assert_ne!(draws(7, "arrivals"), draws(7, "servers"));
    assert_ne!(draws(7, "arrivals"), draws(8, "arrivals"));
}

#[test]
fn draws_have_the_requested_bounds_and_means() {
    let mut random = Random::new(1, "test");
    assert!((0..1000).all(|_| (3..=5).contains(&random.between(3, 5))));
    assert_eq!(random.between(9, 9), 9);
    assert!((0..1000).any(|_| random.between(0, u64::MAX) > u64::MAX / 2));
    let mean = (0..20_000).map(|_| random.exponential(4.0)).sum::<f64>() / 20_000.0;
    assert!((3.8..4.2).contains(&mean), "{mean}");
    let share = (0..20_000).filter(|_| random.chance(0.3)).count();
    assert!((5_700..6_300).contains(&share), "{share}");
}

/// Seeds in repro files depend on these numbers.
#[test]
fn the_draws_of_a_seed_do_not_change() {
    let mut random = Random::new(7, "arrivals");
    let numbers = [(); 3].map(|()| random.next_u64());
    assert_eq!(
        numbers,
        [
            0xdb45_e58a_999f_2550,
            0x74a3_d948_0942_f70e,
            0xd948_6bbe_f833_3e23
        ]
    );
}
