//! The scene of databases that die, short: what clients are told by real drivers, against what took effect.

use badgerpost_scenarios::postgres::{self, truth::Told};

#[test]
fn what_clients_are_told_is_true_though_databases_die() {
    let program = badgerpost_fakes::program("badgerpost").expect("built with its tests");
    let text = "about = \"short\"\ntransactions = 300\nclients = 6\ndatabases = 3\n[kills]\nleast = 8\nevery_ms = 20\ndown_ms = 10\n";
    let file = std::env::temp_dir().join(format!("badgerpost-short-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let short = postgres::find(&file.to_string_lossy())
        .expect("a scene")
        .expect("good");
    std::fs::remove_file(&file).unwrap();
    for seed in [1, 2] {
        let played = postgres::play(&short, seed, &program, &mut |_| {})
            .unwrap_or_else(|error| panic!("{error}"));
        assert!(
            played.crashed.is_none(),
            "seed {seed}: {:?}",
            played.crashed
        );
        assert!(
            played.findings.is_empty(),
            "seed {seed}: {:?}",
            played.findings
        );
        assert!(played.kills >= 8, "seed {seed}: {} kills", played.kills);
        assert!(
            played.seen.iter().any(|one| one.told == Told::Committed),
            "seed {seed}"
        );
        assert!(
            played.seen.iter().any(|one| one.told != Told::Committed),
            "seed {seed}: no kill hit anything"
        );
    }
}
