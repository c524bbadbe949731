use badgerpost_settings::file::Source;

use super::*;

#[test]
fn an_invalid_section_is_rejected_with_an_error_that_names_the_problem() {
    let text = "listen = \"127.0.0.1:0\"\nzone = \"a\"\nusers = \"/no/such/file\"\nclass = []\nlogin = []\n";
    let no_class: Config = Source::embedded("test", text)
        .parse()
        .expect("a section with the required keys");
    assert!(
        no_class
            .read_logins()
            .err()
            .is_some_and(|error| error.to_string().contains("[[postgres.login]]"))
    );
    assert!(
        no_class
            .site()
            .err()
            .is_some_and(|error| error.to_string().contains("[[postgres.class]]"))
    );
    assert!(
        no_class
            .read_users()
            .err()
            .is_some_and(|error| error.to_string().contains("/no/such/file"))
    );
    let path = std::env::temp_dir().join(format!("badgerpost-users-{}", std::process::id()));
    std::fs::write(&path, "# who\nann secret\n").unwrap();
    let with_users_file = Config {
        users: path.clone(),
        ..no_class
    };
    let error_at_mode = |mode| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        with_users_file
            .read_users()
            .err()
            .expect("an invalid users file")
            .to_string()
    };
    assert!(error_at_mode(0o644).contains("0600"));
    let error = error_at_mode(0o600);
    assert!(
        error.contains(":2: only SCRAM-SHA-256") && !error.contains("secret"),
        "{error}"
    );
    std::fs::remove_file(&path).unwrap();
}
