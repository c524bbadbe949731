//! The outcome of a submitted request, as its submitter awaits it.

use badgerpost_balancer::{Nanos, RequestId};
use tokio::sync::oneshot;

use crate::engine::Engine;
use crate::protocol::{Protocol, RequestOutcome};

/// The outcome of a submitted request, to be awaited. Dropping this reports that the client has disconnected.
pub struct PendingResponse<P: Protocol> {
    engine: Engine<P>,
    request: RequestId,
    outcome: oneshot::Receiver<RequestOutcome<P::Response>>,
}

impl<P: Protocol> PendingResponse<P> {
    /// The response to `request`, whose outcome arrives on `outcome`.
    pub(crate) fn new(
        engine: Engine<P>,
        request: RequestId,
        outcome: oneshot::Receiver<RequestOutcome<P::Response>>,
    ) -> Self {
        Self {
            engine,
            request,
            outcome,
        }
    }

    /// Reports that the request's body has been uploaded. The client waits for another `budget` nanoseconds from now.
    pub fn upload_complete(&self, budget: Nanos) {
        self.engine.with_driver(|driver, pending_io| {
            driver.upload_complete(self.request, budget, pending_io);
        });
    }

    /// Rejects the request, which must not have run on any backend. Returns the outcome for the client.
    pub fn reject(&self) -> RequestOutcome<P::Response> {
        self.engine
            .with_driver(|driver, pending_io| driver.reject(self.request, pending_io))
    }

    /// Waits for the outcome.
    pub async fn into_outcome(mut self) -> RequestOutcome<P::Response> {
        self.wait().await
    }

    /// Waits for the outcome. Must not be called again after it has returned the outcome.
    pub async fn wait(&mut self) -> RequestOutcome<P::Response> {
        // If the request was removed without an outcome, the sender is dropped and the request counts as failed.
        (&mut self.outcome).await.unwrap_or(RequestOutcome::Failed)
    }
}

impl<P: Protocol> Drop for PendingResponse<P> {
    /// The task of a client connection ends when the client disconnects, which drops the pending response.
    fn drop(&mut self) {
        let request = self.request;
        self.engine
            .with_driver(|driver, pending_io| driver.client_disconnected(request, pending_io));
    }
}
