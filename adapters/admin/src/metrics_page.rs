//! The console's metrics page, with one line `node.NAME=VALUE` for each metric. Metric names are defined only here.

use std::fmt::{Display, Write};

use badgerpost_balancer::Outcome;
use badgerpost_engine::{ConnectionLimit, Metrics, RequestEndReason};

/// The text of the page.
#[derive(Default)]
struct Page(String);

impl Page {
    fn line(&mut self, name: &str, value: impl Display) {
        // Writing to a `String` does not fail.
        let _ = writeln!(self.0, "node.{name}={value}");
    }
}

/// Returns the page with all metrics of the node. Peer metrics are left out while gossip is off.
pub(crate) fn metrics_page(metrics: &Metrics) -> String {
    let mut page = Page::default();
    for (class, counts) in metrics.classes() {
        page.line(&format!("transactions.{class}.answered"), counts.served);
        page.line(&format!("transactions.{class}.deferred"), counts.rejected);
        page.line(&format!("transactions.{class}.errored"), counts.failed);
    }
    page.line("sends", metrics.attempts_sent());
    page.line("current", metrics.requests_in_progress());
    let backends = metrics.backend_counts();
    page.line("cluster_size", backends.listed);
    page.line("cluster_unhealthy", backends.avoided);
    for limit in ConnectionLimit::ALL {
        let name = format!("connections.closed.{}", limit.name());
        page.line(&name, metrics.connections_closed(limit));
    }
    for outcome in Outcome::ALL {
        let name = format!("attempts.ended.{}", outcome.log_name());
        page.line(&name, metrics.attempts_ended(outcome));
    }
    for reason in RequestEndReason::all() {
        let name = format!("requests.unanswered.{}", reason.name());
        page.line(&name, metrics.requests_unanswered(reason));
    }
    for zone in metrics.zones() {
        let thousandths = (zone.share * 1000.0).round() as u64;
        page.line(&format!("zone.{}.share", zone.name), thousandths);
        page.line(&format!("zone.{}.why", zone.name), zone.reason);
    }
    let peers = metrics.peers_snapshot();
    if peers.members > 0 {
        page.line("peers.members", peers.members);
        page.line("peers.bytes_in", peers.received_bytes);
        page.line("peers.bytes_out", peers.sent_bytes);
        page.line("peers.strangers", peers.unauthenticated);
        page.line("peers.malformed", peers.malformed);
        page.line("peers.ignored_items", peers.ignored_items);
    }
    page.0
}
