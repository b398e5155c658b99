//! Tests that the daemon refuses invalid settings before it starts, and prints
//! valid ones with all defaults.

use std::path::PathBuf;
use std::process::Command;

const ENTRY: &str = r#"{
  "role": "entry", "name": "entry-1", "datacenter": "honam-1",
  "packets": "127.0.0.1:9001", "peers": "127.0.0.1:9002", "status": "127.0.0.1:9003",
  "fabric": "127.0.0.1:9000", "platform": "http://127.0.0.1:7100"
}"#;

const SIDE: &str = r#"{
  "role": "side", "name": "catalogue-1", "datacenter": "honam-1", "service": "dalbit/catalogue",
  "packets": "127.0.0.1:9101", "announce": "127.0.0.1:9102", "status": "127.0.0.1:9103",
  "fabric": "127.0.0.1:9000", "seeds": ["127.0.0.1:9002"], "backend": "127.0.0.1:8000"
}"#;

fn run_check(name: &str, text: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{}.json", name.replace(' ', "-")));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutlbd"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    let dir = format!("{}/", dir.display());
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).replace(&dir, "");
    format!(
        "{name}: exit {}\n{text}",
        output.status.code().unwrap_or(-1)
    )
}

#[test]
fn check_option_prints_valid_settings_and_refuses_invalid_ones() {
    let cases = [
        ("entry", ENTRY.to_owned()),
        ("side", SIDE.to_owned()),
        ("unknown role", ENTRY.replace("\"entry\"", "\"relay\"")),
        ("unknown field", ENTRY.replace("\"peers\"", "\"pears\"")),
        ("bad address", ENTRY.replace("127.0.0.1:9001", "localhost")),
        ("bad platform", ENTRY.replace("http://", "ftp://")),
        (
            "bad weight",
            SIDE.replace("\"seeds\"", "\"weight\": 0, \"seeds\""),
        ),
        ("no seeds", SIDE.replace("\"127.0.0.1:9002\"", "")),
        ("bad service", SIDE.replace("dalbit/catalogue", "catalogue")),
        (
            "bad log level",
            SIDE.replace("\"seeds\"", "\"log\": {\"level\": \"loud\"}, \"seeds\""),
        ),
        (
            "drains and deadline",
            ENTRY.replace(
                "\"peers\"",
                "\"drains\": true, \"change_deadline_ms\": 3000, \"peers\"",
            ),
        ),
        (
            "first cold limit",
            SIDE.replace(
                "\"seeds\"",
                "\"passthrough\": {\"outbound\": \"127.0.0.1:9104\", \"first_cold_limit\": 2.5}, \"seeds\"",
            ),
        ),
        (
            "deadline too short",
            ENTRY.replace("\"peers\"", "\"change_deadline_ms\": 100, \"peers\""),
        ),
        // The users' platform states some bounds as fractions.
        (
            "entry times with fractions",
            ENTRY.replace(
                "\"peers\"",
                "\"change_deadline_ms\": 2500.0, \"flow_age_ms\": 60.5e3, \"peers\"",
            ),
        ),
        (
            "side times with fractions",
            SIDE.replace(
                "\"seeds\"",
                "\"passthrough\": {\"outbound\": \"127.0.0.1:9104\", \"flow_age_ms\": 60.5e3, \
                 \"report_period_ms\": 1200.25}, \"seeds\"",
            ),
        ),
        (
            "negative time",
            ENTRY.replace("\"peers\"", "\"flow_age_ms\": -1, \"peers\""),
        ),
        ("not JSON", "role = entry".to_owned()),
    ];
    let reports: Vec<_> = cases
        .iter()
        .map(|(name, text)| run_check(name, text))
        .collect();
    insta::assert_snapshot!(reports.join("\n"));
}
