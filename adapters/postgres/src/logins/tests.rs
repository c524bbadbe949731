use super::*;

#[test]
fn a_login_that_lists_the_client_precedes_the_default_login() {
    let login = |user: &str, clients: Option<&[&str]>| Login {
        user: user.to_owned(),
        password_file: None,
        clients: clients.map(|all| all.iter().map(|name| (*name).to_owned()).collect()),
    };
    let logins =
        Logins::read(&[login("shared", None), login("amy", Some(&["amy"]))]).expect("logins");
    assert_eq!(
        (logins.for_client("amy"), logins.for_client("bob")),
        (Some(LoginId(1)), Some(LoginId(0)))
    );
    let named = Logins::read(&[login("shared", Some(&["amy"]))]).expect("logins");
    assert_eq!(named.for_client("bob"), None);
}
