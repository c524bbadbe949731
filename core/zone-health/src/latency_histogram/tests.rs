use super::*;

#[test]
fn silence_tells_nothing_early_and_much_late() {
    let mut times = LatencyHistogram::new();
    assert_eq!(times.silence(1000 * MS, 2.0), 0.0, "nothing is known yet");
    (0..500).for_each(|number| times.add((20 + number % 40) * MS));
    assert!(times.silence(30 * MS, 2.0) < 0.1);
    assert!(times.silence(150 * MS, 2.0) > 2.0);
    assert!(times.silence(150 * MS, 4.0) < 0.7);
    let median = times.within(0.5).unwrap_or(0) / MS;
    assert!((30..60).contains(&median), "{median}");
}

#[test]
fn what_was_long_ago_is_forgotten() {
    let mut times = LatencyHistogram::new();
    (0..2000).for_each(|_| times.add(10 * MS));
    (0..8000).for_each(|_| times.add(80 * MS));
    assert!(times.within(0.1).unwrap_or(0) > 60 * MS);
}
