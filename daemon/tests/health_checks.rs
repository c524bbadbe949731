//! Health checks that read the load of backends: their rate, their effect on routing, and invalid responses.

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

fn config_with_health_checks(discovery: &Discovery) -> Value {
    let mut config = config(discovery.address, json!([]));
    config["settings"]["report"] = json!({"how": "pull", "fields": ["util"]});
    config["settings"]["policy-limits"]["probes"] = json!(true);
    config
}

/// A backend that serves requests and answers health checks with `stats`.
fn backend_with_stats(stats: ResponsePlan) -> Backend {
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

/// The backend in the local zone reports full utilization, so requests spill to the other zone.
#[test]
fn health_check_results_decide_where_requests_go() {
    let full = backend_with_stats(ResponsePlan::Respond(ok(
        r#"{"qps":90.5,"latency_ms":70,"eps":0,"util":0.99}"#,
    )));
    let free = backend_with_stats(ResponsePlan::Respond(ok(
        r#"{"qps":1.5,"latency_ms":70,"eps":0,"util":0.05}"#,
    )));
    let discovery = in_zones(&[(&full, "a"), (&free, "b")]);
    let node = Node::start(&config_with_health_checks(&discovery));
    discovery.wait_for_watch_from(1);
    let mut request_count = 0;
    let mut client = Client::connect(node.address);
    wait_until("requests spill to the other zone", || {
        request_count += 1;
        assert_eq!(
            client
                .request(&get(&format!("r{request_count}"), ""))
                .expect("a response")
                .status(),
            200
        );
        free.requests
            .try_iter()
            .any(|message| message.start_line.starts_with("GET /api"))
    });
    let home_messages: Vec<Message> = full.requests.try_iter().collect();
    let health_checks = home_messages
        .iter()
        .filter(|message| message.start_line.starts_with("GET /stats "));
    let health_checks = health_checks
        .inspect(|check| assert!(check.value("x-call-id").is_none(), "{check:?}"))
        .count();
    assert!(
        (1..=request_count / 5 + 4).contains(&health_checks),
        "{health_checks} health checks for {request_count} requests"
    );
}

#[test]
fn invalid_health_check_responses_fail_no_request() {
    let invalid = ["{", "[]", r#"{"util":"much"}"#, r#"{"util":1e999}"#, ""];
    let mut responses: Vec<ResponsePlan> = invalid
        .iter()
        .map(|body| ResponsePlan::Respond(ok(body)))
        .collect();
    responses.extend([
        ResponsePlan::Respond(status(404, "")),
        ResponsePlan::Respond("nonsense\r\n\r\n".to_owned()),
        ResponsePlan::RespondAndClose(String::new()),
        ResponsePlan::Hang,
    ]);
    for stats in responses {
        let backend = backend_with_stats(stats);
        let discovery = in_zones(&[(&backend, "a")]);
        let node = Node::start(&config_with_health_checks(&discovery));
        discovery.wait_for_watch_from(1);
        for n in 0..20 {
            assert_eq!(node.request(&get(&format!("r{n}"), "")).status(), 200);
        }
        let mut messages = Vec::new();
        let is_health_check = |message: &Message| message.start_line.starts_with("GET /stats ");
        // The health check is sent in parallel with the requests, and may arrive after the last of them.
        wait_until("a health check arrives", || {
            messages.extend(backend.requests.try_iter());
            messages.iter().any(is_health_check)
        });
        let requests = messages.iter().filter(|message| !is_health_check(message));
        assert_eq!(requests.count(), 20);
    }
}

#[test]
fn no_health_checks_are_sent_unless_the_settings_allow_them() {
    let backend = backend_with_stats(ResponsePlan::Respond(ok("{}")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for n in 0..20 {
        assert_eq!(node.request(&get(&format!("r{n}"), "")).status(), 200);
    }
    assert!(
        backend
            .requests
            .try_iter()
            .all(|message| message.start_line.starts_with("GET /api"))
    );
}
