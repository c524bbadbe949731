//! The lines that `badgerpost check` prints.

use super::operator::{LogFormat, OperatorConfig};
use super::platform::PlatformConfig;

/// Describes the services that the platform's file configures.
pub(super) fn platform_summary(platform: &PlatformConfig) -> Vec<String> {
    let known_endpoints = platform.known_endpoints.as_ref();
    let known_count = known_endpoints.map_or(0, |list| list.endpoints().count());
    let mut lines = vec![
        format!(
            "node {} listens for HTTP/1.1 clients at {}",
            platform.name, platform.listen
        ),
        format!(
            "servers: endpoint list from discovery at {}, {known_count} endpoints known at start",
            platform.discovery
        ),
    ];
    if let Some(address) = platform.console {
        lines.push(format!("console: listens at {address}"));
    }
    lines
}

/// Describes the optional features that the operators' file enables.
pub(super) fn operator_summary(operator: &OperatorConfig) -> Vec<String> {
    let mut lines = Vec::new();
    if let Some(postgres) = &operator.postgres {
        lines.push(format!(
            "postgres: listens at {}, {} servers, {} classes",
            postgres.listen,
            postgres.server.len(),
            postgres.class.len()
        ));
    }
    if operator.monitors_zones() {
        lines.push("zones: monitored; a failing zone is ejected and recovers in steps".to_owned());
    }
    if let Some(peers) = &operator.peers {
        lines.push(format!(
            "peers: gossip at {}, {} seeds; nodes share their observations of zones",
            peers.listen,
            peers.seeds.len()
        ));
    }
    if operator.log.format == LogFormat::Json {
        lines.push("log: one JSON object per line".to_owned());
    }
    lines.push(match operator.virtual_clock {
        Some(virtual_clock) => format!(
            "clock: virtual, controlled by a test at {}; not for production use",
            virtual_clock.controller
        ),
        None => "clock: the system's".to_owned(),
    });
    lines
}
