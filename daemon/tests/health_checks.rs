//! Load that backends tell only when asked, over sockets: asked rarely, heeded, and no harm where it is no answer.

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

fn with_probes(discovery: &Discovery) -> Value {
    let mut config = config(discovery.address, json!([]));
    config["settings"]["report"] = json!({"how": "pull", "fields": ["util"]});
    config["settings"]["policy-limits"]["probes"] = json!(true);
    config
}

/// A backend that answers requests, and `stats` to probes.
fn reporting(stats: ResponsePlan) -> Backend {
    Backend::new(
        move |message| match message.start_line.starts_with("GET /stats ") {
            true => stats.clone(),
            false => ResponsePlan::Respond(ok("served")),
        },
    )
}

fn in_zones(backends: &[(&Backend, &str)]) -> Discovery {
    let listed = (0..).zip(backends).map(|(n, (backend, zone))| {
        let mut target = target(&format!("s-{n}"), backend.address, "Ready");
        target["az"] = json!(zone);
        target
    });
    Discovery::new(json!(listed.collect::<Vec<_>>()))
}

/// The home zone's server says that it is full, so requests go to the other zone.
#[test]
fn health_check_results_decide_where_requests_go() {
    let full = reporting(ResponsePlan::Respond(ok(
        r#"{"qps":90.5,"latency_ms":70,"eps":0,"util":0.99}"#,
    )));
    let free = reporting(ResponsePlan::Respond(ok(
        r#"{"qps":1.5,"latency_ms":70,"eps":0,"util":0.05}"#,
    )));
    let discovery = in_zones(&[(&full, "a"), (&free, "b")]);
    let node = Node::start(&with_probes(&discovery));
    discovery.wait_for_watch_from(1);
    let mut asked = 0;
    let mut client = Client::connect(node.address);
    wait_until("requests leave the full zone", || {
        asked += 1;
        assert_eq!(
            client
                .request(&get(&format!("r{asked}"), ""))
                .expect("an answer")
                .status(),
            200
        );
        free.requests
            .try_iter()
            .any(|message| message.start_line.starts_with("GET /api"))
    });
    let at_home: Vec<Message> = full.requests.try_iter().collect();
    let probes = at_home
        .iter()
        .filter(|message| message.start_line.starts_with("GET /stats "));
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
    let mut answers: Vec<ResponsePlan> = bad
        .iter()
        .map(|body| ResponsePlan::Respond(ok(body)))
        .collect();
    answers.extend([
        ResponsePlan::Respond(status(404, "")),
        ResponsePlan::Respond("nonsense\r\n\r\n".to_owned()),
        ResponsePlan::RespondAndClose(String::new()),
        ResponsePlan::Hang,
    ]);
    for stats in answers {
        let backend = reporting(stats);
        let discovery = in_zones(&[(&backend, "a")]);
        let node = Node::start(&with_probes(&discovery));
        discovery.wait_for_watch_from(1);
        for turn in 0..20 {
            assert_eq!(node.request(&get(&format!("r{turn}"), "")).status(), 200);
        }
        let mut messages = Vec::new();
        let is_health_check = |message: &Message| message.start_line.starts_with("GET /stats ");
        // It is sent beside the requests, and may arrive after the last of them.
        wait_until("a health check arrives", || {
            messages.extend(backend.requests.try_iter());
            messages.iter().any(is_health_check)
        });
        let requests = messages.iter().filter(|message| !is_health_check(message));
        assert_eq!(requests.count(), 20);
    }
}

/// Where answers tell the load, or the settings forbid it, nobody is probed.
#[test]
fn no_health_checks_are_made_unless_the_settings_allow_them() {
    let backend = reporting(ResponsePlan::Respond(ok("{}")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for turn in 0..20 {
        assert_eq!(node.request(&get(&format!("r{turn}"), "")).status(), 200);
    }
    assert!(
        backend
            .requests
            .try_iter()
            .all(|message| message.start_line.starts_with("GET /api"))
    );
}
