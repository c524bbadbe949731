//! A backend's own figures of its load, as a response header or the answer to a health check tells them.

use badgerpost_balancer::LoadReport;
use hyper::header::{HeaderMap, HeaderValue};
use serde::Deserialize;

const LOAD_REPORT_HEADER: &str = "x-load-report";

/// The figures on the wire, under either of the names in use.
#[derive(Default, Deserialize)]
struct ReportedLoad {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

/// The load report in a response's headers; empty if there is none.
pub(super) fn from_headers(headers: &HeaderMap) -> LoadReport {
    parse(
        headers
            .get(LOAD_REPORT_HEADER)
            .map(HeaderValue::as_bytes)
            .unwrap_or_default(),
    )
}

/// Parses a load report. One that can't be parsed counts as empty: it must not fail a response that was served.
pub(super) fn parse(text: &[u8]) -> LoadReport {
    let reported: ReportedLoad = serde_json::from_slice(text).unwrap_or_default();
    LoadReport {
        utilization: reported.util,
        requests_per_second: reported.qps,
        in_flight: reported.inflight,
    }
}

#[cfg(test)]
mod tests;
