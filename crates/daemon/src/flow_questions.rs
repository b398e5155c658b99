//! Questions to the packet thread: where it would send the SYN of a passthrough flow now. Only
//! that thread has the load reports that the decision depends on.

use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};

use chestnutlb_core::{FlowKey, OpeningExplanation, RouteDrop};

/// Capacity of the ring of questions.
const QUESTION_RING: usize = 8;

/// Longest time to wait for an answer. The packet thread looks for questions between packets.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

type Answer = Result<OpeningExplanation, RouteDrop>;

/// A question about one flow.
#[derive(Debug)]
pub struct FlowQuestion {
    /// The flow.
    pub key: FlowKey,
    answer: Sender<Answer>,
}

impl FlowQuestion {
    /// Answers the question.
    pub fn answer(&self, answer: Answer) {
        // Whoever asked may have given up.
        let _ = self.answer.try_send(answer);
    }
}

/// Asks the packet thread.
#[derive(Debug, Clone)]
pub struct FlowQuestions(Sender<FlowQuestion>);

impl FlowQuestions {
    /// Returns the asking and the answering end.
    pub fn new() -> (Self, Receiver<FlowQuestion>) {
        let (sender, receiver) = bounded(QUESTION_RING);
        (Self(sender), receiver)
    }

    /// Returns where the SYN of a flow would go, or `None` if the packet thread does not answer
    /// in time.
    pub fn ask(&self, key: FlowKey) -> Option<Answer> {
        let (answer, answers) = bounded(1);
        self.0.try_send(FlowQuestion { key, answer }).ok()?;
        answers.recv_timeout(ANSWER_TIMEOUT).ok()
    }
}
