//! State charts: life cycles defined by JSON files in `charts/`, which this module
//! validates and interprets.
//!
//! A chart is rejected if a state is unreachable, if a transition refers to an unknown
//! state or event, or if a state neither handles an event nor lists it as ignored.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use compact_str::CompactString;
use quick_error::quick_error;

quick_error! {
    /// Error in a chart.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChartError {
        /// The file is not valid JSON or does not have the structure of a chart.
        Syntax(text: String) {
            display("invalid chart: {}", text)
        }
        /// A state or event is not defined by the program, or a state is missing.
        Name(kind: &'static str, name: CompactString) {
            display("{} {:?} is unknown or missing", kind, name)
        }
        /// The state can't be reached from the initial state.
        Unreachable(state: CompactString) {
            display("state {:?} can't be reached", state)
        }
        /// The state neither handles nor ignores an event.
        Unhandled(state: CompactString, event: CompactString) {
            display("state {:?} neither handles nor ignores event {:?}", state, event)
        }
    }
}

mod file {
    use super::*;
    use serde::Deserialize;

    #[derive(Debug)]
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ChartFile {
        pub initial: CompactString,
        pub states: BTreeMap<CompactString, StateFile>,
    }

    #[derive(Debug)]
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StateFile {
        #[serde(default)]
        pub on: BTreeMap<CompactString, CompactString>,
        #[serde(default)]
        pub ignore: Vec<CompactString>,
    }
}

/// A validated chart. It holds the next state for each state and event, or `None`
/// if the event is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChart {
    initial: usize,
    next: Vec<Vec<Option<usize>>>,
}

impl StateChart {
    /// Parses a chart and validates it against the program's states and events.
    pub fn parse(json: &str, states: &[&str], events: &[&str]) -> Result<Self, ChartError> {
        let file: file::ChartFile =
            serde_json::from_str(json).map_err(|error| ChartError::Syntax(error.to_string()))?;
        if let Some(missing) = states.iter().find(|name| !file.states.contains_key(**name)) {
            return Err(ChartError::Name("state", CompactString::from(*missing)));
        }
        let mut next = vec![vec![None; events.len()]; states.len()];
        for (name, state) in &file.states {
            let row = index_of(states, name, "state")?;
            let mut handled = vec![false; events.len()];
            for (event, target) in &state.on {
                let column = index_of(events, event, "event")?;
                next[row][column] = Some(index_of(states, target, "state")?);
                handled[column] = true;
            }
            for event in &state.ignore {
                handled[index_of(events, event, "event")?] = true;
            }
            if let Some(column) = handled.iter().position(|done| !done) {
                return Err(ChartError::Unhandled(name.clone(), events[column].into()));
            }
        }
        let initial = index_of(states, &file.initial, "state")?;
        let chart = Self { initial, next };
        match chart.first_unreachable() {
            Some(state) => Err(ChartError::Unreachable(states[state].into())),
            None => Ok(chart),
        }
    }

    fn first_unreachable(&self) -> Option<usize> {
        let mut seen = vec![false; self.next.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if !std::mem::replace(&mut seen[state], true) {
                pending.extend(self.next[state].iter().flatten());
            }
        }
        seen.iter().position(|reached| !reached)
    }

    fn step(&self, state: usize, event: usize) -> Option<usize> {
        self.next[state][event]
    }
}

fn index_of(names: &[&str], name: &str, kind: &'static str) -> Result<usize, ChartError> {
    names
        .iter()
        .position(|candidate| *candidate == name)
        .ok_or_else(|| ChartError::Name(kind, CompactString::from(name)))
}

