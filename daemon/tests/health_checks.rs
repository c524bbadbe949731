//! Load that backends tell only when asked, over sockets: asked rarely, heeded, and no harm where it is no answer.

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

fn with_probes(discovery: &Discovery) -> Value {
    let mut config = config(discovery.at, json!([]));
    config["settings"]["report"] = json!({"how": "pull", "fields": ["util"]});
    config["settings"]["policy-limits"]["probes"] = json!(true);
    config
}

/// A backend that answers requests, and `stats` to probes.
fn reporting(stats: Does) -> Backend {
    Backend::new(
        move |message| match message.first.starts_with("GET /stats ") {
            true => stats.clone(),
            false => Does::Writes(ok("served")),
        },
    )
}

fn in_zones(backends: &[(&Backend, &str)]) -> Discovery {
    let listed = (0..).zip(backends).map(|(n, (backend, zone))| {
        let mut target = target(&format!("s-{n}"), backend.at, "Ready");
        target["az"] = json!(zone);
        target
    });
    Discovery::new(json!(listed.collect::<Vec<_>>()))
}

/// The home zone's server says that it is full, so requests go to the other zone.
#[test]
fn health_check_results_decide_where_requests_go() {
    let full = reporting(Does::Writes(ok(
        r#"{"qps":90.5,"latency_ms":70,"eps":0,"util":0.99}"#,
    )));
    let free = reporting(Does::Writes(ok(
        r#"{"qps":1.5,"latency_ms":70,"eps":0,"util":0.05}"#,
    )));
    let discovery = in_zones(&[(&full, "a"), (&free, "b")]);
    let node = Node::start(&with_probes(&discovery));
    discovery.watched_from(1);
    let mut asked = 0;
    let mut client = Client::to(node.at);
    until("requests leave the full zone", || {
        asked += 1;
        assert_eq!(
            client
                .ask(&get(&format!("r{asked}"), ""))
                .expect("an answer")
                .status(),
            200
        );
        free.got
            .try_iter()
            .any(|message| message.first.starts_with("GET /api"))
    });
    let at_home: Vec<Message> = full.got.try_iter().collect();
    let probes = at_home
        .iter()
        .filter(|message| message.first.starts_with("GET /stats "));
    let probes = probes
        .inspect(|probe| assert!(probe.value("x-call-id").is_none(), "{probe:?}"))
        .count();
    assert!(
        (1..=asked / 5 + 4).contains(&probes),
        "{probes} probes for {asked} requests"
    );
}

/// A backend that answers probes with what is none, or not at all, is served with as before.
#[test]
fn invalid_health_check_responses_are_harmless() {
    let bad = ["{", "[]", r#"{"util":"much"}"#, r#"{"util":1e999}"#, ""];
    let mut answers: Vec<Does> = bad.iter().map(|body| Does::Writes(ok(body))).collect();
    answers.extend([
        Does::Writes(status(404, "")),
        Does::Writes("nonsense\r\n\r\n".to_owned()),
        Does::Ends(String::new()),
        Does::Hangs,
    ]);
    for stats in answers {
        let backend = reporting(stats);
        let discovery = in_zones(&[(&backend, "a")]);
        let node = Node::start(&with_probes(&discovery));
        discovery.watched_from(1);
        for turn in 0..20 {
            assert_eq!(node.ask(&get(&format!("r{turn}"), "")).status(), 200);
        }
        let (probes, requests): (Vec<Message>, Vec<Message>) = backend
            .got
            .try_iter()
            .partition(|message| message.first.starts_with("GET /stats "));
        assert_eq!(requests.len(), 20);
        assert!(!probes.is_empty());
    }
}

/// Where answers tell the load, or the settings forbid it, nobody is probed.
#[test]
fn no_health_checks_are_made_unless_the_settings_allow_them() {
    let backend = reporting(Does::Writes(ok("{}")));
    let (node, _discovery) = Node::with(&[&backend]);
    for turn in 0..20 {
        assert_eq!(node.ask(&get(&format!("r{turn}"), "")).status(), 200);
    }
    assert!(
        backend
            .got
            .try_iter()
            .all(|message| message.first.starts_with("GET /api"))
    );
}
