//! Invalid settings: the exact error texts, and which of several invalid keys an error names.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use common::{complete, minimal, with};
use serde_json::{Value, json};

fn error(settings: &Value) -> String {
    match badgerpost_settings::read(settings) {
        Ok(_) => panic!("accepted: {settings}"),
        Err(error) => error.to_string(),
    }
}

/// Checks that each value, set at its JSON pointer, causes an error that names `object` and the pointer's last key.
fn assert_invalid(object: &str, values: &[(&str, Value)]) {
    for (pointer, value) in values {
        let key = pointer.rsplit('/').next().expect("a key");
        assert_names_key(object, key, pointer, value);
    }
}

fn assert_names_key(object: &str, key: &str, pointer: &str, value: &Value) {
    let found = error(&with(complete(), pointer, value.clone()));
    let expected = format!("{object}: field {key} is missing or of the wrong type");
    assert_eq!(found, expected, "{pointer} = {value}");
}

#[test]
fn error_texts_of_the_settings_object_name_object_and_key() {
    assert_invalid(
        "settings",
        &[
            ("/zones", json!("a")),
            ("/zones", json!([1])),
            ("/az", json!("c")),
            ("/az", json!(null)),
            ("/classes", json!({})),
            ("/projects", json!(null)),
            ("/projects", json!({})),
            ("/policy-limits", json!([])),
            ("/rules", json!(null)),
            ("/goal", json!(1)),
            ("/n-instances", json!("4")),
            ("/over-share-worth", json!("1")),
            ("/discovery", json!("sometimes")),
            ("/discovery", json!(null)),
            ("/quantum-ns", json!("x")),
            ("/kinds", json!(null)),
            ("/kinds", json!([null])),
        ],
    );
}

#[test]
fn error_texts_of_a_class_name_object_and_key() {
    assert_invalid(
        "settings: classes",
        &[
            ("/classes/0/effect", json!("sometimes")),
            ("/classes/0/effect", json!(1)),
            ("/classes/1/key-scope", json!("town")),
            ("/classes/1/window-ns", json!(1.5)),
            ("/classes/0/on-time-ns", json!("1")),
            ("/classes/0/deadline-ns", json!(null)),
            ("/classes/0/importance", json!("high")),
            ("/classes/0/late-share", json!(true)),
            ("/classes/0/name", json!(1)),
        ],
    );
}

#[test]
fn error_texts_of_a_tenant_name_object_and_key() {
    assert_invalid(
        "settings: projects",
        &[
            ("/projects/0/name", json!(1)),
            ("/projects/0/quota-rps", json!("1")),
        ],
    );
}

#[test]
fn error_texts_of_the_limits_name_object_and_key() {
    assert_invalid(
        "policy-limits",
        &[
            ("/policy-limits/max-retry-after-ns", json!("1")),
            ("/policy-limits/attempts-cap", json!(0.5)),
            ("/policy-limits/conn-idle-ns", json!("x")),
            ("/policy-limits/connect-timeout-ns", json!(0.1)),
        ],
    );
}

#[test]
fn error_texts_of_the_rules_name_object_and_key() {
    assert_invalid(
        "rules",
        &[
            ("/rules/answer-slack-ns", json!(null)),
            ("/rules/ask-within-ns", json!("x")),
            ("/rules/drain-grace-ns", json!([])),
            ("/rules/start-capacity", json!("x")),
            ("/rules/warm-after-ns", json!({})),
            ("/rules/tip-multiple", json!(null)),
            ("/rules/fall-ns", json!(true)),
        ],
    );
}

#[test]
fn error_texts_of_the_goal_name_object_and_key() {
    assert_invalid("goal", &[("/goal/worst-class", json!("x"))]);
}

#[test]
fn a_local_zone_outside_the_list_of_zones_is_reported() {
    assert_names_key("settings", "az", "/zones", &json!([]));
}

#[test]
fn a_value_that_is_not_an_object_is_reported_with_its_place() {
    assert_eq!(error(&json!([])), "settings: not an object");
    for (pointer, text) in [
        ("/classes/1", "settings: classes: not objects"),
        ("/projects/1", "settings: projects: not objects"),
    ] {
        assert_eq!(error(&with(complete(), pointer, json!("x"))), text);
    }
}

/// Guards against a change of the order in which keys are read, which would change the reported key.
#[test]
fn of_several_invalid_keys_the_first_in_reading_order_is_reported() {
    let pointers = [
        ("/zones", json!(["a", "b"])),
        ("/az", json!("b")),
        ("/classes/0/effect", json!("by_key")),
        ("/classes/0/key-scope", json!("all")),
        ("/classes/0/window-ns", json!(1)),
        ("/classes/0/on-time-ns", json!(1)),
        ("/classes/0/deadline-ns", json!(1)),
        ("/classes/0/importance", json!(1)),
        ("/classes/0/late-share", json!(1)),
        ("/classes/0/name", json!("read")),
        ("/projects/0/name", json!("t1")),
        ("/projects/0/quota-rps", json!(1)),
        ("/policy-limits/max-retry-after-ns", json!(1)),
        ("/n-instances", json!(1)),
        ("/over-share-worth", json!(1)),
        ("/discovery", json!("pushed")),
        ("/policy-limits/attempts-cap", json!(1)),
        ("/rules/answer-slack-ns", json!(1)),
        ("/rules/ask-within-ns", json!(1)),
        ("/rules/drain-grace-ns", json!(1)),
        ("/rules/start-capacity", json!(1)),
        ("/rules/warm-after-ns", json!(1)),
        ("/rules/tip-multiple", json!(1)),
        ("/rules/fall-ns", json!(1)),
        ("/goal/worst-class", json!(1)),
        ("/quantum-ns", json!(1)),
        ("/kinds", json!([])),
        ("/policy-limits/conn-idle-ns", json!(1)),
        ("/policy-limits/connect-timeout-ns", json!(1)),
    ];
    let mut settings = complete();
    for (pointer, _) in &pointers {
        settings = with(settings, pointer, json!([[]]));
    }
    for (pointer, valid) in pointers {
        let key = pointer.rsplit('/').next().expect("a key");
        let found = error(&settings);
        assert!(
            found.contains(&format!(": field {key} is missing")),
            "{pointer}: {found}"
        );
        settings = with(settings, pointer, valid);
    }
    assert!(badgerpost_settings::read(&settings).is_ok());
    settings = with(settings, "/policy-limits", json!([]));
    settings = with(settings, "/rules", json!([]));
    settings = with(settings, "/goal", json!([]));
    for key in ["policy-limits", "rules", "goal"] {
        assert!(error(&settings).contains(&format!(": field {key} is missing")));
        settings[key] = json!({});
    }
}

#[test]
fn each_key_of_the_minimal_settings_is_required() {
    for pointer in [
        "/az",
        "/zones",
        "/discovery",
        "/classes",
        "/classes/0/name",
        "/classes/0/effect",
        "/classes/0/on-time-ns",
        "/classes/0/deadline-ns",
        "/policy-limits",
        "/policy-limits/attempts-cap",
        "/goal",
        "/rules",
        "/rules/answer-slack-ns",
        "/rules/drain-grace-ns",
        "/rules/fall-ns",
        "/rules/start-capacity",
        "/rules/tip-multiple",
        "/rules/warm-after-ns",
    ] {
        let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
        let mut settings = minimal();
        let parent = settings.pointer_mut(parent).expect("a parent");
        parent.as_object_mut().expect("an object").remove(key);
        let found = error(&settings);
        assert!(
            found.ends_with(&format!(": field {key} is missing or of the wrong type")),
            "{pointer}: {found}"
        );
    }
}
