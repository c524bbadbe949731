//! Log messages about backends, zones and requests.

use badgerpost_balancer::{BackendId, LogEvent};
use badgerpost_settings::NameTable;

use crate::backends::Backends;
use crate::zone_monitoring::ZoneChange;
use badgerpost_time::MILLISECOND;

/// The tracing target of all messages. Operators filter by the target, so it must not change with the module layout.
const LOG_TARGET: &str = "badgerpost_engine::driver";

/// The log fields that identify a backend.
struct BackendNames<'a> {
    server: Option<&'a str>,
    zone: Option<&'a str>,
}

impl<'a> BackendNames<'a> {
    /// Looks up the names of a backend and its zone. The names are `None` if the backend is not listed.
    fn of(backend: BackendId, backends: &'a Backends) -> Self {
        let entry = backends.get(backend);
        Self {
            server: entry.map(|entry| &*entry.name),
            zone: entry.map(|entry| &*entry.zone),
        }
    }
}

/// Logs an event that the balancer reported.
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

/// Logs that the engine failed a request at its fallback timeout. `client_id` is the request's id as chosen by the
/// client.
pub(crate) fn log_fallback_timeout(client_id: &str) {
    tracing::warn!(
        target: LOG_TARGET,
        request = client_id,
        reason = "the balancer did not end the request before its fallback timeout",
        "request failed at its deadline"
    );
}
