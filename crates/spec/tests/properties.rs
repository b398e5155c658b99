//! Every property holds in all states of its model. If a guard is removed, a property is violated;
//! the snapshots contain a shortest trace to a state that violates it.

use chestnutlb_spec::commits::{CommitMutation, CommitSpec};
use chestnutlb_spec::drains::{DrainMutation, DrainSpec};
use chestnutlb_spec::flows::{FlowMutation, FlowSpec};
use chestnutlb_spec::passthrough::{PassthroughMutation, PassthroughSpec};
use chestnutlb_spec::relays::{RelayMutation, RelaySpec};
use chestnutlb_spec::rosters::{RosterMutation, RosterSpec};
use chestnutlb_spec::verdicts::{OwnerCoverage, VerdictMutation, VerdictSpec};
use chestnutlb_spec::{SearchResult, search};

fn describe(name: &str, result: &SearchResult) -> String {
    match result {
        SearchResult::Holds { states } => format!("{name}: holds in {states} states"),
        SearchResult::Violated { trace } => format!("{name}: violated\n  {}", trace.join("\n  ")),
    }
}

fn search_flows(mutation: FlowMutation, property: impl Fn(&FlowSpec) -> bool) -> SearchResult {
    search(FlowSpec::start(), |state| state.next(mutation), property)
}

fn search_relays(mutation: RelayMutation, property: impl Fn(&RelaySpec) -> bool) -> SearchResult {
    search(RelaySpec::start(), |state| state.next(mutation), property)
}

fn search_commits(
    mutation: CommitMutation,
    property: impl Fn(&CommitSpec) -> bool,
) -> SearchResult {
    search(CommitSpec::start(), |state| state.next(mutation), property)
}

fn search_passthrough(
    mutation: PassthroughMutation,
    property: impl Fn(&PassthroughSpec) -> bool,
) -> SearchResult {
    search(
        PassthroughSpec::start(),
        |state| state.next(mutation),
        property,
    )
}

#[test]
fn passthrough_properties_hold() {
    let all = |state: &PassthroughSpec| {
        state.foreign_packets_are_limited()
            && state.no_foreign_reset()
            && state.owner_never_passes_on_unqueried()
            && state.owner_never_replies_not_owned(PassthroughMutation::None)
    };
    insta::assert_snapshot!(describe(
        "passthrough flows",
        &search_passthrough(PassthroughMutation::None, all)
    ));
}

