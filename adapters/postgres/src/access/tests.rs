use super::*;

#[test]
fn a_range_contains_the_addresses_with_its_prefix() {
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
        let range: AddressRange = range.parse().expect("a range");
        assert_eq!(
            range.contains(address.parse().expect("an address")),
            within,
            "{range:?} {address}"
        );
    }
    assert!(
        "10.0.0.0/33".parse::<AddressRange>().is_err() && "ten".parse::<AddressRange>().is_err()
    );
}

#[test]
fn the_first_matching_rule_decides() {
    let rule = |user: Option<&str>, database: Option<&str>, is_tls, rejects| AccessRule {
        user: user.map(str::to_owned),
        database: database.map(str::to_owned),
        address: None,
        is_tls,
        rejects,
    };
    let request = |user, database, is_tls| AccessRequest {
        user,
        database,
        address: "127.0.0.1".parse().expect("an address"),
        is_tls,
    };
    let rules = [
        rule(Some("eve"), None, None, true),
        rule(None, Some("ratings"), None, false),
        rule(Some("amy"), None, Some(true), false),
    ];
    let is_allowed_for =
        |user, database, is_tls| is_allowed(&rules, &request(user, database, is_tls));
    assert!(is_allowed_for("amy", "ratings", false) && is_allowed_for("amy", "other", true));
    assert!(
        !is_allowed_for("amy", "other", false)
            && !is_allowed_for("eve", "ratings", true)
            && !is_allowed_for("bob", "other", true)
    );
    assert!(is_allowed(&[], &request("bob", "other", false)));
}
