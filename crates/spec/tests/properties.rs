//! Every property holds in all states; without its guard it does not, and the
//! shortest way there is kept.

use chestnutlb_spec::commits::{CommitMutation, CommitSpec};
use chestnutlb_spec::flows::{FlowMutation, FlowSpec};
use chestnutlb_spec::passthrough::{PassthroughMutation, PassthroughSpec};
use chestnutlb_spec::relays::{RelayMutation, RelaySpec};
use chestnutlb_spec::{SearchResult, search};

fn describe(name: &str, result: &SearchResult) -> String {
    match result {
        SearchResult::Holds { states } => format!("{name}: holds in {states} states"),
        SearchResult::Broken { trace } => format!("{name}: broken\n  {}", trace.join("\n  ")),
    }
}

fn flows(mutation: FlowMutation, right: impl Fn(&FlowSpec) -> bool) -> SearchResult {
    search(FlowSpec::start(), |state| state.next(mutation), right)
}

fn relays(mutation: RelayMutation, right: impl Fn(&RelaySpec) -> bool) -> SearchResult {
    search(RelaySpec::start(), |state| state.next(mutation), right)
}

fn commits(mutation: CommitMutation, right: impl Fn(&CommitSpec) -> bool) -> SearchResult {
    search(CommitSpec::start(), |state| state.next(mutation), right)
}

fn carried(
    mutation: PassthroughMutation,
    right: impl Fn(&PassthroughSpec) -> bool,
) -> SearchResult {
    search(
        PassthroughSpec::start(),
        |state| state.next(mutation),
        right,
    )
}

#[test]
fn carried_flows_hold() {
    let all = |state: &PassthroughSpec| {
        state.strangers_are_asked_once()
            && state.no_foreign_reset()
            && state.owner_is_found()
            && state.owner_is_not_cleared(PassthroughMutation::None)
    };
    insta::assert_snapshot!(describe(
        "carried",
        &carried(PassthroughMutation::None, all)
    ));
}

#[test]
fn carried_flows_without_a_guard_break() {
    let once = PassthroughSpec::strangers_are_asked_once;
    let results = [
        describe(
            "an unanswered opening owns",
            &carried(PassthroughMutation::OpeningOwns, once),
        ),
        describe(
            "any answer owns",
            &carried(PassthroughMutation::AnyAnswerOwns, once),
        ),
        describe("asked again", &carried(PassthroughMutation::AskAgain, once)),
        describe(
            "every reset is forwarded",
            &carried(
                PassthroughMutation::ResetsForwarded,
                PassthroughSpec::no_foreign_reset,
            ),
        ),
        describe(
            "never asked",
            &carried(
                PassthroughMutation::NeverAsks,
                PassthroughSpec::owner_is_found,
            ),
        ),
        describe(
            "asked is certain",
            &carried(PassthroughMutation::AskedIsCertain, |state| {
                state.owner_is_not_cleared(PassthroughMutation::AskedIsCertain)
            }),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn flows_hold() {
    let none = FlowMutation::None;
    let all = |state: &FlowSpec| {
        state.one_owner()
            && state.never_reset()
            && state.leaving_takes_none()
            && state.owner_in_plan(none)
    };
    insta::assert_snapshot!(describe("flows", &flows(none, all)));
}

#[test]
fn flows_without_a_guard_break() {
    let results = [
        describe(
            "any acknowledgement",
            &flows(FlowMutation::AnyAcknowledgement, FlowSpec::one_owner),
        ),
        describe(
            "no doubt",
            &flows(FlowMutation::NoDoubt, FlowSpec::never_reset),
        ),
        describe(
            "the plan is proof",
            &flows(FlowMutation::PlanIsProof, FlowSpec::never_reset),
        ),
        describe(
            "leaving hosts take SYNs",
            &flows(FlowMutation::LeavingTakes, FlowSpec::leaving_takes_none),
        ),
        describe(
            "holders are forgotten",
            &flows(FlowMutation::HoldersForgotten, |state| {
                state.owner_in_plan(FlowMutation::HoldersForgotten)
            }),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn relays_hold() {
    let all = |state: &RelaySpec| state.not_run_is_true() && state.at_most_once();
    insta::assert_snapshot!(describe("relays", &relays(RelayMutation::None, all)));
}

#[test]
fn relays_without_a_guard_break() {
    let results = [
        describe(
            "no tombstone",
            &relays(RelayMutation::NoTombstone, RelaySpec::not_run_is_true),
        ),
        describe(
            "duplicates taken",
            &relays(RelayMutation::DuplicatesTaken, RelaySpec::at_most_once),
        ),
        describe(
            "time is proof",
            &relays(RelayMutation::TimeIsProof, RelaySpec::not_run_is_true),
        ),
        describe(
            "run again",
            &relays(RelayMutation::RunAgain, RelaySpec::at_most_once),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn commits_hold() {
    let all = |state: &CommitSpec| state.words_are_true() && state.node_is_monotonic();
    insta::assert_snapshot!(describe("commits", &commits(CommitMutation::None, all)));
}

#[test]
fn commits_without_a_guard_break() {
    let results = [
        describe(
            "unconditional",
            &commits(CommitMutation::Unconditional, CommitSpec::words_are_true),
        ),
        describe(
            "no read back",
            &commits(CommitMutation::NoReadBack, CommitSpec::words_are_true),
        ),
        describe(
            "the node takes all",
            &commits(CommitMutation::NodeTakesAll, CommitSpec::node_is_monotonic),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}
