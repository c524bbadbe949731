use super::*;

fn map(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    pairs
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

#[test]
fn options_are_read_as_a_server_reads_them() {
    let read = |options: &str| read_options(options).map_err(|error| error.to_string());
    let wanted = [
        ("search_path", "tenant7"),
        ("statement_timeout", "50"),
        ("a.b", "x y"),
    ];
    let wanted: Vec<_> = wanted
        .iter()
        .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()))
        .collect();
    assert_eq!(
        read(r"-c search_path=tenant7 -cstatement_timeout=50  --a.b=x\ y "),
        Ok(wanted)
    );
    assert_eq!(
        read("--work-mem=1MB"),
        Ok(vec![("work_mem".to_owned(), "1MB".to_owned())])
    );
    assert!(read("-x").is_err_and(|error| error.contains("\"-x\"")));
    assert!(read("-c nothing").is_err() && read("-c").is_err());
}

#[test]
fn a_connection_is_made_the_clients_and_then_anothers() {
    let greeting = map(&[
        ("TimeZone", "UTC"),
        ("DateStyle", "ISO, MDY"),
        ("server_version", "16.2"),
    ]);
    let client =
        |pairs: &[(&str, &str)]| ClientSettings::new(&map(pairs), &greeting).expect("good");
    let mut server = ServerSettings::default();
    for (name, value) in &greeting {
        server.reported(name, value);
    }
    server.reported("application_name", "badgerpost");
    let plain = client(&[
        ("user", "u"),
        ("application_name", "badgerpost"),
        ("DateStyle", "iso"),
    ]);
    assert!(plain.is_proven() && server.adopt(&plain).is_none());
    let mut own = client(&[
        ("application_name", "badgerpost"),
        ("options", "-c search_path=a,b -c x.y=o'n"),
        ("timezone", "Europe/Budapest"),
    ]);
    assert!(!own.is_proven());
    let sql = server.adopt(&own).expect("differences");
    assert!(
        sql.contains("set_config('search_path','a,b',false)") && sql.contains("'o''n'"),
        "{sql}"
    );
    assert!(
        sql.contains("set_config('timezone','Europe/Budapest',false)"),
        "{sql}"
    );
    // Reported, as servers do it.
    server.reported("TimeZone", "Europe/Budapest");
    assert!(!own.reported("TimeZone", "Europe/Budapest") && server.adopt(&own).is_none());
    // The next client has none of it.
    let sql = server.adopt(&plain).expect("differences");
    assert!(
        sql.contains("RESET \"search_path\";RESET \"x\".\"y\";"),
        "{sql}"
    );
    assert!(sql.contains("'timezone','UTC'"), "{sql}");
    server.reported("TimeZone", "UTC");
    assert!(server.adopt(&plain).is_none());
    // What ran in between may have set anything back.
    server.adopt(&own);
    server.reported("TimeZone", "Europe/Budapest");
    server.forget();
    assert!(
        server
            .adopt(&own)
            .is_some_and(|sql| sql.contains("search_path"))
    );
}

#[test]
fn what_a_client_sets_is_kept_and_reset_to_what_it_began_with() {
    let mut client = ClientSettings::new(
        &map(&[("TimeZone", "PST8PDT")]),
        &map(&[("TimeZone", "UTC")]),
    )
    .expect("good");
    assert!(client.reported("TimeZone", "CET") && !client.reported("TimeZone", "CET"));
    client.reset(&["timezone".to_owned()], false);
    assert!(client.iter().any(|pair| pair == ("timezone", "PST8PDT")));
    assert!(
        client.reported("in_hot_standby", "on"),
        "not followed, and told"
    );
    let long = ClientSettings::new(&map(&[("a", &"x".repeat(LONGEST + 1))]), &map(&[]));
    assert_eq!(long.err(), Some(SettingsError::TooMany));
    let strange = ClientSettings::new(&map(&[("a;b", "x")]), &map(&[]));
    assert_eq!(strange.err(), Some(SettingsError::Name("a;b".to_owned())));
}
