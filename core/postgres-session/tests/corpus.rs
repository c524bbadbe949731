//! Runs the fuzz harness on the stored corpus and on a fixed number of deterministic random inputs.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

#[path = "../fuzz/harness.rs"]
mod harness;

use badgerpost_fakes::random::Random;

/// Message type bytes of both directions.
const TAGS: &[u8] = b"PBDECSHQFXdcfpRSKZTDCE123nstGHWIAN";
/// Bodies that are well-formed for at least one message type.
const BODIES: [&[u8]; 6] = [
    b"BEGIN\0",
    b"COMMIT\0",
    b"SELECT 1\0",
    b"a\0a\0\0\0",
    b"I",
    b"T",
];

#[test]
fn corpus_inputs_are_handled() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/fuzz/corpus/session");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the corpus") {
        let path = entry.expect("a file").path();
        harness::run(&std::fs::read(&path).expect("its bytes"));
        count += 1;
    }
    assert!(count >= 5, "{count} inputs");
}

#[test]
fn random_messages_are_handled() {
    for seed in 0..20_000 {
        let input = random_input(&mut Random::new(seed, "fuzz"));
        let result = std::panic::catch_unwind(|| harness::run(&input));
        assert!(result.is_ok(), "seed {seed}: {input:?}");
    }
}

/// Creates commands with messages, many of which are well-formed.
fn random_input(random: &mut Random) -> Vec<u8> {
    let mut input = Vec::new();
    for _ in 0..random.between(1, 30) {
        input.push(random_byte(random, 15));
        let message = random_message(random);
        input.push(u8::try_from(message.len()).expect("a short message"));
        input.extend_from_slice(&message);
    }
    input
}

fn random_message(random: &mut Random) -> Vec<u8> {
    let body_length = random_byte(random, 12);
    let tag = *pick(random, TAGS);
    // Some lengths are wrong.
    let length = if random.chance(0.05) {
        random_byte(random, 40)
    } else {
        body_length + 4
    };
    if random.chance(0.6) {
        return well_formed_message(tag, pick::<&[u8]>(random, &BODIES));
    }
    let mut message = vec![tag];
    message.extend_from_slice(&u32::from(length).to_be_bytes());
    message.extend((0..body_length).map(|_| random_byte(random, 255)));
    message
}

fn well_formed_message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("a short body");
    [&[tag], &length.to_be_bytes()[..], body].concat()
}

/// Returns a random number from 0 to `max`.
fn random_byte(random: &mut Random, max: u8) -> u8 {
    u8::try_from(random.between(0, u64::from(max))).expect("at most 255")
}

fn pick<'a, T>(random: &mut Random, choices: &'a [T]) -> &'a T {
    let last = u64::try_from(choices.len() - 1).expect("few choices");
    let index = usize::try_from(random.between(0, last)).expect("an index");
    &choices[index]
}
