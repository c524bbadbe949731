use super::*;

#[test]
fn encoded_messages_are_decoded_unchanged() {
    let step = ControllerMessage::Step {
        now: 17,
        bytes_sent: 3,
        connections_ended: 2,
    };
    assert_eq!(step.to_string().parse(), Ok(step));
    let listen = SocketAddr::from(([127, 0, 0, 1], 9));
    for line in [
        NodeMessage::Hello {
            name: "n0".to_owned(),
            listen,
        },
        NodeMessage::Idle {
            next_timer_at: Some(5),
            bytes_read: 1,
            bytes_written: u64::MAX,
            connections_ended: 7,
        },
        NodeMessage::Idle {
            next_timer_at: None,
            bytes_read: 0,
            bytes_written: 0,
            connections_ended: 0,
        },
    ] {
        assert_eq!(line.to_string().parse(), Ok(line));
    }
}

#[test]
fn malformed_lines_and_other_versions_are_rejected() {
    for line in [
        "",
        "step",
        "step 1",
        "step 1 2",
        "step 1 2 3 4",
        "step -1 2 3",
        "stop 1 2 3",
        "step 1 99999999999999999999999 0",
    ] {
        assert_eq!(
            line.parse::<ControllerMessage>(),
            Err(MalformedLine(line.to_owned()))
        );
    }
    for line in [
        "hello 1 n0 127.0.0.1:9",
        "hello 2 n0 nowhere",
        "idle 1 2 3",
        "idle x 1 2 3",
    ] {
        assert_eq!(
            line.parse::<NodeMessage>(),
            Err(MalformedLine(line.to_owned()))
        );
    }
}
