//! Output and exit codes of commands that need no running processes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;

fn run(arguments: &[&str]) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutlb"))
        .args(arguments)
        .current_dir(root)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    let code = output.status.code().unwrap_or(-1);
    let line = arguments.join(" ");
    format!(
        "$ chestnutlb {line}\n{}exit {code}\n",
        String::from_utf8_lossy(&text)
    )
}

#[test]
fn output_and_exit_codes_match_without_running_processes() {
    // No process listens on port 1.
    let unreachable = "http://127.0.0.1:1";
    let texts = [
        run(&["--help"]),
        run(&["commit", "--help"]),
        run(&["validate", "examples/dalbit.json"]),
        run(&["validate", "--json", "examples/calinawan.json"]),
        run(&["validate", "examples/none.json"]),
        run(&["validate", "--json", "Cargo.toml"]),
        run(&[
            "wait",
            "--entry",
            "nowhere",
            "--firm",
            "dalbit",
            "--manifest",
            "1",
        ]),
    ];
    insta::assert_snapshot!(texts.join("\n"));
    let plan = run(&["plan", "--platform", unreachable, "examples/dalbit.json"]);
    assert!(plan.ends_with("exit 3\n"), "{plan}");
}

#[test]
fn flow_trace_is_in_order_despite_clock_skew() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let flow = "10.9.0.1:1>10.20.0.1:7000";
    let line = |time: &str, part: &str, event: &str| {
        format!(
            r#"{{"time":"2026-12-04T10:00:{time}Z","level":"info","part":"{part}","event":"{event}","flow":"{flow}"}}"#
        )
    };
    let entry = folder.join("entry-1.log");
    let text = [line("02.000", "route", "open"), "garbage".to_owned()];
    std::fs::write(&entry, text.join("\n")).unwrap();
    // The host logs its verdict with a time 1.5 s before the entry VM forwards the SYN.
    let host = folder.join("feed-1.log");
    let text = [
        line("00.500", "flow", "judged"),
        line("00.700", "flow", "returned by the backend"),
    ];
    std::fs::write(&host, text.join("\n")).unwrap();
    let (entry, host) = (entry.to_string_lossy(), host.to_string_lossy());
    let trace = run(&["story", "--flow", flow, &host, &entry]);
    let (_, trace) = trace.split_once('\n').unwrap();
    insta::assert_snapshot!(trace);
    let other_flow = run(&["story", "--flow", "10.9.0.1:2>10.20.0.1:7000", &entry]);
    assert!(other_flow.ends_with("exit 1\n"), "{other_flow}");
}

// Starts an entry VM's status server that reports this version of a manifest in force, a number or
// quoted text.
fn start_entry(version: impl std::fmt::Display) -> SocketAddr {
    let status = format!(
        r#"{{"name":"entry-1","datacenter":"honam-1","stopping":false,"watching":true,
        "age_ms":1,"documents":[{{"kind":"manifest","name":"dalbit","version":{version}}}],
        "entries":[],"hosts":[],"counters":{{}}}}"#
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            let lines = BufReader::new(&stream).lines();
            // Reads the request up to the empty line.
            lines.map_while(Result::ok).find(String::is_empty);
            let _ = write!(
                &stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{status}",
                status.len()
            );
        }
    });
    address
}

// A version of the earlier era may have been lost, whatever its revision.
#[test]
fn wait_is_met_only_by_versions_of_the_same_era() {
    const ERA: u64 = 1 << 44;
    let wait = |in_force: u64, version: &str| {
        let entry = start_entry(in_force).to_string();
        let arguments = [
            "wait",
            "--firm",
            "dalbit",
            "--seconds",
            "0",
            "--entry",
            &entry,
        ];
        let output = run(&[&arguments[..], &["--manifest", version]].concat());
        let code = output.trim_end().chars().last().unwrap();
        (code, output.contains("restored"))
    };
    assert_eq!(wait(20, "20"), ('0', false));
    assert_eq!(wait(20, "21"), ('1', false));
    assert_eq!(wait(ERA + 18, "20"), ('1', true));
    assert_eq!(wait(ERA + 30, "20"), ('1', true));
    assert_eq!(wait(ERA + 18, "1.18"), ('0', false));
    assert_eq!(wait(ERA + 18, "1.19"), ('1', false));
    assert_eq!(wait(ERA + 18, "2.1"), ('1', false));
}

// The numbers that operators give their configurations may be longer than a store's revisions.
#[test]
fn wait_and_status_take_versions_of_any_length() {
    let wait = |in_force: &str, version: &str| {
        let entry = start_entry(in_force).to_string();
        let arguments = [
            "wait",
            "--firm",
            "dalbit",
            "--seconds",
            "0",
            "--entry",
            &entry,
        ];
        let output = run(&[&arguments[..], &["--manifest", version]].concat());
        output.trim_end().chars().last().unwrap()
    };
    let in_force = "\"1.20261207153000\"";
    assert_eq!(wait(in_force, "1.20261207153000"), '0');
    assert_eq!(wait(in_force, "1.20261207152959"), '0');
    assert_ne!(wait(in_force, "1.20261207153001"), '0');
    assert_ne!(wait(in_force, "1.18446744073709551615"), '0');
    assert_ne!(wait("17592186044423", "1.20261207153000"), '0');
    let entry = start_entry(in_force).to_string();
    let status = run(&["status", "--json", "--entry", &entry]);
    assert!(status.contains("1.20261207153000"), "{status}");
}
