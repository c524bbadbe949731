use super::*;

#[test]
fn shipped_scenes_are_good_and_bad_ones_named() {
    for (name, _) in SHIPPED {
        assert!(find(name).is_some_and(|scene| scene.is_ok()), "{name}");
    }
    assert!(find("night").is_none());
    let bad = "about = \"x\"\ntransactions = 0\nclients = 1\ndatabases = 1\n";
    let error = check(&Source::embedded("x.toml", bad))
        .expect_err("bad")
        .to_string();
    assert_eq!(error, "x.toml:2: transactions: 1 to 10,000,000");
}
