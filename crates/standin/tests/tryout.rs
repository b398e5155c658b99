//! The tryout of the README: requests and feeds of both firms while the fleet changes.

mod common;

use chestnutlb_standin::tryout::{TryoutPlan, program_folder, run};

#[test]
fn tryout_loses_and_repeats_no_request_and_breaks_no_feed() {
    let logs = common::output_folder("tryout");
    let _guard = common::FolderGuard(logs.clone());
    let plan = TryoutPlan {
        binaries: program_folder().unwrap(),
        logs,
        manifests: common::example_folder(),
        requests: 240,
        feeds: 30,
        seed: 1,
    };
    let report = run(&plan).unwrap();
    assert!(report.passed(), "{report}");
}
