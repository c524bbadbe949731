use super::*;

#[test]
fn commands_are_read_in_upper_and_lower_case() {
    for (text, command) in [
        ("SHOW POOLS", Command::Show(TableName::Pools)),
        ("show  version", Command::Show(TableName::Version)),
        ("Pause", Command::Pause),
        (
            "disconnect 7",
            Command::Disconnect {
                client: "7".to_owned(),
            },
        ),
    ] {
        assert_eq!(Command::parse(text), Ok(command), "{text}");
    }
}

#[test]
fn an_unknown_command_is_rejected_with_what_there_is() {
    for (text, error) in [
        ("show nothing", "there is no SHOW NOTHING; SHOW POOLS |"),
        ("pause now", "not understood; SHOW POOLS |"),
        ("", "not understood; SHOW POOLS |"),
    ] {
        let found = Command::parse(text).expect_err("unknown").to_string();
        assert!(found.starts_with(error), "{text}: {found}");
    }
}
