use super::*;

fn line(reply: &Reply) -> String {
    serde_json::to_string(reply).expect("JSON")
}

#[test]
fn a_cancelled_attempt_is_written_as_recall() {
    let reply = Reply::Cancel {
        request: "r\"1".to_owned(),
        attempt: 2,
        instance: InstanceId(-1),
    };
    let expected = r#"{"RECALL":{"request-id":"r\"1","try":2,"who":-1}}"#;
    assert_eq!(line(&reply), expected);
}

#[test]
fn a_snapshot_fetch_is_written_as_query_all() {
    let reply = Reply::FetchSnapshot {
        instance: InstanceId(3),
    };
    assert_eq!(line(&reply), r#"{"QUERY_ALL":{"who":3}}"#);
}
