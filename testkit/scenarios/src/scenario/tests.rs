use super::*;

#[test]
fn every_shipped_scenario_loads() {
    for (name, _) in SHIPPED {
        let checked = find(name).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(checked.name, name);
    }
}

/// What is wrong with a scene, with one of the lines of a good one changed.
fn wrong(from: &str, to: &str) -> String {
    let good = "about = 'x'\nlength_ms = 10\n[clients]\nrate = 1.0\n[[node]]\nname = 'n0'\nzone = 'a'\n\
            [[server]]\nname = 'm1'\nzone = 'a'\n[[class]]\nname = 'c'\neffect = 'safe'\nshare = 1.0\n\
            work_ms = [1, 2]\naim_ms = 5\ndeadline_ms = 9\n[[fault]]\nkind = 'hang'\nat_ms = 3\nserver = 'm1'\n";
    assert!(load("x", &Source::embedded("x.toml", good)).is_ok());
    let text = good.replace(from, to);
    assert_ne!(text, good);
    load("x", &Source::embedded("x.toml", &text))
        .err()
        .expect(to)
        .to_string()
}

#[test]
fn an_invalid_scenario_is_rejected_with_file_line_and_key() {
    for (from, to, wanted) in [
        (
            "rate = 1.0",
            "rats = 1.0",
            "x.toml:4: rats: unknown field `rats`",
        ),
        (
            "rate = 1.0",
            "rate = -1.0",
            "x.toml:4: rate: from 0 to 100000 a second",
        ),
        ("name = 'n0'", "name = 'n 0'", "x.toml:6: name: a name has"),
        (
            "kind = 'hang'",
            "kind = 'hanged'",
            "x.toml:19: kind: unknown kind of fault",
        ),
        (
            "server = 'm1'",
            "server = 'm2'",
            "x.toml:21: server: there is none of this name",
        ),
        (
            "server = 'm1'",
            "node = 'n0'",
            "x.toml:19: kind: `hang` needs the key `server` or `zone`",
        ),
        (
            "server = 'm1'",
            "server = 'm1'\nby_ms = 4",
            "x.toml:22: by_ms: `by_ms` does not go with `hang`",
        ),
        (
            "kind = 'hang'",
            "kind = 'late'",
            "x.toml:19: kind: `late` needs the key `by_ms`",
        ),
        (
            "work_ms = [1, 2]",
            "work_ms = [2, 1]",
            "x.toml:15: work_ms: from a time above 0",
        ),
        (
            "effect = 'safe'",
            "effect = 'sane'",
            "x.toml:13: effect: unknown variant `sane`",
        ),
        (
            "length_ms = 10",
            "length_ms = 'x'",
            "x.toml:2: length_ms: invalid type",
        ),
    ] {
        let error = wrong(from, to);
        assert!(error.starts_with(wanted), "{to}: {error}");
    }
}
