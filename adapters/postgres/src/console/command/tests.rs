use super::*;

#[test]
fn commands_are_parsed_ignoring_case() {
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
fn an_unknown_command_is_rejected_with_the_available_commands() {
    for (text, error) in [
        (
            "show nothing",
            "unknown table in SHOW NOTHING; available: SHOW POOLS |",
        ),
        ("pause now", "unknown command; available: SHOW POOLS |"),
        ("", "unknown command; available: SHOW POOLS |"),
    ] {
        let found = Command::parse(text).expect_err("unknown").to_string();
        assert!(found.starts_with(error), "{text}: {found}");
    }
}
