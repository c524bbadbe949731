use badgerpost_time::MILLISECOND;

use super::*;

fn is_ready(sleep: &mut Pin<Box<Sleep>>) -> bool {
    sleep
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
        .is_ready()
}

/// Guards against a virtual clock that advances on its own, and against dropped sleeps that stay queued.
#[test]
fn virtual_clock_moves_only_when_advanced_and_forgets_dropped_sleeps() {
    let virtual_clock = VirtualClock::at(MILLISECOND);
    let clock = Clock::from_virtual(virtual_clock.clone());
    let mut long = Box::pin(clock.sleep(Duration::from_millis(5)));
    let mut short = Box::pin(clock.sleep_until(3 * MILLISECOND));
    assert!(!is_ready(&mut long) && !is_ready(&mut short));
    assert_eq!(virtual_clock.next_deadline(), Some(3 * MILLISECOND));
    virtual_clock.advance(3 * MILLISECOND);
    assert!(is_ready(&mut short) && !is_ready(&mut long));
    assert_eq!(
        (clock.now(), virtual_clock.next_deadline()),
        (3 * MILLISECOND, Some(6 * MILLISECOND))
    );
    // The clock does not go back.
    virtual_clock.advance(MILLISECOND);
    assert_eq!(clock.now(), 3 * MILLISECOND);
    drop(long);
    assert_eq!(virtual_clock.next_deadline(), None);
}

#[test]
fn future_that_completes_exactly_at_its_timeout_succeeds() {
    let virtual_clock = VirtualClock::at(0);
    let clock = Clock::from_virtual(virtual_clock.clone());
    let work_clock = clock.clone();
    let mut both = Box::pin(clock.timeout(Duration::from_millis(2), async move {
        work_clock.sleep_until(2 * MILLISECOND).await;
    }));
    let mut late = Box::pin(clock.timeout_at(2 * MILLISECOND, std::future::pending::<()>()));
    let cx = &mut Context::from_waker(Waker::noop());
    assert!(both.as_mut().poll(cx).is_pending() && late.as_mut().poll(cx).is_pending());
    virtual_clock.advance(2 * MILLISECOND);
    assert_eq!(both.as_mut().poll(cx), Poll::Ready(Ok(())));
    assert_eq!(late.as_mut().poll(cx), Poll::Ready(Err(Elapsed)));
}
