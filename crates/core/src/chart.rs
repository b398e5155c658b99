//! State charts. The life cycles are written down in JSON files beside the
//! source; this module checks and interprets them. A chart is refused when a
//! state can't be reached, when a transition names something unknown, or when
//! a state leaves an event without an answer: every event is either followed
//! or listed as ignored.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use compact_str::CompactString;
use quick_error::quick_error;

quick_error! {
    /// Why a chart is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChartError {
        /// The file is not a chart.
        Syntax(text: String) {
            display("not a chart: {}", text)
        }
        /// A name in the file is none of the program's, or one is missing.
        Name(kind: &'static str, name: CompactString) {
            display("{} {:?} does not match the program", kind, name)
        }
        /// No path leads from the initial state to this one.
        Unreachable(state: CompactString) {
            display("state {:?} can't be reached", state)
        }
        /// A state says nothing about an event.
        Unhandled(state: CompactString, event: CompactString) {
            display("state {:?} does not say what {:?} does", state, event)
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

/// A checked chart: for each state and event the next state, or none where
/// the event is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChart {
    initial: usize,
    next: Vec<Vec<Option<usize>>>,
}

impl StateChart {
    /// Reads a chart and checks it against the program's names.
    pub fn parse(json: &str, states: &[&str], events: &[&str]) -> Result<Self, ChartError> {
        let file: file::ChartFile =
            serde_json::from_str(json).map_err(|error| ChartError::Syntax(error.to_string()))?;
        if let Some(missing) = states.iter().find(|name| !file.states.contains_key(**name)) {
            return Err(ChartError::Name("state", CompactString::from(*missing)));
        }
        let mut next = vec![vec![None; events.len()]; states.len()];
        for (name, state) in &file.states {
            let row = scan_index(states, name, "state")?;
            let mut answered = vec![false; events.len()];
            for (event, target) in &state.on {
                let column = scan_index(events, event, "event")?;
                next[row][column] = Some(scan_index(states, target, "state")?);
                answered[column] = true;
            }
            for event in &state.ignore {
                answered[scan_index(events, event, "event")?] = true;
            }
            if let Some(column) = answered.iter().position(|done| !done) {
                return Err(ChartError::Unhandled(name.clone(), events[column].into()));
            }
        }
        let initial = scan_index(states, &file.initial, "state")?;
        let chart = Self { initial, next };
        match chart.first_unreachable() {
            Some(state) => Err(ChartError::Unreachable(states[state].into())),
            None => Ok(chart),
        }
    }

    fn first_unreachable(&self) -> Option<usize> {
        let mut seen = vec![false; self.next.len()];
        let mut open = vec![self.initial];
        while let Some(state) = open.pop() {
            if !std::mem::replace(&mut seen[state], true) {
                open.extend(self.next[state].iter().flatten());
            }
        }
        seen.iter().position(|reached| !reached)
    }

    fn step(&self, state: usize, event: usize) -> Option<usize> {
        self.next[state][event]
    }
}

fn scan_index(names: &[&str], name: &str, kind: &'static str) -> Result<usize, ChartError> {
    names
        .iter()
        .position(|known| *known == name)
        .ok_or_else(|| ChartError::Name(kind, CompactString::from(name)))
}

macro_rules! life_cycle {
    (
        $(#[$state_doc:meta])* $state:ident { $($(#[$sd:meta])* $sv:ident = $sn:literal,)+ }
        $(#[$event_doc:meta])* $event:ident { $($(#[$ed:meta])* $ev:ident = $en:literal,)+ }
        $chart:ident, $file:literal
    ) => {
        $(#[$state_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $state { $($(#[$sd])* $sv,)+ }

        $(#[$event_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $event { $($(#[$ed])* $ev,)+ }

        impl $state {
            /// Every state, in the order of their numbers.
            pub const ALL: &'static [$state] = &[$($state::$sv,)+];
            /// Every state's name.
            pub const NAMES: &'static [&'static str] = &[$($sn,)+];

            /// The state after `event`, or none where the chart ignores it.
            pub fn after(self, event: $event) -> Option<$state> {
                $chart.step(self as usize, event as usize).map(|index| Self::ALL[index])
            }
        }

        impl $event {
            /// Every event's name.
            pub const NAMES: &'static [&'static str] = &[$($en,)+];
        }

        impl fmt::Display for $state {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(Self::NAMES[*self as usize])
            }
        }

        impl FromStr for $state {
            type Err = ChartError;

            fn from_str(text: &str) -> Result<Self, ChartError> {
                scan_index(Self::NAMES, text, "state").map(|index| Self::ALL[index])
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
    /// Life of a host.
    HostState {
        /// Announced, its backend server is not ready.
        Joining = "joining",
        /// Takes flows, at a growing rate.
        Warming = "warming",
        /// Takes flows.
        Serving = "serving",
        /// Takes nothing new and finishes what it has.
        Leaving = "leaving",
        /// Silent; its flows may come back.
        Suspect = "suspect",
        /// Ended.
        Gone = "gone",
    }
    /// What happens to a host.
    HostEvent {
        /// Its backend server answers.
        Ready = "ready",
        /// The time to warm up is over.
        Warmed = "warmed",
        /// It was asked to leave.
        Leave = "leave",
        /// No announcement arrived for too long.
        Silent = "silent",
        /// An announcement arrived after silence.
        Heard = "heard",
        /// Its last flow ended, or it stays silent for good.
        End = "end",
    }
    HOST_CHART, "host.json"
}

life_cycle! {
    /// Life of a flow at its host.
    FlowState {
        /// The handshake is not complete.
        Opening = "opening",
        /// Open.
        Open = "open",
        /// One end has finished.
        Closing = "closing",
        /// Ended.
        Closed = "closed",
    }
    /// What happens to a flow.
    FlowEvent {
        /// The caller acknowledged the handshake.
        Established = "established",
        /// One end finished.
        Finish = "finish",
        /// Both ends finished.
        Finished = "finished",
        /// Reset, expired or refused.
        Abort = "abort",
    }
    FLOW_CHART, "flow.json"
}

life_cycle! {
    /// Life of a request at the host that took it from the caller.
    RequestState {
        /// Waits for a slot.
        Queued = "queued",
        /// Runs in a slot of this host.
        Running = "running",
        /// Handed to another host.
        Relayed = "relayed",
        /// Cancelled at the other host, which has not answered yet.
        Cancelling = "cancelling",
        /// The backend server answered.
        Answered = "answered",
        /// No backend server started it.
        NotRun = "not-run",
        /// Nobody can tell whether it ran.
        Unknown = "unknown",
    }
    /// What happens to a request.
    RequestEvent {
        /// It got a slot.
        Start = "start",
        /// It goes to another host.
        Relay = "relay",
        /// The whole answer is there.
        Answer = "answer",
        /// Proof arrived that no backend server started it.
        Refuse = "refuse",
        /// Its deadline passed.
        Expire = "expire",
        /// What ran it was lost.
        Lose = "lose",
        /// It comes back to be placed again: nothing started it, or running
        /// it twice does no harm.
        Return = "return",
    }
    REQUEST_CHART, "request.json"
}

/// Checks every chart of the program; called at start-up.
pub fn check_charts() {
    LazyLock::force(&HOST_CHART);
    LazyLock::force(&FLOW_CHART);
    LazyLock::force(&REQUEST_CHART);
}
