use badgerpost_time::MILLISECOND;

use super::*;

fn figures() -> Figures {
    Figures {
        mean_work: None,
        slots: 2,
        queue: 1,
        speed: 0.5,
        cold_share: 0.1,
        warm_after: 10_000 * MILLISECOND,
        tip_multiple: 2.0,
        fall_span: 1000 * MILLISECOND,
        report_period: 100 * MILLISECOND,
        choke: None,
    }
}

#[test]
fn a_crowded_server_slows_down_until_it_has_rested() {
    let choke = Choke {
        waiting: 3,
        over: 50 * MILLISECOND,
        slower: 2.0,
        rest: 200 * MILLISECOND,
    };
    let mut server = Server::new(
        Figures {
            queue: 9,
            speed: 1.0,
            choke: Some(choke),
            ..figures()
        },
        None,
        0,
    );
    let work = |server: &mut Server, until: Nanos, waits: usize| {
        let mut ticket = until;
        for now in (until - 100 * MILLISECOND..until).step_by(MILLISECOND as usize) {
            while server.take_done(now).is_some() {}
            while server.waiting.len() < waits {
                ticket += 1;
                assert_eq!(server.offer(now, ticket, 10 * MILLISECOND), Offer::Taken);
            }
        }
        server.is_choked()
    };
    assert!(
        !work(&mut server, 100 * MILLISECOND, 2),
        "two wait: no crowd"
    );
    assert!(
        work(&mut server, 200 * MILLISECOND, 6),
        "three or more wait for 50 ms"
    );
    // Work goes on at half the speed, and the crowd's end alone does not help.
    server.offer(200 * MILLISECOND, 7, 10 * MILLISECOND);
    assert!(work(&mut server, 300 * MILLISECOND, 1), "still in use");
    while let Some(next) = server.next_done() {
        assert!(server.take_done(next).is_some());
    }
    let idle = 300 * MILLISECOND + 100 * MILLISECOND;
    server.offer(idle, 8, 10 * MILLISECOND);
    assert_eq!(
        server.next_done(),
        Some(idle + 20 * MILLISECOND),
        "half the speed"
    );
    server.take_done(idle + 20 * MILLISECOND);
    server.offer(idle + 230 * MILLISECOND, 9, 10 * MILLISECOND);
    assert!(!server.is_choked() && server.next_done() == Some(idle + 240 * MILLISECOND));
}

#[test]
fn work_takes_its_time_then_waits_then_is_turned_away() {
    let mut server = Server::new(figures(), None, 0);
    let offers: Vec<Offer> = (0..4)
        .map(|ticket| server.offer(0, ticket, 10 * MILLISECOND))
        .collect();
    assert_eq!(
        offers,
        [Offer::Taken, Offer::Taken, Offer::Taken, Offer::TurnedAway]
    );
    assert_eq!(server.next_done(), Some(20 * MILLISECOND));
    assert_eq!(server.take_done(19 * MILLISECOND), None);
    assert_eq!(
        (
            server.take_done(20 * MILLISECOND),
            server.take_done(20 * MILLISECOND)
        ),
        (Some(0), Some(1))
    );
    // The third began when the first was done.
    assert_eq!(
        (
            server.take_done(39 * MILLISECOND),
            server.take_done(40 * MILLISECOND)
        ),
        (None, Some(2))
    );
    assert_eq!(server.next_done(), None);
}

#[test]
fn the_report_tells_the_share_of_slots_in_use() {
    let mut server = Server::new(figures(), None, 0);
    server.offer(0, 1, 500 * MILLISECOND);
    assert_eq!(server.util(99 * MILLISECOND), 0.0);
    assert_eq!(server.util(100 * MILLISECOND), 0.5);
}

#[test]
fn a_cold_server_falls_over_and_a_warm_one_does_not() {
    let sends = |booted| {
        let mut server = Server::new(figures(), booted, 0);
        let fell = (0..40)
            .position(|n| server.offer(n * 10 * MILLISECOND, n, 10 * MILLISECOND) == Offer::Felled);
        (fell, server.has_fallen())
    };
    assert_eq!(sends(None), (None, false));
    // A tenth of half of two slots does 100 ms of work a second; more than twice that is too much.
    let (fell, fallen) = sends(Some(0));
    assert!(
        fallen && fell.is_some_and(|n| (20..26).contains(&n)),
        "{fell:?}"
    );
    let mut server = Server::new(figures(), Some(0), 0);
    server.offer(0, 1, 400 * MILLISECOND);
    assert!(server.has_fallen());
    server.restart(5000 * MILLISECOND);
    assert!(!server.has_fallen() && server.next_done().is_none());
    assert_eq!(server.cold_load(5000 * MILLISECOND), Some(0.0));
}
