//! What `badgerpost check` prints.

use super::operator::{LogFormat, OperatorConfig};
use super::platform::PlatformConfig;

/// What the platform's file has the node do, in lines for people.
pub(super) fn platform_summary(platform: &PlatformConfig) -> Vec<String> {
    let known = platform.known.as_ref();
    let known = known.map_or(0, |list| list.endpoints().count());
    let mut lines = vec![
        format!(
            "node {} takes HTTP/1.1 clients at {}",
            platform.name, platform.listen
        ),
        format!(
            "servers: the platform's list at {}, {known} known from before",
            platform.discovery
        ),
    ];
    if let Some(address) = platform.console {
        lines.push(format!("console: operators call at {address}"));
    }
    lines
}

/// What the operators' file has the node do besides.
pub(super) fn operator_summary(operator: &OperatorConfig) -> Vec<String> {
    let mut lines = Vec::new();
    if let Some(postgres) = &operator.postgres {
        lines.push(format!(
            "PostgreSQL clients at {}, {} servers, {} classes",
            postgres.listen,
            postgres.server.len(),
            postgres.class.len()
        ));
    }
    if operator.monitors_zones() {
        lines.push("zones: watched; a failing one is left and returned to by steps".to_owned());
    }
    if let Some(peers) = &operator.peers {
        lines.push(format!(
            "peers: datagrams at {}, {} seeds; zones are judged by what all see",
            peers.listen,
            peers.seeds.len()
        ));
    }
    if operator.log.format == LogFormat::Json {
        lines.push("log: JSON, a line each".to_owned());
    }
    lines.push(match operator.virtual_clock {
        Some(virtual_clock) => format!(
            "clock: STEPPED by the rehearsal at {}; not for service",
            virtual_clock.control
        ),
        None => "clock: the system's".to_owned(),
    });
    lines
}
