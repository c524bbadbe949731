use super::*;

#[test]
fn ranges_hold_what_lies_in_them() {
    for (range, address, within) in [
        ("10.0.0.0/8", "10.200.0.1", true),
        ("10.0.0.0/8", "11.0.0.1", false),
        ("127.0.0.1", "127.0.0.1", true),
        ("127.0.0.1", "127.0.0.2", false),
        ("0.0.0.0/0", "203.0.113.9", true),
        ("0.0.0.0/0", "::1", false),
        ("10.0.0.0/8", "::ffff:10.1.2.3", true),
        ("fd00::/8", "fd12::1", true),
        ("::/0", "fd12::1", true),
    ] {
        let range: Range = range.parse().expect("a range");
        assert_eq!(
            range.contains(address.parse().expect("an address")),
            within,
            "{range:?} {address}"
        );
    }
    assert!("10.0.0.0/33".parse::<Range>().is_err() && "ten".parse::<Range>().is_err());
}

#[test]
fn the_first_rule_that_fits_counts() {
    let from: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let rule = |user: Option<&str>, database: Option<&str>, tls, refuse| Allow {
        user: user.map(str::to_owned),
        database: database.map(str::to_owned),
        address: None,
        tls,
        refuse,
    };
    let rules = [
        rule(Some("eve"), None, None, true),
        rule(None, Some("ratings"), None, false),
        rule(Some("amy"), None, Some(true), false),
    ];
    let may = |user, database, tls| may_come(&rules, user, database, from, tls);
    assert!(may("amy", "ratings", false) && may("amy", "other", true));
    assert!(
        !may("amy", "other", false) && !may("eve", "ratings", true) && !may("bob", "other", true)
    );
    assert!(may_come(&[], "bob", "other", from, false));
}

#[test]
fn a_login_that_names_a_client_goes_before_the_one_for_all() {
    let login = |user: &str, clients: Option<&[&str]>| Login {
        user: user.to_owned(),
        password_file: None,
        clients: clients.map(|all| all.iter().map(|name| (*name).to_owned()).collect()),
    };
    let logins =
        Logins::read(&[login("shared", None), login("amy", Some(&["amy"]))]).expect("logins");
    assert_eq!(
        (logins.for_client("amy"), logins.for_client("bob")),
        (Some(1), Some(0))
    );
    let named = Logins::read(&[login("shared", Some(&["amy"]))]).expect("logins");
    assert_eq!(named.for_client("bob"), None);
}
