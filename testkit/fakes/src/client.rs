//! Encodes a client's requests to a node and classifies the node's responses. Does no I/O.

use badgerpost_time::{MILLISECOND, Nanos, SECOND};

use crate::message::{self, Message};

/// Longer `Retry-After` values are cut to this one.
const MAX_RETRY_AFTER_SECONDS: f64 = 3600.0;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may take effect more than once.
    Idempotent,
    /// The request carries a key by which servers drop duplicates.
    Keyed,
    /// The request must not take effect more than once.
    NonIdempotent,
}

/// One attempt of a client's request.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The attempt's id, sent as X-Call-Id and as the body of POST requests.
    pub id: &'a str,
    /// The name of the request's class, sent as X-Call-Class.
    pub class: &'a str,
    /// Whether the request may take effect more than once; idempotent requests are GET, the others POST.
    pub idempotency: Idempotency,
    /// The idempotency key, the same for all attempts of a request; sent with keyed requests only.
    pub key: &'a str,
    /// How long the client waits for this attempt, in nanoseconds.
    pub timeout: Nanos,
    /// Whether the attempt is a retry.
    pub is_retry: bool,
}

impl ClientRequest<'_> {
    /// Encodes the request.
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

/// The outcome that a node's response reports to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// A server has served the request.
    Served,
    /// The request was rejected before it took effect, and may be retried.
    Rejected {
        /// How long the client must wait before a retry, in nanoseconds; 0 if the response does not say.
        retry_after: Nanos,
    },
    /// The request has failed: any other status.
    Failed,
}

impl ResponseOutcome {
    /// Classifies a response by its status.
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

/// The `Retry-After` of a response; 0 if the header is missing or invalid.
fn retry_after(response: &Message) -> Nanos {
    let seconds = response
        .value("retry-after")
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0);
    (seconds.clamp(0.0, MAX_RETRY_AFTER_SECONDS) * SECOND as f64) as Nanos
}

#[cfg(test)]
mod tests;
