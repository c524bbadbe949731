//! A client's requests to a node, and how it reads the responses. It does no I/O.

use badgerpost_time::{MILLISECOND, Nanos, SECOND};

use crate::message::{self, Message};

/// The longest `Retry-After` that a client follows, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 3600.0;

/// Whether a request may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// It carries a key by which servers drop duplicates.
    Keyed,
    /// It must not.
    NonIdempotent,
}

/// One attempt of a client's request.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The attempt's id.
    pub id: &'a str,
    /// The request's class.
    pub class: &'a str,
    /// Whether the request may take effect twice.
    pub idempotency: Idempotency,
    /// The idempotency key of a keyed request, the same for all attempts.
    pub key: &'a str,
    /// How long the client waits for this attempt.
    pub timeout: Nanos,
    /// Whether it is a retry.
    pub is_retry: bool,
}

impl ClientRequest<'_> {
    /// The request's bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let Self {
            id, class, timeout, ..
        } = *self;
        let mut headers = format!(
            "Host: match.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {}\r\n",
            timeout / MILLISECOND
        );
        if self.idempotency == Idempotency::Keyed {
            headers.push_str(&format!("Idempotency-Key: {}\r\n", self.key));
        }
        if self.is_retry {
            headers.push_str("X-Again: 1\r\n");
        }
        match self.idempotency {
            Idempotency::Idempotent => message::request("GET", "/api", &headers, b""),
            Idempotency::Keyed | Idempotency::NonIdempotent => {
                message::request("POST", "/api", &headers, id.as_bytes())
            }
        }
    }
}

/// What a node's response means to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// A server has served the request.
    Served,
    /// The request was rejected before it took effect, and may be retried.
    Rejected {
        /// The pause before a retry.
        retry_after: Nanos,
    },
    /// The request has failed.
    Failed,
}

impl ResponseOutcome {
    /// Classifies a response.
    pub fn of(response: &Message) -> Self {
        match response.status {
            200 => Self::Served,
            429 | 503 => Self::Rejected {
                retry_after: retry_after(response),
            },
            _ => Self::Failed,
        }
    }
}

/// The `Retry-After` of a response; 0 where it has none that can be read.
fn retry_after(response: &Message) -> Nanos {
    let seconds = response
        .value("retry-after")
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0);
    (seconds.clamp(0.0, MAX_RETRY_AFTER_SECONDS) * SECOND as f64) as Nanos
}

#[cfg(test)]
mod tests;
