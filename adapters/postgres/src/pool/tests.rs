use super::*;

#[test]
fn the_lowest_version_counts() {
    let server = |version: &str, standby: &str| {
        let pairs = [("server_version", version), ("in_hot_standby", standby)];
        pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into()
    };
    let all: [BTreeMap<String, String>; 3] = [
        server("16.4", "on"),
        server("9.6.24", "off"),
        server("16.10", "on"),
    ];
    let lowest = lowest(all.iter());
    assert_eq!(
        (
            lowest["server_version"].as_str(),
            lowest["in_hot_standby"].as_str()
        ),
        ("9.6.24", "off")
    );
}
