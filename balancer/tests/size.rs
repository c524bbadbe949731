//! The decision module as its users see it: where decisions stand, and what the deploy file names.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

fn read(path: &str) -> String {
    std::fs::read_to_string(format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// The files that the deploy file names as the policy.
fn policy() -> Vec<String> {
    let deploy = read("deploy/balancer.toml");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("a policy");
    line.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Source files that decide nothing: the interface, state with its accessors, measurements, event dispatch, and helpers.
const FILES_WITHOUT_DECISIONS: [&str; 25] = [
    "balancer/src/admission.rs",
    "balancer/src/api.rs",
    "balancer/src/api/actions.rs",
    "balancer/src/api/events.rs",
    "balancer/src/api/ids.rs",
    "balancer/src/api/settings.rs",
    "balancer/src/backend.rs",
    "balancer/src/backends.rs",
    "balancer/src/balancer.rs",
    "balancer/src/balancer/attempts.rs",
    "balancer/src/balancer/requests.rs",
    "balancer/src/class_statistics.rs",
    "balancer/src/ewma.rs",
    "balancer/src/feedback_weights.rs",
    "balancer/src/fleet.rs",
    "balancer/src/learning.rs",
    "balancer/src/lib.rs",
    "balancer/src/outlier_detection.rs",
    "balancer/src/random.rs",
    "balancer/src/request.rs",
    "balancer/src/request_table.rs",
    "balancer/src/warming_sends.rs",
    "balancer/src/zone.rs",
    "balancer/src/zone_routing.rs",
    "balancer/src/zones.rs",
];

/// The longest source file that a reader is expected to follow.
const MAX_FILE_LINES: usize = 400;

/// The package's source files, relative to the workspace, sorted.
fn source_files() -> Vec<String> {
    let workspace = format!("{}/..", env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    let mut folders = vec!["balancer/src".to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(format!("{workspace}/{folder}")).unwrap() {
            let entry = entry.unwrap();
            let path = format!("{folder}/{}", entry.file_name().to_str().unwrap());
            if entry.path().is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}

#[test]
fn every_file_that_decides_is_named_in_the_policy_and_none_is_long() {
    let policy = policy();
    assert!(
        policy.contains(&"balancer/src/endpoint_selection.rs".to_owned()),
        "{policy:?}"
    );
    let files = source_files();
    for named in policy
        .iter()
        .map(String::as_str)
        .chain(FILES_WITHOUT_DECISIONS)
    {
        assert!(
            files.iter().any(|file| file == named),
            "there is no {named}"
        );
    }
    for file in &files {
        let decides = policy.contains(file);
        let is_exempt = FILES_WITHOUT_DECISIONS.contains(&file.as_str());
        assert!(
            decides != is_exempt,
            "{file} must stand either in the policy or among the files without decisions"
        );
        let lines = read(file).lines().count();
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} lines");
    }
}

#[test]
fn the_deploy_file_names_the_programs() {
    let text = read("deploy/balancer.toml");
    assert!(
        text.lines()
            .any(|line| line.ends_with(r#"target/release/badgerpost""#)),
        "{text}"
    );
    assert!(
        text.lines()
            .any(|line| line.ends_with(r#"target/release/badgerpost-wirehost""#)),
        "{text}"
    );
}

/// Standing terms of the fleet trial: one process, by exec, and nothing that is refused there.
#[test]
fn the_program_keeps_to_the_terms_of_the_fleet_trial() {
    let text = read("deploy/balancer.toml");
    let line = |name: &str| {
        text.lines()
            .find(|line| line.starts_with(name))
            .unwrap_or_default()
            .to_owned()
    };
    assert_eq!(line("build = "), r#"build = "cargo build --release""#);
    assert_eq!(line("run = "), r#"run = "exec target/release/badgerpost""#);
    let folders: Vec<String> = line("node = ")
        .split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect();
    let mut seen = 0;
    let mut left: Vec<_> = folders
        .iter()
        .map(|folder| format!("{}/../{folder}", env!("CARGO_MANIFEST_DIR")))
        .collect();
    while let Some(folder) = left.pop() {
        for entry in std::fs::read_dir(&folder).unwrap_or_else(|error| panic!("{folder}: {error}"))
        {
            let path = entry.unwrap().path();
            if path.is_dir() {
                left.push(path.display().to_string());
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap();
            for refused in [
                "process::Command",
                "fork(",
                "io_uring",
                "splice(",
                "sendfile",
            ] {
                assert!(!text.contains(refused), "{}: {refused}", path.display());
            }
            seen += 1;
        }
    }
    assert!(seen > 40, "{seen} files");
}
