use super::*;

#[test]
fn messages_are_read_as_they_are_written_however_they_are_cut() {
    let (post, get) = (
        request("POST", "/api", "A: b\r\n", b"body"),
        request("GET", "/", "", b""),
    );
    let all = [post, get].concat();
    for cut in 0..all.len() {
        let mut inbox = Inbox::new(Side::Requests);
        let mut got = Vec::new();
        for part in [&all[..cut], &all[cut..]] {
            inbox.push(part);
            while let Some(message) = inbox.take().expect("good messages") {
                got.push((message.method.clone(), message.body.clone()));
            }
        }
        assert_eq!(
            got,
            [
                ("POST".to_owned(), b"body".to_vec()),
                ("GET".to_owned(), Vec::new())
            ],
            "{cut}"
        );
        assert!(!inbox.begun());
    }
}

#[test]
fn answers_need_a_length_and_what_is_no_message_is_an_error() {
    let read = |bytes: &[u8]| {
        let mut inbox = Inbox::new(Side::Answers);
        inbox.push(bytes);
        inbox.take()
    };
    let good = read(&answer(503, "Connection: close\r\n", b"no"))
        .expect("good")
        .expect("whole");
    assert_eq!(
        (good.status, good.closes(), good.body.as_slice()),
        (503, true, b"no".as_slice())
    );
    assert_eq!(read(b"HTTP/1.1 200 OK\r\n\r\n"), Err(Broken::Length));
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        Err(Broken::Length)
    );
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
        Err(Broken::TooLong)
    );
    assert!(matches!(read(b"\x01\x02\r\n\r\n"), Err(Broken::Head(_))));
    assert_eq!(read(b"HTTP/1.1 200"), Ok(None));
}
