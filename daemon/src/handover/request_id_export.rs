//! Sends the ids of requests that the other version must not run.

use badgerpost_engine::{ExportedRequestIds, RequestIdHash};
use badgerpost_http::HttpEngine;
use badgerpost_socket_handover::{MAX_IDS_PER_MESSAGE, Message};

/// The ids that are still to be sent; none before the export has started.
#[derive(Default)]
pub(super) struct RequestIdExport(Option<ExportedRequestIds>);

impl RequestIdExport {
    /// Starts the export. Does nothing if it has started before.
    pub(super) fn start(&mut self, engine: &HttpEngine) {
        self.0.get_or_insert_with(|| engine.export_request_ids());
    }

    /// Waits for ids and returns the message with them. Cancelling the wait loses no ids.
    pub(super) async fn next_message(&mut self) -> Message {
        let Some(ids) = &mut self.0 else {
            return std::future::pending().await;
        };
        if !ids.known.is_empty() {
            let rest = ids.known.len().saturating_sub(MAX_IDS_PER_MESSAGE);
            return Message::RequestIds {
                ids: ids.known.split_off(rest),
            };
        }
        let mut submitted: Vec<RequestIdHash> = Vec::new();
        if ids
            .submitted
            .recv_many(&mut submitted, MAX_IDS_PER_MESSAGE)
            .await
            == 0
        {
            // Another export has replaced this one.
            return std::future::pending().await;
        }
        Message::RequestIds { ids: submitted }
    }
}
