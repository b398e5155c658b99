//! Whether all flows of a backend server began after the start of its side process.
//!
//! Nothing that the backend server says of itself proves this. A report may arrive late, its start
//! is that of a clock that may jump, and an earlier side process may have received its first
//! report. What does prove it is a connection that the backend server's address refused after the
//! start of the side process: no backend server ran, so each later one started later. Such a
//! refusal counts once the address has accepted a connection, since a backend server that does
//! not listen there at all would refuse it too.

/// Answer to an attempt of a side process to connect to its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectAnswer {
    /// The connection was established.
    Accepted,
    /// Nothing listens at the address.
    Refused,
    /// There was no answer, or another error.
    Unknown,
}

impl ConnectAnswer {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Proof that the backend server started after this process, which has seen all of its flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedStart(());

/// Collects the proof from the answers to connections, in the order of the attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StartObserver {
    /// No answer tells anything so far.
    #[default]
    Unknown,
    /// A connection was refused, and none has been accepted since.
    Refused,
    /// A connection was accepted after another one was refused.
    Observed(ObservedStart),
}

impl StartObserver {
    /// Records the answer to an attempt that began after the start of this process.
    pub fn record_answer(&mut self, answer: ConnectAnswer) {
        *self = match (*self, answer) {
            (Self::Unknown, ConnectAnswer::Refused) => Self::Refused,
            (Self::Refused, ConnectAnswer::Accepted) => Self::Observed(ObservedStart(())),
            (unchanged, _) => unchanged,
        };
    }

    /// Returns the proof, if there is one.
    pub fn proof(self) -> Option<ObservedStart> {
        match self {
            Self::Observed(proof) => Some(proof),
            Self::Unknown | Self::Refused => None,
        }
    }
}
