use super::*;

const POLL_TIMEOUT: Duration = Duration::from_millis(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Polls until `is_done` returns true; panics after 500 polls.
fn poll_until(
    network: &mut LoopbackNetwork,
    events: &mut Vec<NetworkEvent>,
    is_done: impl Fn(&[NetworkEvent]) -> bool,
) {
    for _ in 0..500 {
        if is_done(events) {
            return;
        }
        network.poll(POLL_TIMEOUT, events).unwrap();
    }
    panic!("the awaited events did not arrive in 500 polls; got {events:?}");
}

#[test]
fn written_bytes_arrive_and_a_reset_is_distinguished_from_an_orderly_close() {
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
fn a_datagram_is_received_by_the_socket_that_it_is_sent_to() {
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
fn a_reserved_port_accepts_successive_listeners() {
    let reserved = ReservedPort::new(any_port()).unwrap();
    for _ in 0..3 {
        std::net::TcpStream::connect(reserved.address()).expect_err("refused without a listener");
        let listener = listen(reserved.address()).unwrap();
        std::net::TcpStream::connect(reserved.address()).expect("accepted by the listener");
        drop(listener);
    }
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(
        ReservedPort::new(listener.local_addr().unwrap()).is_err(),
        "a port in use must not be reserved"
    );
}

#[test]
fn a_listener_that_resumes_accepts_connections_at_the_same_port() {
    let mut network = LoopbackNetwork::new().unwrap();
    let listener = network.listen(any_port()).unwrap();
    network.stop_listening(listener.id).unwrap();
    let error = network
        .connect(listener.address)
        .expect_err("refused without a listener");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    network.resume_listening(listener.id).unwrap();
    network
        .connect(listener.address)
        .expect("accepted after listening resumed");
    let mut events = Vec::new();
    poll_until(&mut network, &mut events, |events| !events.is_empty());
    assert!(matches!(events[0], NetworkEvent::Accepted { listener: of, .. } if of == listener.id));
}
