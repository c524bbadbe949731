use badgerpost_settings::file::Source;

use super::*;

/// The section of the operators' file that would say the same.
#[test]
fn an_invalid_section_is_rejected_with_its_problem() {
    let text = "listen = \"127.0.0.1:0\"\nzone = \"a\"\nusers = \"/no/such/file\"\nclass = []\nlogin = []\n";
    let no_class: Config = Source::embedded("test", text)
        .parse()
        .expect("the keys that there must be");
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
    let with = Config {
        users: path.clone(),
        ..no_class
    };
    let mode = |mode| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        with.read_users().err().expect("bad").to_string()
    };
    assert!(mode(0o644).contains("0600"));
    let error = mode(0o600);
    assert!(
        error.contains(":2: only SCRAM-SHA-256") && !error.contains("secret"),
        "{error}"
    );
    std::fs::remove_file(&path).unwrap();
}
