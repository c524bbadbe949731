use super::*;
use crate::message::{MessageDecoder, MessageKind, response};

#[test]
fn requests_carry_the_headers_of_the_protocol() {
    let read = |idempotency| {
        let request = ClientRequest {
            id: "7",
            class: "join",
            idempotency,
            key: "k",
            timeout: 480_000_000,
            is_retry: idempotency == Idempotency::Idempotent,
        };
        let mut decoder = MessageDecoder::new(MessageKind::Request);
        decoder.push(&request.to_bytes());
        let decoded = decoder.next_message().expect("a valid request");
        let message = decoded.expect("a complete request");
        let values = [
            "x-call-id",
            "x-call-class",
            "x-budget-ms",
            "idempotency-key",
            "x-again",
        ];
        (
            message.method.clone(),
            values.map(|name| message.value(name).unwrap_or("-").to_owned()),
        )
    };
    assert_eq!(
        read(Idempotency::Idempotent),
        (
            "GET".into(),
            ["7", "join", "480", "-", "1"].map(str::to_owned)
        )
    );
    assert_eq!(
        read(Idempotency::Keyed),
        (
            "POST".into(),
            ["7", "join", "480", "k", "-"].map(str::to_owned)
        )
    );
    assert_eq!(
        read(Idempotency::NonIdempotent),
        (
            "POST".into(),
            ["7", "join", "480", "-", "-"].map(str::to_owned)
        )
    );
}

#[test]
fn responses_are_classified_by_status() {
    let read = |status, headers| {
        let mut decoder = MessageDecoder::new(MessageKind::Response);
        decoder.push(&response(status, headers, b""));
        let decoded = decoder.next_message().expect("a valid response");
        ResponseOutcome::of(&decoded.expect("a complete response"))
    };
    assert_eq!(read(200, ""), ResponseOutcome::Served);
    assert_eq!(
        read(503, "Retry-After: 0.25\r\n"),
        ResponseOutcome::Rejected {
            retry_after: 250_000_000
        }
    );
    assert_eq!(
        read(429, "Retry-After: soon\r\n"),
        ResponseOutcome::Rejected { retry_after: 0 }
    );
    assert_eq!(read(502, ""), ResponseOutcome::Failed);
}