#[test]
fn passthrough_properties_fail_without_a_guard() {
    let limited = PassthroughSpec::foreign_packets_are_limited;
    let results = [
        describe(
            "a half-open flow is owned",
            &search_passthrough(PassthroughMutation::HalfOpenOwns, limited),
        ),
        describe(
            "any SYN-ACK owns",
            &search_passthrough(PassthroughMutation::AnySynAckOwns, limited),
        ),
        describe(
            "repeated queries",
            &search_passthrough(PassthroughMutation::RepeatedQueries, limited),
        ),
        describe(
            "every reset is forwarded",
            &search_passthrough(
                PassthroughMutation::ResetsForwarded,
                PassthroughSpec::no_foreign_reset,
            ),
        ),
        describe(
            "no query",
            &search_passthrough(
                PassthroughMutation::NoQuery,
                PassthroughSpec::owner_never_passes_on_unqueried,
            ),
        ),
        describe(
            "a queried flow counts as not owned",
            &search_passthrough(PassthroughMutation::QueriedMeansNotOwned, |state| {
                state.owner_never_replies_not_owned(PassthroughMutation::QueriedMeansNotOwned)
            }),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn flow_properties_hold() {
    let none = FlowMutation::None;
    let all = |state: &FlowSpec| {
        state.at_most_one_owner()
            && state.no_open_flow_is_reset()
            && state.leaving_host_opens_no_flow()
            && state.owner_is_on_walk(none)
    };
    insta::assert_snapshot!(describe("flows", &search_flows(none, all)));
}

#[test]
fn flow_properties_fail_without_a_guard() {
    let results = [
        describe(
            "any acknowledgement",
            &search_flows(
                FlowMutation::AnyAcknowledgement,
                FlowSpec::at_most_one_owner,
            ),
        ),
        describe(
            "no grace period",
            &search_flows(
                FlowMutation::ImmediateReset,
                FlowSpec::no_open_flow_is_reset,
            ),
        ),
        describe(
            "any plan counts as complete",
            &search_flows(
                FlowMutation::AnyPlanIsComplete,
                FlowSpec::no_open_flow_is_reset,
            ),
        ),
        describe(
            "leaving hosts accept SYNs",
            &search_flows(
                FlowMutation::LeavingAccepts,
                FlowSpec::leaving_host_opens_no_flow,
            ),
        ),
        describe(
            "holders are omitted",
            &search_flows(FlowMutation::HoldersOmitted, |state| {
                state.owner_is_on_walk(FlowMutation::HoldersOmitted)
            }),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn relay_properties_hold() {
    let all = |state: &RelaySpec| state.not_run_reports_are_true() && state.runs_at_most_once();
    insta::assert_snapshot!(describe("relays", &search_relays(RelayMutation::None, all)));
}

#[test]
fn relay_properties_fail_without_a_guard() {
    let results = [
        describe(
            "no tombstone",
            &search_relays(
                RelayMutation::NoTombstone,
                RelaySpec::not_run_reports_are_true,
            ),
        ),
        describe(
            "duplicates accepted",
            &search_relays(
                RelayMutation::DuplicatesAccepted,
                RelaySpec::runs_at_most_once,
            ),
        ),
        describe(
            "a timeout counts as not run",
            &search_relays(
                RelayMutation::TimeoutMeansNotRun,
                RelaySpec::not_run_reports_are_true,
            ),
        ),
        describe(
            "rerun at the origin",
            &search_relays(RelayMutation::RerunAtOrigin, RelaySpec::runs_at_most_once),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn commit_properties_hold() {
    let all = |state: &CommitSpec| state.reports_are_true() && state.node_is_monotonic();
    insta::assert_snapshot!(describe(
        "commits",
        &search_commits(CommitMutation::None, all)
    ));
}

#[test]
fn commit_properties_fail_without_a_guard() {
    let results = [
        describe(
            "unconditional",
            &search_commits(CommitMutation::Unconditional, CommitSpec::reports_are_true),
        ),
        describe(
            "no read back",
            &search_commits(CommitMutation::NoReadBack, CommitSpec::reports_are_true),
        ),
        describe(
            "the node applies all",
            &search_commits(
                CommitMutation::NodeAppliesAll,
                CommitSpec::node_is_monotonic,
            ),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

fn search_rosters(
    mutation: RosterMutation,
    property: impl Fn(&RosterSpec) -> bool,
) -> SearchResult {
    search(RosterSpec::start(), |state| state.next(mutation), property)
}

#[test]
fn roster_properties_hold() {
    let result = search_rosters(
        RosterMutation::None,
        RosterSpec::departed_host_stays_removed,
    );
    insta::assert_snapshot!(describe("rosters", &result));
}

#[test]
fn roster_properties_fail_without_a_guard() {
    let stays_removed = RosterSpec::departed_host_stays_removed;
    let results = [
        describe(
            "a host is added to later versions",
            &search_rosters(RosterMutation::AddsToLaterVersions, stays_removed),
        ),
        describe(
            "words from before the newest version count",
            &search_rosters(RosterMutation::OldWordsCount, stays_removed),
        ),
        // Not a guard: shows that the guards let a live host return.
        describe(
            "a live host that was removed returns",
            &search_rosters(RosterMutation::None, RosterSpec::lapsed_host_stays_removed),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

/// Bounds that contain every violation found: two entry VMs and five versions.
type SmallVerdictSpec = VerdictSpec<2, 5>;

fn search_verdicts(
    mutation: VerdictMutation,
    property: impl Fn(&SmallVerdictSpec) -> bool,
) -> SearchResult {
    search_verdicts_with(OwnerCoverage::Partial, mutation, property)
}

fn search_verdicts_with(
    coverage: OwnerCoverage,
    mutation: VerdictMutation,
    property: impl Fn(&SmallVerdictSpec) -> bool,
) -> SearchResult {
    search(
        SmallVerdictSpec::start(coverage),
        |state| state.next(mutation),
        property,
    )
}

fn describe_verdict_mutations(mutations: &[(&str, VerdictMutation)]) -> String {
    let results: Vec<_> = mutations
        .iter()
        .map(|(name, mutation)| {
            let property = SmallVerdictSpec::no_live_flow_is_judged;
            describe(name, &search_verdicts(*mutation, property))
        })
        .collect();
    results.join("\n")
}

#[test]
fn verdict_properties_hold() {
    let results = describe_verdict_mutations(&[
        ("two entry VMs, five versions", VerdictMutation::None),
        // Not a guard: the view of the entry VM that offers the flow makes no difference here.
        (
            "an unlisted host is offered with a fresh view",
            VerdictMutation::OfferedWithFreshView,
        ),
    ]);
    insta::assert_snapshot!(results);
}

#[test]
fn verdict_properties_hold_without_settle_time_if_rosters_name_all_owners() {
    let none = VerdictMutation::None;
    let holds = search_verdicts_with(
        OwnerCoverage::Full,
        none,
        SmallVerdictSpec::no_live_flow_is_judged,
    );
    // Must be reachable.
    let reachable = search_verdicts_with(
        OwnerCoverage::Full,
        none,
        SmallVerdictSpec::no_flow_of_lost_host_is_judged,
    );
    let three = search(
        VerdictSpec::<3, 3>::start(OwnerCoverage::Full),
        |state| state.next(none),
        VerdictSpec::no_live_flow_is_judged,
    );
    let results = [
        describe("two entry VMs, five versions", &holds),
        describe("no verdict on a flow of a lost host", &reachable),
        describe("three entry VMs, three versions", &three),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn verdict_properties_fail_without_a_guard_if_rosters_name_all_owners() {
    let mutations = [
        (
            "a silent host is removed from the roster",
            VerdictMutation::SilentHostRemoved,
        ),
        (
            "a host in no roster is offered flows",
            VerdictMutation::UnlistedHostOffered,
        ),
        (
            "rosters of a restored store are trusted",
            VerdictMutation::RestoreIgnored,
        ),
    ];
    let results = mutations.map(|(name, mutation)| {
        let property = SmallVerdictSpec::no_live_flow_is_judged;
        let result = search_verdicts_with(OwnerCoverage::Full, mutation, property);
        describe(name, &result)
    });
    insta::assert_snapshot!(results.join("\n"));
}

// A configuration may move the only route of the host's service. Fewer versions of the roster keep
// the search short.
#[test]
fn verdict_properties_hold_after_the_route_was_moved_if_hosts_without_a_route_are_known() {
    type MovedRouteSpec = VerdictSpec<2, 3>;
    let search_moved = |coverage, mutation, property: fn(&MovedRouteSpec) -> bool| {
        let start = MovedRouteSpec::start(coverage).with_route_move();
        search(start, |state| state.next(mutation), property)
    };
    let mut results = Vec::new();
    for (name, coverage) in [
        ("rosters that may lack a host", OwnerCoverage::Partial),
        ("rosters that name all owners", OwnerCoverage::Full),
    ] {
        let none = VerdictMutation::None;
        let holds = search_moved(coverage, none, MovedRouteSpec::no_live_flow_is_judged);
        results.push(describe(name, &holds));
        // Must be reachable.
        let lost = MovedRouteSpec::no_flow_of_lost_host_is_judged_after_a_move;
        let reachable = search_moved(coverage, none, lost);
        results.push(describe("no verdict on a flow of a lost host", &reachable));
        let forgotten = VerdictMutation::UnroutedHostForgotten;
        let violated = search_moved(coverage, forgotten, MovedRouteSpec::no_live_flow_is_judged);
        results.push(describe("hosts without a route are forgotten", &violated));
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn verdict_properties_hold_with_three_entry_vms() {
    let result = search(
        VerdictSpec::<3, 3>::start(OwnerCoverage::Partial),
        |state| state.next(VerdictMutation::None),
        VerdictSpec::no_live_flow_is_judged,
    );
    insta::assert_snapshot!(describe("three entry VMs, three versions", &result));
}

#[test]
fn verdict_properties_fail_without_a_guard() {
    let results = describe_verdict_mutations(&[
        (
            "a version without the host makes its registration forgotten",
            VerdictMutation::RegistrationForgotten,
        ),
        (
            "a host that vanished from the roster is forgotten",
            VerdictMutation::VanishedHostForgotten,
        ),
        (
            "a host whose registration lapsed is forgotten",
            VerdictMutation::LapsedHostForgotten,
        ),
        (
            "an unlisted host is offered without all registrations",
            VerdictMutation::OfferedWithoutRegistrations,
        ),
        (
            "the first fresh view judges",
            VerdictMutation::FirstFreshViewJudges,
        ),
        ("a stale view judges", VerdictMutation::StaleViewJudges),
        (
            "a listed host is offered at once",
            VerdictMutation::ListedHostOfferedAtOnce,
        ),
    ]);
    insta::assert_snapshot!(results);
}

// Cases that the guards as first proposed did not exclude.
#[test]
fn verdict_properties_fail_with_guards_as_first_proposed() {
    let results = describe_verdict_mutations(&[
        (
            "the settle time follows the start only",
            VerdictMutation::SettlesOnlyAtStart,
        ),
        (
            "a host that an old version lists does not register",
            VerdictMutation::HostTrustsOldVersions,
        ),
        (
            "an entry VM that skipped the version with the host counts as told",
            VerdictMutation::LaterVersionsCount,
        ),
        (
            "a listed host is offered at once after a start",
            VerdictMutation::OfferedAtOnceAfterStart,
        ),
    ]);
    insta::assert_snapshot!(results);
}

// These states must be reachable; otherwise the guards would permit nothing.
#[test]
fn verdicts_and_flows_are_reachable_with_all_guards() {
    let none = VerdictMutation::None;
    let results = [
        describe(
            "no verdict on a flow of a departed host",
            &search_verdicts(none, VerdictSpec::no_flow_of_departed_host_is_judged),
        ),
        describe(
            "no verdict on a flow of a lost host",
            &search_verdicts(none, VerdictSpec::no_flow_of_lost_host_is_judged),
        ),
        describe(
            "no verdict on another flow beside a live unlisted host",
            &search_verdicts(
                none,
                VerdictSpec::no_other_flow_is_judged_beside_unlisted_host,
            ),
        ),
        describe(
            "no flow at an unlisted host",
            &search_verdicts(none, VerdictSpec::unlisted_host_has_no_flow),
        ),
    ];
    insta::assert_snapshot!(results.join("\n"));
}

fn search_drains(mutation: DrainMutation, property: impl Fn(&DrainSpec) -> bool) -> SearchResult {
    search(DrainSpec::start(), |state| state.next(mutation), property)
}

#[test]
fn drain_properties_hold_and_fail_without_a_guard() {
    let all = |state: &DrainSpec| state.is_monotonic() && state.versions_agree();
    let mutations = [
        ("drains", DrainMutation::None),
        (
            "a list ends later drains",
            DrainMutation::ListsEndLaterDrains,
        ),
        ("any version is applied", DrainMutation::AppliesAll),
        (
            "a host goes by the last reply",
            DrainMutation::HostGoesByLastReply,
        ),
        (
            "an entry VM that knows of no drain ends it",
            DrainMutation::SilenceEnds,
        ),
    ];
    let mut results: Vec<String> = mutations
        .into_iter()
        .map(|(name, mutation)| describe(name, &search_drains(mutation, all)))
        .collect();
    let reached = search_drains(DrainMutation::None, DrainSpec::host_sees_no_end);
    results.push(describe("a drain that never ends at the host", &reached));
    insta::assert_snapshot!(results.join("\n"));
}
