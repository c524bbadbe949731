use super::*;

const POLL_TIMEOUT: Duration = Duration::from_millis(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Polls until `done`; loopback sockets report at once.
fn poll_until(
    network: &mut LoopbackNetwork,
    events: &mut Vec<NetworkEvent>,
    done: impl Fn(&[NetworkEvent]) -> bool,
) {
    for _ in 0..500 {
        if done(events) {
            return;
        }
        network.poll(POLL_TIMEOUT, events).unwrap();
    }
    panic!("in vain: {events:?}");
}

#[test]
fn written_bytes_arrive_and_a_reset_is_told_from_an_orderly_close() {
    let mut network = LoopbackNetwork::new().unwrap();
    let listener = network.listen(any_port()).unwrap();
    for reset in [false, true] {
        let client = network.connect(listener.address).unwrap();
        assert_eq!(network.write(client, b"hello"), 5);
        let mut events = Vec::new();
        poll_until(&mut network, &mut events, |events| events.len() >= 2);
        let NetworkEvent::Accepted { listener: of, conn } = events[0] else {
            panic!("{events:?}")
        };
        let bytes = b"hello".to_vec();
        assert_eq!(
            (of, &events[1]),
            (listener.id, &NetworkEvent::Received { conn, bytes })
        );
        if reset {
            network.reset(client);
        } else {
            network.close(client);
        }
        poll_until(&mut network, &mut events, |events| events.len() >= 3);
        assert_eq!(events[2], NetworkEvent::Closed { conn, reset });
        assert!(!network.is_open(conn));
    }
    assert_eq!(network.bytes_read(), 10);
}

#[test]
fn datagrams_are_received_by_the_socket_that_they_are_sent_to() {
    let mut network = LoopbackNetwork::new().unwrap();
    let sender = network.bind_datagrams(any_port()).unwrap();
    let receiver = network.bind_datagrams(any_port()).unwrap();
    assert_eq!(
        network.send_datagram(sender.id, receiver.address, b"hello"),
        5
    );
    let mut events = Vec::new();
    poll_until(&mut network, &mut events, |events| !events.is_empty());
    assert_eq!(
        events,
        [NetworkEvent::Datagram {
            socket: receiver.id,
            from: sender.address,
            bytes: b"hello".to_vec()
        }]
    );
    assert_eq!(network.bytes_read(), 5);
}

#[test]
fn a_reserved_port_takes_one_listener_after_another() {
    let reserved = ReservedPort::new(any_port()).unwrap();
    for _ in 0..3 {
        std::net::TcpStream::connect(reserved.address()).expect_err("nobody listens yet");
        let listener = listen(reserved.address()).unwrap();
        std::net::TcpStream::connect(reserved.address()).expect("it listens");
        drop(listener);
    }
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(
        ReservedPort::new(listener.local_addr().unwrap()).is_err(),
        "the port is taken"
    );
}

#[test]
fn a_refusing_listener_accepts_connections_again_at_its_port() {
    let mut network = LoopbackNetwork::new().unwrap();
    let listener = network.listen(any_port()).unwrap();
    network.stop_listening(listener.id).unwrap();
    let error = network
        .connect(listener.address)
        .expect_err("nobody listens");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    network.resume_listening(listener.id).unwrap();
    network.connect(listener.address).expect("it listens again");
    let mut events = Vec::new();
    poll_until(&mut network, &mut events, |events| !events.is_empty());
    assert!(matches!(events[0], NetworkEvent::Accepted { listener: of, .. } if of == listener.id));
}