// Defines the state and event enums of a life cycle and loads the chart that connects
// them.
macro_rules! life_cycle {
    (
        $(#[$state_doc:meta])* $state:ident { $($(#[$state_variant_doc:meta])* $state_variant:ident = $state_name:literal,)+ }
        $(#[$event_doc:meta])* $event:ident { $($(#[$event_variant_doc:meta])* $event_variant:ident = $event_name:literal,)+ }
        $chart:ident, $file:literal
    ) => {
        $(#[$state_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $state { $($(#[$state_variant_doc])* $state_variant,)+ }

        $(#[$event_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $event { $($(#[$event_variant_doc])* $event_variant,)+ }

        impl $state {
            /// All states, in the order of their discriminants.
            pub const ALL: &'static [$state] = &[$($state::$state_variant,)+];
            /// The names of all states.
            pub const NAMES: &'static [&'static str] = &[$($state_name,)+];

            /// Returns the state after `event`, or `None` if the chart ignores the event.
            pub fn after(self, event: $event) -> Option<$state> {
                $chart.step(self as usize, event as usize).map(|index| Self::ALL[index])
            }
        }

        impl $event {
            /// The names of all events.
            pub const NAMES: &'static [&'static str] = &[$($event_name,)+];
        }

        impl fmt::Display for $state {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(Self::NAMES[*self as usize])
            }
        }

        impl FromStr for $state {
            type Err = ChartError;

            fn from_str(text: &str) -> Result<Self, ChartError> {
                index_of(Self::NAMES, text, "state").map(|index| Self::ALL[index])
            }
        }

        static $chart: LazyLock<StateChart> = LazyLock::new(|| {
            let json = include_str!(concat!("../charts/", $file));
            match StateChart::parse(json, $state::NAMES, $event::NAMES) {
                Ok(chart) => chart,
                Err(error) => panic!("chart {}: {error}", $file),
            }
        });
    };
}

life_cycle! {
    /// State of a host.
    HostState {
        /// The host has registered, but its backend server is not ready.
        Joining = "joining",
        /// The host accepts new flows at an increasing rate.
        Warming = "warming",
        /// The host accepts new flows at the full rate.
        Serving = "serving",
        /// The host accepts no new flows and finishes the existing ones.
        Leaving = "leaving",
        /// The host is silent; its flows may still exist.
        Suspect = "suspect",
        /// The host has ended.
        Gone = "gone",
    }
    /// Event that changes the state of a host.
    HostEvent {
        /// The backend server has become ready.
        Ready = "ready",
        /// The warm-up time is over.
        Warmed = "warmed",
        /// The host was requested to leave.
        Leave = "leave",
        /// The host, or its backend server, did not respond within the timeout.
        Silent = "silent",
        /// The host or its backend server responded again.
        Heard = "heard",
        /// The last flow of a leaving host has ended.
        End = "end",
    }
    HOST_CHART, "host.json"
}

life_cycle! {
    /// State of a flow at its host.
    FlowState {
        /// The flow is half-open: the TCP handshake is not complete.
        Opening = "opening",
        /// The flow is established.
        Open = "open",
        /// One side has closed its direction.
        Closing = "closing",
        /// The flow has ended.
        Closed = "closed",
    }
    /// Event that changes the state of a flow.
    FlowEvent {
        /// The caller completed the handshake.
        Established = "established",
        /// One side closed its direction.
        Finish = "finish",
        /// Both sides have closed their directions.
        Finished = "finished",
        /// The flow was reset, expired or refused.
        Abort = "abort",
    }
    FLOW_CHART, "flow.json"
}

life_cycle! {
    /// State of a request at the host that received it from the caller.
    RequestState {
        /// The request waits for a slot.
        Queued = "queued",
        /// The request runs in a slot of this host.
        Running = "running",
        /// The request was relayed to another host.
        Relayed = "relayed",
        /// The relay was cancelled, but the other host has not replied yet.
        Cancelling = "cancelling",
        /// The backend server sent a complete response.
        Answered = "answered",
        /// No backend server started the request.
        NotRun = "not-run",
        /// A backend server may have started the request.
        Unknown = "unknown",
    }
    /// Event that changes the state of a request.
    RequestEvent {
        /// The request got a slot.
        Start = "start",
        /// The request was relayed to another host.
        Relay = "relay",
        /// The complete response has arrived.
        Answer = "answer",
        /// Proof has arrived that no backend server started the request.
        Refuse = "refuse",
        /// The deadline of the request has passed.
        Expire = "expire",
        /// The backend server or host that the request was sent to was lost.
        Lose = "lose",
        /// The request has to be placed again: either no backend server started it or
        /// running it twice does no harm.
        Return = "return",
    }
    REQUEST_CHART, "request.json"
}

/// Validates all charts of the program. Called at start-up.
pub fn check_charts() {
    LazyLock::force(&HOST_CHART);
    LazyLock::force(&FLOW_CHART);
    LazyLock::force(&REQUEST_CHART);
}
