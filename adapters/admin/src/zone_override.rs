//! Orders about zones, as they stand in a call's path.

use std::time::Duration;

use badgerpost_engine::Metrics;

/// No order lasts longer: one that was forgotten ends by itself.
const LONGEST: u64 = 3600;

/// What operators want of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneOverrideCommand {
    /// The zone.
    pub zone: String,
    /// Closed (`true`) or held open, and for how long; none ends such an order.
    pub order: Option<(bool, Duration)>,
}

/// Reads `/zones/Z/close/SECONDS`, `/zones/Z/open/SECONDS` or `/zones/Z/auto`, for a zone that is watched.
pub(crate) fn order(path: &str, tally: &Metrics) -> Option<ZoneOverrideCommand> {
    let (zone, rest) = path.strip_prefix("/zones/")?.split_once('/')?;
    let known = tally.zones().iter().any(|known| known.name == zone);
    let span = |text: &str| {
        let seconds = text
            .parse()
            .ok()
            .filter(|seconds| (1..=LONGEST).contains(seconds))?;
        Some(Duration::from_secs(seconds))
    };
    let order = match rest.split_once('/') {
        Some(("close", seconds)) => Some((true, span(seconds)?)),
        Some(("open", seconds)) => Some((false, span(seconds)?)),
        None if rest == "auto" => None,
        _ => return None,
    };
    known.then(|| ZoneOverrideCommand {
        zone: zone.to_owned(),
        order,
    })
}
