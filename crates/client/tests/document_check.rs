//! Guards the review of a configuration document: what it finds, what it leaves alone, and the exit
//! codes by which a script decides whether to send the document.

use {
    sassafrasslip_testkit::test_cases,
    serde_json::{Value, json},
    std::{fs, path::Path},
    tempfile::TempDir,
};

/// Returns a document without faults, with one stream to an engine and one plain route.
fn sound_document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {
                "name": "briefs", "host": "desk.example", "prefix": "/briefs/", "kind": "streaming",
                "timeout_ms": 8000, "target_latency_ms": 500, "service": "drafting", "attempts": 2,
                "can_resume": true, "gap_target_ms": 150
            },
            {
                "name": "orders", "host": "desk.example", "prefix": "/orders/", "kind": "unsafe",
                "timeout_ms": 800, "target_latency_ms": 120, "service": "desk", "attempts": 1
            }
        ],
        "services": [
            {
                "name": "drafting", "max_connections": 570,
                "engine": {
                    "slots": 10, "stride": 5, "step_ms": 4.55, "per_seq_ms": 1.09,
                    "read_per_s": 61400.0, "usual": {"prompt": 868, "answer": 96}
                }
            },
            {"name": "desk", "max_connections": 460}
        ],
        "tenants": [
            {"name": "press", "api_keys": ["key-1"]},
            {"name": "clubs", "api_keys": ["key-2"]}
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 5000, "idle_timeout_ms": 20000
        }
    })
}

fn write(folder: &Path, name: &str, document: &Value) -> String {
    let path = folder.join(name);
    fs::write(&path, document.to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Checks a document, against another one if that is given. Returns the exit code and the review.
fn check(document: &Value, in_force: Option<&Value>) -> (u8, Value) {
    let folder = TempDir::new().unwrap();
    let file = write(folder.path(), "next.json", document);
    let mut arguments = vec!["sassafrasslip".to_owned(), "check".to_owned(), file];
    if let Some(in_force) = in_force {
        arguments.push("--in-force".to_owned());
        arguments.push(write(folder.path(), "in-force.json", in_force));
    }
    arguments.extend(["--output".to_owned(), "json".to_owned()]);
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let code = sassafrasslip_client::run_with(arguments, &mut output, &mut errors);
    let review = serde_json::from_slice(&output).unwrap_or(Value::Null);
    (code, review)
}

fn has_finding(review: &Value, level: &str, entry: &str, text: &str) -> bool {
    let findings = review["findings"].as_array().unwrap();
    findings.iter().any(|finding| {
        finding["level"] == level
            && finding["entry"] == entry
            && finding["text"].as_str().unwrap().contains(text)
    })
}

/// A document without faults must pass, or nobody would heed the check.
#[test]
fn sound_document_has_no_finding() {
    let (code, review) = check(&sound_document(), None);
    assert_eq!(code, 0, "{review}");
    assert_eq!(review["findings"], json!([]));
}

fn case_is_found(path: &str, value: Value, level: &str, entry: &str, text: &str) {
    let mut document = sound_document();
    *document.pointer_mut(path).unwrap() = value;
    let (code, review) = check(&document, None);
    assert!(has_finding(&review, level, entry, text), "{review}");
    assert_eq!(code, u8::from(level == "error"), "{review}");
}

test_cases! {
    fn case_is_found(path, value, level, entry, text);
    replaced_route: ("/routes/1/prefix", json!("/briefs/"), "error", "route briefs", "never matches");
    prefix_without_slash: ("/routes/1/prefix", json!("/orders"), "error", "route orders", "slash");
    host_with_port: ("/routes/1/host", json!("desk.example:80"), "error", "route orders", "no host");
    unknown_service: ("/routes/1/service", json!("till"), "error", "route orders", "not configured");
    no_attempt: ("/routes/1/attempts", json!(0), "error", "route orders", "no attempt");
    needless_attempts: ("/routes/1/attempts", json!(2), "warning", "route orders", "may run once");
    long_objective: ("/routes/1/target_latency_ms", json!(900), "error", "route orders", "exceeds");
    pause_below_pass: ("/routes/0/gap_target_ms", json!(20), "error", "route briefs", "a pass of");
    shared_key: ("/tenants/1/api_keys", json!(["key-1"]), "error", "team press", "the same key");
    team_without_key: ("/tenants/1/api_keys", json!([]), "warning", "team clubs", "no key");
    no_connection: ("/services/1/max_connections", json!(0), "error", "service desk", "connection");
    no_head: ("/limits/max_header_bytes", json!(0), "error", "limits", "no bytes");
}

/// A document that gateways would ignore must not look as if it took effect.
#[test]
fn revision_that_is_not_higher_is_an_error() {
    let (code, review) = check(&sound_document(), Some(&sound_document()));
    assert_eq!(code, 1);
    assert!(
        has_finding(&review, "error", "configuration", "not higher"),
        "{review}"
    );
    assert_eq!(review["differences"], json!([]));
}

/// Keys are secrets: the output may end in a log or a ticket.
#[test]
fn differences_name_fields_and_no_keys() {
    let mut next = sound_document();
    next["version"] = json!(8);
    next["routes"][0]["timeout_ms"] = json!(6000);
    next["tenants"][0]["api_keys"] = json!(["key-3", "key-4"]);
    next["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "till"}));
    let (code, review) = check(&next, Some(&sound_document()));
    assert_eq!(code, 0, "{review}");
    let expected = json!([
        {"change": "changed", "entry": "route briefs", "fields": ["timeout: 8000 ms -> 6000 ms"]},
        {"change": "added", "entry": "service till", "fields": []},
        {"change": "changed", "entry": "team press", "fields": ["keys: 2 added, 1 removed"]}
    ]);
    assert_eq!(review["differences"], expected);
    assert!(!review.to_string().contains("key-"), "{review}");
}

/// A script must not take a document that cannot be read for a sound one.
#[test]
fn undecodable_document_is_rejected() {
    let (code, review) = check(&json!({"version": "seven"}), None);
    assert_eq!((code, review), (1, Value::Null));
}
