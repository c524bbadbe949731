use super::*;

#[test]
fn shipped_scenario_files_are_valid_and_an_invalid_value_is_reported_with_its_line() {
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
    assert_eq!(
        error,
        "x.toml:2: transactions: must be from 1 to 10,000,000"
    );
}
