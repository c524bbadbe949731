use super::*;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Content {
    #[expect(dead_code, reason = "the tests check errors only")]
    count: u32,
}

#[test]
fn a_rejected_file_is_reported_with_path_line_and_key() {
    for (text, expected) in [
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
            .parse::<Content>()
            .expect_err(text)
            .to_string();
        assert_eq!(error, expected);
    }
    let error = read::<Content>(Path::new("no/such/file.toml"))
        .expect_err("no file")
        .to_string();
    assert!(
        error.starts_with("no/such/file.toml: can't read the file: "),
        "{error}"
    );
}
