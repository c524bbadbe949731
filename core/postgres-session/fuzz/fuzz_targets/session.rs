#![no_main]
//! Fuzz target of the session. Run `cargo +nightly fuzz run session` in `core/postgres-session`.

#[path = "../harness.rs"]
mod harness;

libfuzzer_sys::fuzz_target!(|input: &[u8]| harness::run(input));
