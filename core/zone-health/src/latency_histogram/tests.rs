//! Evidence and quantiles of histograms of known response times.

use super::*;

#[test]
fn silence_evidence_grows_with_the_waiting_time() {
    let mut histogram = LatencyHistogram::new();
    assert_eq!(
        histogram.silence_evidence(1000 * MILLISECOND, 2.0),
        0.0,
        "an empty histogram yields no evidence"
    );
    for number in 0..500 {
        histogram.record((20 + number % 40) * MILLISECOND);
    }
    assert!(histogram.silence_evidence(30 * MILLISECOND, 2.0) < 0.1);
    assert!(histogram.silence_evidence(150 * MILLISECOND, 2.0) > 2.0);
    assert!(histogram.silence_evidence(150 * MILLISECOND, 4.0) < 0.7);
    let median = histogram.quantile(0.5).unwrap_or(0) / MILLISECOND;
    assert!((30..60).contains(&median), "{median}");
}

#[test]
fn quantiles_follow_recent_samples() {
    let mut histogram = LatencyHistogram::new();
    for _ in 0..2000 {
        histogram.record(10 * MILLISECOND);
    }
    for _ in 0..8000 {
        histogram.record(80 * MILLISECOND);
    }
    assert!(histogram.quantile(0.1).unwrap_or(0) > 60 * MILLISECOND);
}
