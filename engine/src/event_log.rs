//! The log messages about backends, zones and requests.

use badgerpost_balancer::{BackendId, LogEvent};
use badgerpost_settings::NameTable;

use crate::backends::Backends;
use crate::zone_monitoring::ZoneChange;
use badgerpost_time::MILLISECOND;

/// The target of all messages. Operators may filter by it, so it does not follow the module that logs.
const LOG_TARGET: &str = "badgerpost_engine::driver";

/// The names of a listed backend and its zone, for a message.
struct BackendNames<'a> {
    server: Option<&'a str>,
    zone: Option<&'a str>,
}

impl<'a> BackendNames<'a> {
    /// The names of a backend, or none if it is not listed.
    fn of(backend: BackendId, backends: &'a Backends) -> Self {
        let entry = backends.get(backend);
        Self {
            server: entry.map(|entry| &*entry.name),
            zone: entry.map(|entry| &*entry.zone),
        }
    }
}

/// Logs an event that the balancer reports.
pub(crate) fn log_balancer_event(event: &LogEvent, backends: &Backends, names: &NameTable) {
    match event {
        LogEvent::ZoneSpill { active, to } => {
            let zone = names.zone_name(*to);
            tracing::info!(
                target: LOG_TARGET,
                spills = active,
                best_other_zone = zone,
                "home zone crossed its threshold"
            );
        }
        LogEvent::Ejected {
            backend,
            duration,
            outcome,
        } => {
            let BackendNames { server, zone } = BackendNames::of(*backend, backends);
            let for_ms = duration / MILLISECOND;
            let reason = outcome.log_name();
            tracing::info!(target: LOG_TARGET, server, zone, for_ms, reason, "server ejected");
        }
        LogEvent::Readmitted { backend } => {
            let BackendNames { server, zone } = BackendNames::of(*backend, backends);
            tracing::info!(target: LOG_TARGET, server, zone, "server readmitted");
        }
    }
}

/// Logs a zone's new share and the reason for it. The evidence is rounded to one decimal.
pub(crate) fn log_zone_change(change: &ZoneChange, names: &NameTable) {
    let zone = names.zone_name(change.zone);
    let why = change.reason.as_str();
    let evidence = (change.reason.evidence() * 10.0).round() / 10.0;
    let ZoneChange { share, servers, .. } = change;
    tracing::info!(target: LOG_TARGET, zone, why, evidence, share, servers, "zone changed");
}

/// Logs that a request failed because the balancer had not ended it in time. `client_id` is the client's id of it.
pub(crate) fn log_backstop(client_id: &str) {
    tracing::warn!(
        target: LOG_TARGET,
        request = client_id,
        reason = "the module left it open",
        "request failed at its deadline"
    );
}
