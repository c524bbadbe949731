use std::net::TcpListener;
use std::thread::JoinHandle;

use badgerpost_engine::{Clock, spawn};
use tokio::task::LocalSet;

use super::*;

/// Reads the node's next message on the controller's end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> NodeMessage {
    let mut text = String::new();
    reader.read_line(&mut text).expect("a line");
    text.parse().expect("a node's line")
}

/// Starts a node on its own thread. The node has a virtual clock at 100 and runs the one task that `task` returns.
/// Returns the thread, which ends with the text of the node's error, and the controller's end of the control
/// connection, from which the node's first message has been read.
fn start_node<F: Future<Output = ()> + 'static>(
    task: impl FnOnce(Clock) -> F + Send + 'static,
) -> (JoinHandle<String>, BufReader<TcpStream>) {
    let controller = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = controller.local_addr().unwrap();
    let node = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let virtual_clock = VirtualClock::at(100);
        let clock = Clock::from_virtual(virtual_clock.clone());
        LocalSet::new().block_on(&runtime, async move {
            spawn(task(clock));
            ControlConnection::connect(address)
                .unwrap()
                .follow("n0", address, virtual_clock)
                .await
                .to_string()
        })
    });
    let (stream, _) = controller.accept().unwrap();
    let mut reader = BufReader::new(stream);
    assert_eq!(
        read_message(&mut reader),
        NodeMessage::Hello {
            name: "n0".to_owned(),
            listen: address
        }
    );
    (node, reader)
}

/// Sends a step and returns the node's reply.
fn step(reader: &mut BufReader<TcpStream>, now: u64, connections_ended: u64) -> NodeMessage {
    let text = ControllerMessage::Step {
        now,
        bytes_sent: 0,
        connections_ended,
    }
    .to_string();
    reader.get_mut().write_all(text.as_bytes()).unwrap();
    read_message(reader)
}

/// Guards against timers that fire outside a step, tasks that are not run to their end within a step, and a node that
/// outlives its controller.
#[test]
fn time_advances_by_steps_only_and_the_node_stops_when_the_controller_disconnects() {
    let (node, mut reader) = start_node(|clock| async move {
        clock.sleep_until(200).await;
        // A task that is spawned within a step is run within the same step.
        let inner_clock = clock.clone();
        let inner = spawn(async move { inner_clock.sleep_until(300).await });
        activity::record_bytes_written(7);
        let _ = inner.await;
        activity::record_bytes_written(5);
    });
    let idle = |next_timer_at, bytes_written| NodeMessage::Idle {
        next_timer_at,
        bytes_read: 0,
        bytes_written,
        connections_ended: 0,
    };
    assert_eq!(step(&mut reader, 150, 0), idle(Some(200), 0));
    assert_eq!(step(&mut reader, 250, 0), idle(Some(300), 7));
    assert_eq!(step(&mut reader, 250, 0), idle(Some(300), 0));
    assert_eq!(step(&mut reader, 300, 0), idle(None, 5));
    let controller = reader.get_ref().local_addr().unwrap();
    drop(reader);
    assert_eq!(
        node.join().unwrap(),
        format!("virtual clock: the controller at {controller} closed the connection")
    );
}

/// The operating system may deliver a connection, or the end of one, late. Guards against a step that ends before the
/// delivery, and against repeated waits for an end that the node never sees.
#[test]
fn a_step_waits_for_connections_and_ends_in_transit_and_waits_once_for_unseen_ends() {
    let (node, mut reader) = start_node(|clock| async move {
        clock.sleep_until(200).await;
        let late = || tokio::time::sleep(Duration::from_millis(5));
        activity::track_connecting(late()).await;
        activity::record_bytes_written(3);
        let mut connection = activity::ConnectionEndCounter::default();
        clock.sleep_until(300).await;
        late().await;
        connection.mark_ended();
    });
    let idle = |next_timer_at, bytes_written, connections_ended| NodeMessage::Idle {
        next_timer_at,
        bytes_read: 0,
        bytes_written,
        connections_ended,
    };
    assert_eq!(step(&mut reader, 200, 0), idle(Some(300), 3, 0));
    assert_eq!(step(&mut reader, 300, 1), idle(None, 0, 1));
    // The node never sees the second end: the step waits for the maximum number of checks, then counts the end as seen.
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
fn a_controller_outside_loopback_is_rejected() {
    let outside = SocketAddr::from(([192, 0, 2, 1], 9));
    assert!(
        matches!(ControlConnection::connect(outside), Err(ControlError::NotLoopback(address)) if address == outside)
    );
}
