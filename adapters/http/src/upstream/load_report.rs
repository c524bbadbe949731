//! Parses the load reports of backends, which come in a response header or in the response to a health check.

use badgerpost_balancer::LoadReport;
use hyper::header::{HeaderMap, HeaderValue};
use serde::Deserialize;

const LOAD_REPORT_HEADER: &str = "x-load-report";

/// The wire format of a load report. Each field has two names.
#[derive(Default, Deserialize)]
struct ReportedLoad {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

/// The load report in a response's headers; empty if the header is missing.
pub(super) fn from_headers(headers: &HeaderMap) -> LoadReport {
    parse(
        headers
            .get(LOAD_REPORT_HEADER)
            .map(HeaderValue::as_bytes)
            .unwrap_or_default(),
    )
}

/// Parses a load report. An invalid report counts as empty, because it must not fail the response that it came with.
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
