//! The fuzz target's harness on its kept corpus and on a bounded number of inputs, the same each time.

#[path = "../fuzz/harness.rs"]
mod harness;

use badgerpost_fakes::random::Random;

#[test]
fn kept_inputs_are_survived() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/fuzz/corpus/session");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the corpus") {
        let path = entry.expect("a file").path();
        harness::play(&std::fs::read(&path).expect("its bytes"));
        count += 1;
    }
    assert!(count >= 5, "{count} inputs");
}

/// Bytes that look like messages more often than chance would have them.
#[test]
fn many_inputs_are_survived() {
    const TAGS: &[u8] = b"PBDECSHQFXdcfpRSKZTDCE123nstGHWIAN";
    for seed in 0..20_000 {
        let mut random = Random::new(seed, "fuzz");
        let mut input = Vec::new();
        for _ in 0..random.between(1, 30) {
            input.push(random.between(0, 15) as u8);
            let body = random.between(0, 12) as usize;
            let tag = TAGS[random.between(0, TAGS.len() as u64 - 1) as usize];
            let mut message = vec![tag];
            // Now and then a length that lies.
            let length = if random.chance(0.05) {
                random.between(0, 40) as u32
            } else {
                body as u32 + 4
            };
            message.extend_from_slice(&length.to_be_bytes());
            let texts: [&[u8]; 6] = [
                b"BEGIN\0",
                b"COMMIT\0",
                b"SELECT 1\0",
                b"a\0a\0\0\0",
                b"I",
                b"T",
            ];
            if random.chance(0.6) {
                let text = texts[random.between(0, 5) as usize];
                message = [&[tag], &(text.len() as u32 + 4).to_be_bytes()[..], text].concat();
            } else {
                message.extend((0..body).map(|_| random.between(0, 255) as u8));
            }
            input.push(message.len() as u8);
            input.extend_from_slice(&message);
        }
        let played = std::panic::catch_unwind(|| harness::play(&input));
        assert!(played.is_ok(), "seed {seed}: {input:?}");
    }
}
