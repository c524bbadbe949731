use super::*;

fn map(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    pairs
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

/// Reads `options` as names and values, or as the error's text.
fn read(options: &str) -> Result<Vec<(String, String)>, String> {
    let settings = read_options(options).map_err(|error| error.to_string())?;
    let pairs = settings
        .into_iter()
        .map(|setting| (setting.name, setting.value));
    Ok(pairs.collect())
}

fn pairs(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

#[test]
fn options_are_read_as_a_server_reads_them() {
    assert_eq!(
        read(r"-c search_path=tenant7 -cstatement_timeout=50  --a.b=x\ y "),
        Ok(pairs(&[
            ("search_path", "tenant7"),
            ("statement_timeout", "50"),
            ("a.b", "x y"),
        ]))
    );
    assert_eq!(read("--work-mem=1MB"), Ok(pairs(&[("work_mem", "1MB")])));
    assert!(read("-x").is_err_and(|error| error.contains("\"-x\"")));
    assert!(read("-c nothing").is_err() && read("-c").is_err());
}

#[test]
fn a_server_connection_gets_the_settings_of_each_client_in_turn() {
    let greeting = map(&[
        ("TimeZone", "UTC"),
        ("DateStyle", "ISO, MDY"),
        ("server_version", "16.2"),
    ]);
    let client =
        |pairs: &[(&str, &str)]| ClientSettings::new(&map(pairs), &greeting).expect("good");
    let mut server = ServerSettings::default();
    for (name, value) in &greeting {
        server.record_report(name, value);
    }
    server.record_report("application_name", "badgerpost");
    let plain = client(&[
        ("user", "u"),
        ("application_name", "badgerpost"),
        ("DateStyle", "iso"),
    ]);
    assert!(plain.is_accepted_by_server() && server.sql_to_apply(&plain).is_none());
    let mut own = client(&[
        ("application_name", "badgerpost"),
        ("options", "-c search_path=a,b -c x.y=o'n"),
        ("timezone", "Europe/Budapest"),
    ]);
    assert!(!own.is_accepted_by_server());
    let to_own = server.sql_to_apply(&own).expect("differences");
    assert!(
        to_own.contains("set_config('search_path','a,b',false)") && to_own.contains("'o''n'"),
        "{to_own}"
    );
    assert!(
        to_own.contains("set_config('timezone','Europe/Budapest',false)"),
        "{to_own}"
    );
    // The server reports the change, so no further change is needed.
    server.record_report("TimeZone", "Europe/Budapest");
    assert!(
        !own.record_report("TimeZone", "Europe/Budapest") && server.sql_to_apply(&own).is_none()
    );
    // The next client gets its own settings.
    let to_plain = server.sql_to_apply(&plain).expect("differences");
    assert!(
        to_plain.contains("RESET \"search_path\";RESET \"x\".\"y\";"),
        "{to_plain}"
    );
    assert!(to_plain.contains("'timezone','UTC'"), "{to_plain}");
    server.record_report("TimeZone", "UTC");
    assert!(server.sql_to_apply(&plain).is_none());
    // After a RESET ALL the settings that are not reported are set again.
    server.sql_to_apply(&own);
    server.record_report("TimeZone", "Europe/Budapest");
    server.forget_unreported();
    assert!(
        server
            .sql_to_apply(&own)
            .is_some_and(|sql| sql.contains("search_path"))
    );
}

#[test]
fn reported_settings_are_kept_and_reset_to_the_initial_values() {
    let mut client = ClientSettings::new(
        &map(&[("TimeZone", "PST8PDT")]),
        &map(&[("TimeZone", "UTC")]),
    )
    .expect("good");
    assert!(client.record_report("TimeZone", "CET") && !client.record_report("TimeZone", "CET"));
    client.reset(&["timezone".to_owned()], false);
    assert!(client.iter().any(|pair| pair == ("timezone", "PST8PDT")));
    assert!(
        client.record_report("in_hot_standby", "on"),
        "a setting that is not followed is passed on"
    );
    let long = ClientSettings::new(&map(&[("a", &"x".repeat(MAX_VALUE_LENGTH + 1))]), &map(&[]));
    assert_eq!(long.err(), Some(SettingsError::TooMany));
    let strange = ClientSettings::new(&map(&[("a;b", "x")]), &map(&[]));
    assert_eq!(strange.err(), Some(SettingsError::Name("a;b".to_owned())));
}
