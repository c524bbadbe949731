//! Runs `badgerpost-wirehost` as a process and builds lines of input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// A valid settings object of an instance.
pub const CONFIG: &str = r#"{"az":"a","zones":["a","b"],"kinds":["k"],"n-instances":2,"discovery":"pushed","unknown":1,
"classes":[{"name":"read","effect":"repeatable","on-time-ns":200000000,"deadline-ns":500000000,"importance":1.0}],
"policy-limits":{"attempts-cap":3,"may-cancel":true,"second-copies":true,"probes":false},
"goal":{"worst-class":0.1},"quantum-ns":1000000,
"rules":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"drain-grace-ns":500000000,"fall-ns":1500000000,
"start-capacity":0.1,"tip-multiple":2.5,"warm-after-ns":20000000000}}"#;

/// Runs the program on this input and waits until it ends.
pub fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_badgerpost-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    stdin.write_all(input.as_bytes()).ok();
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

/// The program's output on valid input.
pub fn reply(input: &str) -> String {
    let output = run(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).expect("UTF-8")
}

/// One batch of lines at a simulated time in nanoseconds.
pub fn batch(at: u64, lines: &[String]) -> String {
    format!(
        "{{\"BATCH\":{{\"sim-time-ns\":{at}}}}}\n{}{{\"GO\":{{}}}}\n",
        lines.concat()
    )
}

/// An `OPEN_INSTANCE` line, which starts an instance.
pub fn open(who: u32) -> String {
    let config = CONFIG.replace('\n', "");
    format!("{{\"OPEN_INSTANCE\":{{\"who\":{who},\"nonce64\":{who}9,\"config\":{config}}}}}\n")
}

/// A `MANIFEST` line, with an endpoint list of one backend.
pub fn manifest(list: u32, backend: &str) -> String {
    format!(
        "{{\"MANIFEST\":{{\"list\":{list},\"members-list\":[{{\"backend\":\"{backend}\",\"hall\":\"a\",\"type\":\"k\",\
         \"pod\":0,\"stage-state\":\"in_service\",\"power-hint\":1,\"online-since-ns\":null}}]}}}}\n"
    )
}

/// A `FLEET` line, which delivers an endpoint list to an instance.
pub fn fleet(who: u32, list: u32) -> String {
    format!("{{\"FLEET\":{{\"who\":{who},\"mode\":\"cached\",\"seq-no\":1,\"list\":{list}}}}}\n")
}

/// An `INCOMING` line, which lets a request arrive.
pub fn incoming(who: u32, id: &str) -> String {
    format!(
        "{{\"INCOMING\":{{\"who\":{who},\"request-id\":\"{id}\",\"options\":0,\"band\":\"read\",\"org\":null,\
         \"key\":null,\"weight-hint-ns\":0,\"not-after-ns\":400000000}}}}\n"
    )
}
