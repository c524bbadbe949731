use hyper::header::HeaderValue;

use super::*;
use crate::server::KEY_COOKIE;

#[test]
fn a_cookie_is_found_among_others() {
    let read = |lines: &[&'static str]| {
        let mut headers = HeaderMap::new();
        lines.iter().for_each(|line| {
            headers.append(header::COOKIE, HeaderValue::from_static(line));
        });
        cookie(&headers, KEY_COOKIE).map(str::to_owned)
    };
    assert_eq!(read(&["user=7f3a"]).as_deref(), Some("7f3a"));
    assert_eq!(read(&["a=1; user=7f3a ;b=2"]).as_deref(), Some("7f3a"));
    assert_eq!(read(&["a=1", "user=x=y"]).as_deref(), Some("x=y"));
    for none in [
        &[][..],
        &["user="],
        &["user"],
        &["users=1; xuser=2"],
        &[";;="],
    ] {
        assert_eq!(read(none), None, "{none:?}");
    }
}
