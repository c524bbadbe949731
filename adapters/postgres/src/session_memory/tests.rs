use std::task::{Context, Waker};

use super::*;

const KIB: usize = 1024;

fn charge(
    account: &MemoryAccount,
    bytes: usize,
    waiting_since: Option<Nanos>,
    now: Nanos,
) -> Result<(), OutOfMemory> {
    let held = HeldMemory {
        bytes,
        waiting_since,
    };
    account.charge(held, now, &Context::from_waker(Waker::noop()))
}

#[test]
fn the_sum_of_all_sessions_is_limited_and_returned() {
    let memory = SessionMemory::new(100 * KIB, Clock::system());
    let [first, second, third] = [(); 3].map(|()| memory.open_account());
    assert_eq!(charge(&first, 80 * KIB, None, 0), Ok(()));
    assert_eq!(memory.charged_bytes(), 64 * KIB);
    assert_eq!(charge(&second, 60 * KIB, None, 0), Err(OutOfMemory));
    assert_eq!((memory.charged_bytes(), memory.refusals()), (64 * KIB, 1));
    // What each session may hold for free is not affected.
    assert_eq!(charge(&third, FREE_BYTES_PER_SESSION, None, 0), Ok(()));
    assert_eq!(charge(&first, 20 * KIB, None, 0), Ok(()));
    assert_eq!(charge(&second, 60 * KIB, None, 0), Ok(()));
    drop((first, second));
    assert_eq!(memory.charged_bytes(), 0);
}

#[test]
fn the_client_that_stopped_longest_ago_within_a_message_is_evicted() {
    let memory = SessionMemory::new(100 * KIB, Clock::system());
    let [first, second, third, fourth] = [(); 4].map(|()| memory.open_account());
    let now = nanos(STALL_TIMEOUT) + 10;
    assert_eq!(charge(&first, 50 * KIB, Some(7), 7), Ok(()));
    assert_eq!(charge(&second, 50 * KIB, Some(5), 7), Ok(()));
    // A client that still sends is not stalled, nor is one from which nothing is awaited.
    assert_eq!(charge(&third, 30 * KIB, Some(now), now), Ok(()));
    assert_eq!(charge(&fourth, 50 * KIB, None, now), Ok(()));
    assert_eq!(charge(&second, 50 * KIB, Some(5), now), Err(OutOfMemory));
    assert_eq!(charge(&first, 50 * KIB, Some(7), now), Ok(()));
    assert_eq!(memory.refusals(), 1);
    assert_eq!(memory.charged_bytes(), (34 + 14 + 34) * KIB);
}

#[test]
fn a_session_that_is_itself_stalled_longest_ends() {
    let memory = SessionMemory::new(10 * KIB, Clock::system());
    let account = memory.open_account();
    assert_eq!(charge(&account, 20 * KIB, Some(1), 1), Ok(()));
    let now = nanos(STALL_TIMEOUT) + 1;
    assert_eq!(charge(&account, 60 * KIB, Some(1), now), Err(OutOfMemory));
    assert_eq!((memory.charged_bytes(), memory.refusals()), (0, 1));
}
