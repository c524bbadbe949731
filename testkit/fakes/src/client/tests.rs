use super::*;
use crate::message::{Inbox, Side, answer};

#[test]
fn a_request_says_what_the_protocol_wants() {
    let read = |effect| {
        let ask = Ask {
            id: "7",
            class: "join",
            effect,
            key: "k",
            budget: 480_000_000,
            again: effect == Effect::Safe,
        };
        let mut inbox = Inbox::new(Side::Requests);
        inbox.push(&ask.bytes());
        let message = inbox.take().expect("good").expect("whole");
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
        read(Effect::Safe),
        (
            "GET".into(),
            ["7", "join", "480", "-", "1"].map(str::to_owned)
        )
    );
    assert_eq!(
        read(Effect::Keyed),
        (
            "POST".into(),
            ["7", "join", "480", "k", "-"].map(str::to_owned)
        )
    );
    assert_eq!(
        read(Effect::Unsafe),
        (
            "POST".into(),
            ["7", "join", "480", "-", "-"].map(str::to_owned)
        )
    );
}

#[test]
fn answers_are_told_apart() {
    let read = |status, headers| {
        let mut inbox = Inbox::new(Side::Answers);
        inbox.push(&answer(status, headers, b""));
        verdict(&inbox.take().expect("good").expect("whole"))
    };
    assert_eq!(read(200, ""), Verdict::Served);
    assert_eq!(
        read(503, "Retry-After: 0.25\r\n"),
        Verdict::Refused { pause: 250_000_000 }
    );
    assert_eq!(
        read(429, "Retry-After: soon\r\n"),
        Verdict::Refused { pause: 0 }
    );
    assert_eq!(read(502, ""), Verdict::Failed);
}
