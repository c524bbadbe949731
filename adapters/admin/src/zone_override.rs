//! Parses zone overrides from request paths.

use std::time::Duration;

use badgerpost_engine::{ForcedZoneState, Metrics, ZoneOverride, nanos};

/// The maximum duration of an override in seconds. The limit ends an override that the operators forget to end.
const MAX_OVERRIDE_SECONDS: u64 = 3600;

/// An operator's command to start or end an override of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneOverrideCommand {
    /// The zone's name.
    pub zone: String,
    /// The override to start; `None` ends the current override.
    pub zone_override: Option<ZoneOverride>,
}

/// Parses `/zones/Z/close/SECONDS`, `/zones/Z/open/SECONDS` or `/zones/Z/auto`. Returns `None` for any other path and
/// for a zone that is not monitored.
pub(crate) fn parse_zone_override(path: &str, metrics: &Metrics) -> Option<ZoneOverrideCommand> {
    let (zone, action) = path.strip_prefix("/zones/")?.split_once('/')?;
    let zone_override = match action.split_once('/') {
        Some(("close", seconds)) => Some(ZoneOverride {
            state: ForcedZoneState::Closed,
            duration: nanos(parse_duration(seconds)?),
        }),
        Some(("open", seconds)) => Some(ZoneOverride {
            state: ForcedZoneState::Open,
            duration: nanos(parse_duration(seconds)?),
        }),
        None if action == "auto" => None,
        _ => return None,
    };
    let is_monitored = metrics
        .zones()
        .iter()
        .any(|monitored| monitored.name == zone);
    is_monitored.then(|| ZoneOverrideCommand {
        zone: zone.to_owned(),
        zone_override,
    })
}

/// Parses a number of seconds from 1 to [`MAX_OVERRIDE_SECONDS`].
fn parse_duration(seconds: &str) -> Option<Duration> {
    let seconds = seconds.parse().ok()?;
    (1..=MAX_OVERRIDE_SECONDS)
        .contains(&seconds)
        .then(|| Duration::from_secs(seconds))
}
