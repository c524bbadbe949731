use super::*;

#[test]
fn every_shipped_scenario_loads() {
    for (name, _) in SHIPPED {
        let loaded = find(name).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(loaded.name, name);
    }
}

/// The error for a valid scenario in which `from` is replaced by `to`.
fn load_error(from: &str, to: &str) -> String {
    let valid = "about = 'x'\nlength_ms = 10\n[clients]\nrate = 1.0\n[[node]]\nname = 'n0'\nzone = 'a'\n\
            [[server]]\nname = 'm1'\nzone = 'a'\n[[class]]\nname = 'c'\neffect = 'safe'\nshare = 1.0\n\
            work_ms = [1, 2]\naim_ms = 5\ndeadline_ms = 9\n[[fault]]\nkind = 'hang'\nat_ms = 3\nserver = 'm1'\n";
    assert!(load("x", &Source::embedded("x.toml", valid)).is_ok());
    let text = valid.replace(from, to);
    assert_ne!(text, valid);
    load("x", &Source::embedded("x.toml", &text))
        .err()
        .expect(to)
        .to_string()
}

const UNKNOWN_KIND: &str = "x.toml:19: kind: unknown kind of fault; known kinds: refuse, reset, hang, late, slow, spoilt, no-length, \
             turn-away, error, drain, gone, kill-server, pause-server, list-silent, list-stale, list-empty, \
             list-malformed, list-failing, kill-node, stop-node, pause-node, cut, slow-link, lossy-link, reset-link";

#[test]
fn an_invalid_scenario_is_rejected_with_file_line_and_key() {
    for (from, to, expected) in [
        (
            "rate = 1.0",
            "rats = 1.0",
            "x.toml:4: rats: unknown field `rats`",
        ),
        (
            "rate = 1.0",
            "rate = -1.0",
            "x.toml:4: rate: must be from 0 to 100000 requests a second",
        ),
        (
            "name = 'n0'",
            "name = 'n 0'",
            "x.toml:6: name: a name must have 1 to 64 letters, digits, '-', '_' or '.'",
        ),
        ("kind = 'hang'", "kind = 'hanged'", UNKNOWN_KIND),
        (
            "server = 'm1'",
            "server = 'm2'",
            "x.toml:21: server: the scenario has nothing of this name",
        ),
        (
            "server = 'm1'",
            "node = 'n0'",
            "x.toml:19: kind: `hang` requires the key `server` or `zone`",
        ),
        (
            "server = 'm1'",
            "server = 'm1'\nby_ms = 4",
            "x.toml:22: by_ms: `by_ms` is not allowed for `hang`",
        ),
        (
            "kind = 'hang'",
            "kind = 'late'",
            "x.toml:19: kind: `late` requires the key `by_ms`",
        ),
        (
            "work_ms = [1, 2]",
            "work_ms = [2, 1]",
            "x.toml:15: work_ms: must be [MIN, MAX] with 0 < MIN <= MAX <= 3600000",
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
        let error = load_error(from, to);
        assert!(error.starts_with(expected), "{to}: {error}");
    }
}
