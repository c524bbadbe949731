use super::*;

#[test]
fn each_parameter_has_the_lowest_value_of_all_servers() {
    let server = |version: &str, standby: &str| {
        let pairs = [("server_version", version), ("in_hot_standby", standby)];
        pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into()
    };
    let all: [Parameters; 3] = [
        server("16.4", "on"),
        server("9.6.24", "off"),
        server("16.10", "on"),
    ];
    let lowest = lowest_values(all.iter());
    assert_eq!(
        (
            lowest["server_version"].as_str(),
            lowest["in_hot_standby"].as_str()
        ),
        ("9.6.24", "off")
    );
}
