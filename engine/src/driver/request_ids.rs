//! Exchange of request ids with another process of the same node, so that neither runs a request of the other again.

use badgerpost_balancer::{ClassId, Idempotency};
use badgerpost_settings::name_hash;
use tokio::sync::mpsc;

use super::Driver;
use crate::executed_request_ids::RequestIdHash;
use crate::protocol::Protocol;

/// Maximum number of ids that wait to be sent to the other process. Further ones are not sent.
const MAX_WAITING_IDS: usize = 4096;

/// The ids of the requests that another process must not run.
pub struct ExportedRequestIds {
    /// Those of the requests so far.
    pub known: Vec<RequestIdHash>,
    /// Those of the requests that are submitted from now on.
    pub submitted: mpsc::Receiver<RequestIdHash>,
}

impl<P: Protocol> Driver<P> {
    /// See [`Engine::export_request_ids`](crate::Engine::export_request_ids).
    pub(crate) fn export_request_ids(&mut self) -> ExportedRequestIds {
        let (sender, submitted) = mpsc::channel(MAX_WAITING_IDS);
        self.request_id_sender = Some(sender);
        let open = self.requests.all();
        let open = open.filter(|request| !self.is_idempotent(request.class));
        let open = open.map(|request| name_hash(&request.client_id));
        let executed = self.client_request_ids.executed.all();
        ExportedRequestIds {
            known: open.chain(executed).collect(),
            submitted,
        }
    }

    /// See [`Engine::import_request_ids`](crate::Engine::import_request_ids).
    pub(crate) fn import_request_ids(&mut self, ids: &[RequestIdHash]) {
        let now = self.clock.now();
        for id in ids {
            self.client_request_ids.executed.add(*id, now);
        }
    }

    /// Tells the other process, if there is one, that a request is about to run here.
    pub(super) fn export_request_id(&mut self, client_id: &str, class: ClassId) {
        if self.is_idempotent(class) {
            return;
        }
        let Some(sender) = &self.request_id_sender else {
            return;
        };
        // A full channel means that the other process has stopped reading.
        let sent = sender.try_send(name_hash(client_id));
        if matches!(sent, Err(mpsc::error::TrySendError::Closed(_))) {
            self.request_id_sender = None;
        }
    }

    /// Whether requests of this class may run any number of times.
    pub(super) fn is_idempotent(&self, class: ClassId) -> bool {
        let class = self.settings.classes.get(class.0 as usize);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }
}
