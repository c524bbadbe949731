use super::*;

const MS: Nanos = 1_000_000;

fn polled(sleep: &mut Pin<Box<Sleep>>) -> bool {
    sleep
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
        .is_ready()
}

/// Nothing passes by itself, and what ends early leaves no wait behind.
#[test]
fn a_stepped_clock_moves_by_steps_only() {
    let steps = VirtualClock::at(MS);
    let clock = Clock::stepped(steps.clone());
    let mut long = Box::pin(clock.sleep(Duration::from_millis(5)));
    let mut short = Box::pin(clock.sleep_until(3 * MS));
    assert!(!polled(&mut long) && !polled(&mut short));
    assert_eq!(steps.next_due(), Some(3 * MS));
    steps.advance(3 * MS);
    assert!(polled(&mut short) && !polled(&mut long));
    assert_eq!((clock.now(), steps.next_due()), (3 * MS, Some(6 * MS)));
    // Never back.
    steps.advance(MS);
    assert_eq!(clock.now(), 3 * MS);
    drop(long);
    assert_eq!(steps.next_due(), None);
}

#[test]
fn work_that_ends_as_its_time_is_up_has_ended_in_time() {
    let steps = VirtualClock::at(0);
    let clock = Clock::stepped(steps.clone());
    let at = clock.clone();
    let mut both = Box::pin(clock.timeout(Duration::from_millis(2), async move {
        at.sleep_until(2 * MS).await
    }));
    let mut late = Box::pin(clock.timeout_at(2 * MS, std::future::pending::<()>()));
    let cx = &mut Context::from_waker(Waker::noop());
    assert!(both.as_mut().poll(cx).is_pending() && late.as_mut().poll(cx).is_pending());
    steps.advance(2 * MS);
    assert_eq!(both.as_mut().poll(cx), Poll::Ready(Ok(())));
    assert_eq!(late.as_mut().poll(cx), Poll::Ready(Err(Elapsed)));
}
