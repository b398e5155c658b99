//! Validation of state charts, and transitions of the built-in ones.

use chestnutlb_core::chart::StateChart;
use chestnutlb_core::{RequestEvent, RequestOutcome, RequestState};

fn parse_outcome(json: &str) -> String {
    StateChart::parse(json, &["a", "b"], &["go", "end"])
        .map(|_| "accepted".to_owned())
        .unwrap_or_else(|error| error.to_string())
}

#[test]
fn invalid_charts_are_rejected() {
    let charts = [
        ("no JSON", "{"),
        (
            "unknown field",
            r#"{"initial": "a", "states": {}, "extra": 1}"#,
        ),
        (
            "missing state",
            r#"{"initial": "a", "states": {"a": {"ignore": ["go", "end"]}}}"#,
        ),
        (
            "unreachable state",
            r#"{"initial": "a", "states": {"a": {"ignore": ["go", "end"]}, "b": {"ignore": ["go", "end"]}}}"#,
        ),
        (
            "unhandled event",
            r#"{"initial": "a", "states": {"a": {"on": {"go": "b"}}, "b": {"ignore": ["go", "end"]}}}"#,
        ),
        (
            "unknown target",
            r#"{"initial": "a", "states": {"a": {"on": {"go": "c"}, "ignore": ["end"]}, "b": {"ignore": ["go", "end"]}}}"#,
        ),
        (
            "a chart",
            r#"{"initial": "a", "states": {"a": {"on": {"go": "b"}, "ignore": ["end"]}, "b": {"ignore": ["go", "end"]}}}"#,
        ),
    ];
    let lines: Vec<_> = charts
        .iter()
        .map(|(name, json)| format!("{name}: {}", parse_outcome(json)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn outcomes_are_final_and_expired_or_lost_running_request_is_unknown() {
    use RequestEvent::*;
    let events = [Start, Relay, Answer, Refuse, Expire, Lose, Return];
    for state in RequestState::ALL {
        for event in events {
            let next = state.after(event);
            if state.outcome().is_some() {
                assert_eq!(next, None, "{state} after {event:?}");
            }
        }
    }
    // The passing of time never proves that a started request did not run.
    for event in [Expire, Lose] {
        let next = RequestState::Running.after(event);
        assert_eq!(
            next.and_then(RequestState::outcome),
            Some(RequestOutcome::Unknown)
        );
    }
}
