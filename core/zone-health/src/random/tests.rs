//! Guards against a change of the random sequence, which would make recorded runs irreproducible.

use super::*;

#[test]
fn draws_the_recorded_fractions() {
    let mut generator = LinearCongruentialGenerator::new(7);
    let drawn = [(); 3].map(|()| generator.next_fraction().to_bits());
    let recorded = [
        0x3fdb_f9b0_40d5_d710,
        0x3fef_c8db_c3ff_7807,
        0x3fe8_0f66_6ad7_9e05,
    ];
    assert_eq!(drawn, recorded);
}
