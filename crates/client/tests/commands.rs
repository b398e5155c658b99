//! Commands that need no running system, and what they print and exit with.

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
fn commands_without_a_system() {
    // Nothing listens at port 1.
    let silent = "http://127.0.0.1:1";
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
    let unsure = run(&["plan", "--platform", silent, "examples/dalbit.json"]);
    assert!(unsure.ends_with("exit 3\n"), "{unsure}");
}
