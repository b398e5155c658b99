//! The README's tryout: both firms at today's sizes, under changes.

mod common;

use chestnutlb_standin::tryout::{TryoutPlan, program_folder, run};

#[test]
fn nothing_is_lost_doubled_or_broken_in_the_tryout() {
    let plan = TryoutPlan {
        binaries: program_folder().unwrap(),
        logs: common::folder("tryout"),
        manifests: common::examples(),
        requests: 240,
        feeds: 30,
        seed: 1,
    };
    let report = run(&plan).unwrap();
    assert!(report.holds(), "{report}");
}
