//! Charges a session for what it holds for its client.

use std::task::Context;

use badgerpost_postgres_session::server_messages::ErrorReason;

use super::Relay;
use crate::session_memory::HeldMemory;

impl Relay {
    /// Charges what the session holds for its client. Returns false if the session has ended, because the limit on the
    /// memory of all sessions is exceeded.
    pub(super) fn charge_memory(&mut self, cx: &Context<'_>) -> bool {
        let unread_bytes = self.client_decoder.buffered_len();
        let held = self.session.held_memory();
        let is_waiting = unread_bytes > 0 || held.has_incomplete_batch;
        let held = HeldMemory {
            bytes: unread_bytes + held.bytes,
            waiting_since: (is_waiting && self.reads_from_client())
                .then_some(self.last_received_at),
        };
        self.registered.set_held_bytes(held.bytes);
        let now = self.context.engine.clock().now();
        let Err(error) = self.context.memory.charge(held, now, cx) else {
            return true;
        };
        self.context.memory.log_refusal(|suppressed| {
            tracing::warn!(
                client = self.registered.number(),
                user = self.registered.user(),
                held_bytes = held.bytes,
                %error,
                suppressed,
                "ending the session of a PostgreSQL client"
            );
        });
        self.end_session(ErrorReason::OutOfMemory, None);
        false
    }
}
