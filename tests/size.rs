//! The module's size: a bound that its users set.

#[test]
fn the_module_stays_small() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/choice.rs")).unwrap();
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 850, "{lines} non-blank lines");
    let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "a line of {widest} columns");
}

#[test]
fn the_deploy_file_names_the_module() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/balancer.toml")).unwrap();
    assert!(text.lines().any(|line| line == r#"policy = ["src/choice.rs"]"#), "{text}");
    assert!(text.lines().any(|line| line.ends_with(r#"target/release/brookfield-wirehost""#)), "{text}");
}
