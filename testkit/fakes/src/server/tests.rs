use badgerpost_time::MILLISECOND;

use super::*;

fn config() -> ServerConfig {
    ServerConfig {
        mean_service_time: None,
        slots: 2,
        queue_limit: 1,
        speed: 0.5,
        slow_start_capacity: 0.1,
        slow_start_duration: 10_000 * MILLISECOND,
        overload_multiple: 2.0,
        overload_window: 1000 * MILLISECOND,
        report_period: 100 * MILLISECOND,
        congestion: None,
    }
}

#[test]
fn a_congested_server_is_slow_until_it_has_been_idle() {
    let congestion = CongestionConfig {
        queue_threshold: 3,
        onset: 50 * MILLISECOND,
        slowdown: 2.0,
        recovery: 200 * MILLISECOND,
    };
    let mut server = Server::new(
        ServerConfig {
            queue_limit: 9,
            speed: 1.0,
            congestion: Some(congestion),
            ..config()
        },
        None,
        0,
    );
    let run = |server: &mut Server, until: Nanos, queued: usize| {
        let mut id = until;
        for now in (until - 100 * MILLISECOND..until).step_by(MILLISECOND as usize) {
            while server.take_completed(now).is_some() {}
            while server.queue.len() < queued {
                id += 1;
                assert_eq!(server.offer(now, id, 10 * MILLISECOND), Admission::Accepted);
            }
        }
        server.is_congested()
    };
    assert!(
        !run(&mut server, 100 * MILLISECOND, 2),
        "a queue of two is below the threshold"
    );
    assert!(
        run(&mut server, 200 * MILLISECOND, 6),
        "a queue of three or more for 50 ms congests the server"
    );
    // A shorter queue alone does not end the congestion: the slots must also be idle.
    server.offer(200 * MILLISECOND, 7, 10 * MILLISECOND);
    assert!(
        run(&mut server, 300 * MILLISECOND, 1),
        "congested while the slots are in use"
    );
    while let Some(next) = server.next_completion() {
        assert!(server.take_completed(next).is_some());
    }
    let idle = 300 * MILLISECOND + 100 * MILLISECOND;
    server.offer(idle, 8, 10 * MILLISECOND);
    assert_eq!(
        server.next_completion(),
        Some(idle + 20 * MILLISECOND),
        "a congested server runs at half its speed"
    );
    server.take_completed(idle + 20 * MILLISECOND);
    server.offer(idle + 230 * MILLISECOND, 9, 10 * MILLISECOND);
    assert!(!server.is_congested() && server.next_completion() == Some(idle + 240 * MILLISECOND));
}

#[test]
fn requests_beyond_the_slots_are_queued_and_beyond_the_queue_limit_rejected() {
    let mut server = Server::new(config(), None, 0);
    let offers: Vec<Admission> = (0..4)
        .map(|id| server.offer(0, id, 10 * MILLISECOND))
        .collect();
    assert_eq!(
        offers,
        [
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Rejected
        ]
    );
    assert_eq!(server.next_completion(), Some(20 * MILLISECOND));
    assert_eq!(server.take_completed(19 * MILLISECOND), None);
    assert_eq!(
        (
            server.take_completed(20 * MILLISECOND),
            server.take_completed(20 * MILLISECOND)
        ),
        (Some(0), Some(1))
    );
    // The third request starts when the first has completed.
    assert_eq!(
        (
            server.take_completed(39 * MILLISECOND),
            server.take_completed(40 * MILLISECOND)
        ),
        (None, Some(2))
    );
    assert_eq!(server.next_completion(), None);
}

#[test]
fn utilization_is_the_share_of_slots_in_use() {
    let mut server = Server::new(config(), None, 0);
    server.offer(0, 1, 500 * MILLISECOND);
    assert_eq!(server.utilization(99 * MILLISECOND), 0.0);
    assert_eq!(server.utilization(100 * MILLISECOND), 0.5);
}

#[test]
fn overload_crashes_a_server_during_slow_start_only() {
    let send = |started_at| {
        let mut server = Server::new(config(), started_at, 0);
        let crashed_at = (0..40).position(|n| {
            server.offer(n * 10 * MILLISECOND, n, 10 * MILLISECOND) == Admission::Crashed
        });
        (crashed_at, server.has_crashed())
    };
    assert_eq!(send(None), (None, false));
    // Two slots at a tenth of half the standard speed provide 100 ms of service time per second. The overload multiple
    // allows twice that.
    let (crashed_at, has_crashed) = send(Some(0));
    assert!(
        has_crashed && crashed_at.is_some_and(|n| (20..26).contains(&n)),
        "{crashed_at:?}"
    );
    let mut server = Server::new(config(), Some(0), 0);
    server.offer(0, 1, 400 * MILLISECOND);
    assert!(server.has_crashed());
    server.restart(5000 * MILLISECOND);
    assert!(!server.has_crashed() && server.next_completion().is_none());
    assert_eq!(server.slow_start_load(5000 * MILLISECOND), Some(0.0));
}
