use super::*;

#[test]
fn accepts_shipped_scenario_files_and_locates_an_invalid_value() {
    for (name, _) in SHIPPED {
        assert!(
            find(name).is_some_and(|scenario| scenario.is_ok()),
            "{name}"
        );
    }
    assert!(find("night").is_none());
    let invalid = "about = \"x\"\ntransactions = 0\nclients = 1\ndatabases = 1\n";
    let error = check(&Source::embedded("x.toml", invalid))
        .expect_err("invalid")
        .to_string();
    assert_eq!(error, "x.toml:2: transactions: 1 to 10,000,000");
}
