use std::future::Future;
use std::task::{Context, Poll, Waker};

use super::*;

fn is_evicted(pending: &PendingClient) -> bool {
    let mut evicted = std::pin::pin!(pending.evicted());
    evicted
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
        == Poll::Ready(())
}

#[test]
fn the_client_that_was_silent_longest_is_evicted() {
    let all = UnauthenticatedClients::new(3);
    let clients: Vec<PendingClient> = (0..3).map(|_| all.admit()).collect();
    clients[0].record_received(0);
    let _fourth = all.admit();
    // The first client has sent data. Of the two silent clients, the second arrived before the third.
    assert_eq!(
        clients.iter().map(is_evicted).collect::<Vec<_>>(),
        [false, true, false]
    );
    let _fifth = all.admit();
    assert!(is_evicted(&clients[2]));
    assert_eq!((all.pending(), all.evictions()), (3, 2));
    drop(clients);
    assert_eq!(all.pending(), 2);
}
