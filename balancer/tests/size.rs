//! The module's size: a bound that its users set.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "test code")]

fn read(path: &str) -> String {
    std::fs::read_to_string(format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// The files that the deploy file names as the policy.
fn policy() -> Vec<String> {
    let deploy = read("deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("a policy");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn the_module_stays_small() {
    let files = policy();
    assert!(files.contains(&"balancer/src/endpoint_selection.rs".to_owned()), "{files:?}");
    let texts: Vec<String> = files.iter().map(|path| read(path)).collect();
    let lines = texts.iter().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} non-blank lines");
    let widest = texts.iter().flat_map(|text| text.lines()).map(|line| line.chars().count()).max();
    assert!(widest <= Some(110), "a line of {widest:?} columns");
}

#[test]
fn the_deploy_file_names_the_programs() {
    let text = read("deploy/balancer.toml");
    assert!(text.lines().any(|line| line.ends_with(r#"target/release/badgerpost""#)), "{text}");
    assert!(text.lines().any(|line| line.ends_with(r#"target/release/badgerpost-wirehost""#)), "{text}");
}

/// Standing terms of the fleet trial: one process, by exec, and nothing that is refused there.
#[test]
fn the_program_keeps_to_the_terms_of_the_fleet_trial() {
    let text = read("deploy/balancer.toml");
    let line = |name: &str| text.lines().find(|line| line.starts_with(name)).unwrap_or_default().to_owned();
    assert_eq!(line("build = "), r#"build = "cargo build --release""#);
    assert_eq!(line("run = "), r#"run = "exec target/release/badgerpost""#);
    let folders: Vec<String> = line("node = ").split('"').skip(1).step_by(2).map(str::to_owned).collect();
    let mut seen = 0;
    let mut left: Vec<_> =
        folders.iter().map(|folder| format!("{}/../{folder}", env!("CARGO_MANIFEST_DIR"))).collect();
    while let Some(folder) = left.pop() {
        for entry in std::fs::read_dir(&folder).unwrap_or_else(|error| panic!("{folder}: {error}")) {
            let path = entry.unwrap().path();
            if path.is_dir() {
                left.push(path.display().to_string());
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap();
            for refused in ["process::Command", "fork(", "io_uring", "splice(", "sendfile"] {
                assert!(!text.contains(refused), "{}: {refused}", path.display());
            }
            seen += 1;
        }
    }
    assert!(seen > 40, "{seen} files");
}
