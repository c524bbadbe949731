//! Checks the deploy file's list of policy source files and its programs, and the length of the source files.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

fn read(path: &str) -> String {
    std::fs::read_to_string(format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// The source files in the deploy file's `policy` list.
fn policy_files() -> Vec<String> {
    let deploy = read("deploy/balancer.toml");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("a line with the policy");
    line.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Source files outside the policy: the interface, state with its accessors, measurements, event dispatch, and
/// helpers.
const FILES_OUTSIDE_POLICY: [&str; 25] = [
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

const MAX_FILE_LINES: usize = 400;

/// Paths of the package's source files, relative to the workspace, in alphabetical order.
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
fn every_source_file_is_in_exactly_one_list_and_none_is_too_long() {
    let policy = policy_files();
    assert!(
        policy.contains(&"balancer/src/endpoint_selection.rs".to_owned()),
        "{policy:?}"
    );
    let files = source_files();
    for named in policy
        .iter()
        .map(String::as_str)
        .chain(FILES_OUTSIDE_POLICY)
    {
        assert!(
            files.iter().any(|file| file == named),
            "{named} is listed but does not exist"
        );
    }
    for file in &files {
        let is_policy = policy.contains(file);
        let is_outside_policy = FILES_OUTSIDE_POLICY.contains(&file.as_str());
        assert!(
            is_policy != is_outside_policy,
            "{file} must be listed either in the deploy file's policy or in FILES_OUTSIDE_POLICY"
        );
        let lines = read(file).lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{file} has {lines} lines, but at most {MAX_FILE_LINES} are allowed"
        );
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

/// The deployment platform runs the node as a single process, started with `exec`, and refuses programs with these
/// calls.
#[test]
fn the_node_runs_as_one_process_and_uses_no_refused_call() {
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
    let mut file_count = 0;
    let mut pending: Vec<_> = folders
        .iter()
        .map(|folder| format!("{}/../{folder}", env!("CARGO_MANIFEST_DIR")))
        .collect();
    while let Some(folder) = pending.pop() {
        for entry in std::fs::read_dir(&folder).unwrap_or_else(|error| panic!("{folder}: {error}"))
        {
            let path = entry.unwrap().path();
            if path.is_dir() {
                pending.push(path.display().to_string());
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
                assert!(
                    !text.contains(refused),
                    "{} contains {refused}",
                    path.display()
                );
            }
            file_count += 1;
        }
    }
    assert!(file_count > 40, "only {file_count} files checked");
}
