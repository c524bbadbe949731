//! What a client says to a node and how it reads the answer. It does no I/O.

use crate::message::{self, Message};
use badgerpost_time::Nanos;

/// Whether a request may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may.
    Safe,
    /// It carries a key by which repeats are dropped.
    Keyed,
    /// It must not.
    Unsafe,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its id, new with every try.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Whether it may take effect twice.
    pub effect: Effect,
    /// Its key, where it has one; the same with every try.
    pub key: &'a str,
    /// How long the client waits for this try.
    pub budget: Nanos,
    /// Whether it is a retry.
    pub again: bool,
}

impl Ask<'_> {
    /// The request's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let Self {
            id,
            class,
            effect,
            key,
            budget,
            again,
        } = *self;
        let mut headers = format!(
            "Host: match.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {}\r\n",
            budget / 1_000_000
        );
        if effect == Effect::Keyed {
            headers.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        if again {
            headers.push_str("X-Again: 1\r\n");
        }
        match effect {
            Effect::Safe => message::request("GET", "/api", &headers, b""),
            Effect::Keyed | Effect::Unsafe => {
                message::request("POST", "/api", &headers, id.as_bytes())
            }
        }
    }
}

/// How a node has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With a server's answer.
    Served,
    /// Refused: trying again is harmless, but not sooner than this.
    Refused {
        /// From now on.
        pause: Nanos,
    },
    /// Failed.
    Failed,
}

/// Reads an answer.
pub fn verdict(answer: &Message) -> Verdict {
    let pause = || {
        answer
            .value("retry-after")
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    match answer.status {
        200 => Verdict::Served,
        429 | 503 => Verdict::Refused {
            pause: (pause().clamp(0.0, 3600.0) * 1e9) as Nanos,
        },
        _ => Verdict::Failed,
    }
}

#[cfg(test)]
mod tests;
