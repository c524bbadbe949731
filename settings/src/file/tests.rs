use super::*;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    #[expect(dead_code, reason = "only errors are looked at")]
    count: u32,
}

#[test]
fn an_error_names_file_line_and_key() {
    for (text, wanted) in [
        (
            "\n\ncuont = 3\n",
            "x.toml:3: cuont: unknown field `cuont`, expected `count`",
        ),
        (
            "# a\ncount = \"three\"\n",
            "x.toml:2: count: invalid type: string \"three\", expected u32",
        ),
        ("count = 1\ncount = 2\n", "x.toml:2: count: duplicate key"),
    ] {
        let error = Source::embedded("x.toml", text)
            .parse::<Wanted>()
            .expect_err(text)
            .to_string();
        assert_eq!(error, wanted);
    }
    let none = read::<Wanted>(Path::new("no/such/file.toml"))
        .expect_err("no file")
        .to_string();
    assert!(none.starts_with("no/such/file.toml: "), "{none}");
}
