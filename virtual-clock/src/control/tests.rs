use std::net::TcpListener;
use std::thread::JoinHandle;

use badgerpost_engine::{Clock, spawn};
use tokio::task::LocalSet;

use super::*;

/// The kit's side, by hand.
fn line(reader: &mut BufReader<TcpStream>) -> NodeMessage {
    let mut text = String::new();
    reader.read_line(&mut text).expect("a line");
    text.parse().expect("a node's line")
}

/// A node on a thread of its own, with a stepped clock at 100, whose one task this is; and the kit's end of its
/// control connection, behind its first line.
fn node<F: Future<Output = ()> + 'static>(
    task: impl FnOnce(Clock) -> F + Send + 'static,
) -> (JoinHandle<String>, BufReader<TcpStream>) {
    let kit = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = kit.local_addr().unwrap();
    let node = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let steps = VirtualClock::at(100);
        let clock = Clock::from_virtual(steps.clone());
        LocalSet::new().block_on(&runtime, async move {
            spawn(task(clock));
            ControlConnection::connect(at)
                .unwrap()
                .follow("n0", at, steps)
                .await
                .to_string()
        })
    });
    let (stream, _) = kit.accept().unwrap();
    let mut reader = BufReader::new(stream);
    assert_eq!(
        line(&mut reader),
        NodeMessage::Hello {
            name: "n0".to_owned(),
            listen: at
        }
    );
    (node, reader)
}

fn step(reader: &mut BufReader<TcpStream>, now: u64, ended: u64) -> NodeMessage {
    let text = ControllerMessage::Step {
        now,
        bytes: 0,
        ended,
    }
    .to_string();
    reader.get_mut().write_all(text.as_bytes()).unwrap();
    line(reader)
}

/// A node whose one task waits twice. Time passes by steps only, a step runs everything that is ready, and
/// the end of the connection is the end of the rehearsal.
#[test]
fn a_node_runs_by_steps_and_ends_with_them() {
    let (node, mut reader) = node(|tasks| async move {
        tasks.sleep_until(200).await;
        // Started by what has just run, it belongs to the same step.
        let inner = tasks.clone();
        let inner = spawn(async move { inner.sleep_until(300).await });
        activity::record_bytes_written(7);
        let _ = inner.await;
        activity::record_bytes_written(5);
    });
    let idle = |next, written| NodeMessage::Idle {
        next,
        read: 0,
        written,
        ended: 0,
    };
    assert_eq!(step(&mut reader, 150, 0), idle(Some(200), 0));
    assert_eq!(step(&mut reader, 250, 0), idle(Some(300), 7));
    assert_eq!(step(&mut reader, 250, 0), idle(Some(300), 0));
    assert_eq!(step(&mut reader, 300, 0), idle(None, 5));
    drop(reader);
    assert!(node.join().unwrap().ends_with("is over"));
}

/// The system may be late with a connection, or with the end of one: a step lasts until it has come, and what never
/// comes is waited for once.
#[test]
fn a_step_lasts_until_what_is_under_way_has_come() {
    let (node, mut reader) = node(|clock| async move {
        clock.sleep_until(200).await;
        let late = || tokio::time::sleep(Duration::from_millis(5));
        activity::track_connecting(late()).await;
        activity::record_bytes_written(3);
        let mut connection = activity::ConnectionEndCounter::default();
        clock.sleep_until(300).await;
        late().await;
        connection.mark_ended();
    });
    let idle = |next, written, ended| NodeMessage::Idle {
        next,
        read: 0,
        written,
        ended,
    };
    assert_eq!(step(&mut reader, 200, 0), idle(Some(300), 3, 0));
    assert_eq!(step(&mut reader, 300, 1), idle(None, 0, 1));
    // One that the node never looked at: waited for in vain, and then taken as seen.
    assert_eq!(step(&mut reader, 400, 2), idle(None, 0, 2));
    let began = std::time::Instant::now();
    assert_eq!(step(&mut reader, 500, 2), idle(None, 0, 2));
    assert!(
        began.elapsed() < ARRIVAL_CHECK_INTERVAL * MAX_ARRIVAL_CHECKS / 2,
        "waited again"
    );
    drop(reader);
    node.join().unwrap();
}

#[test]
fn a_clock_is_given_into_no_other_hands() {
    let far = SocketAddr::from(([192, 0, 2, 1], 9));
    assert!(
        matches!(ControlConnection::connect(far), Err(ControlError::NotLoopback(at)) if at == far)
    );
}
