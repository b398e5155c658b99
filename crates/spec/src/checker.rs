//! Exhaustive breadth-first search of the states of a model.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A step of a model: an event and the state after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SpecStep<S> {
    /// Description of the event.
    pub label: String,
    /// State after the event.
    pub state: S,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchResult {
    /// The property holds in all reachable states.
    Holds {
        /// Number of reachable states.
        states: usize,
    },
    /// The property is violated in some reachable state.
    Violated {
        /// Descriptions of the events on a shortest path to such a state, in order.
        trace: Vec<String>,
    },
}

// Node of the search. Nodes are compared by state, so that a state that is reached by several
// events is visited once.
#[derive(Debug, Clone)]
struct Node<S>(SpecStep<S>);

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.0.state == other.0.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        self.0.state.hash(hasher);
    }
}

/// Searches the states that `next` reaches from the state `initial` for one in which the property
/// `holds` does not hold.
pub fn search<S: Clone + Debug + Eq + Hash>(
    initial: S,
    next: impl Fn(&S) -> Vec<SpecStep<S>>,
    holds: impl Fn(&S) -> bool,
) -> SearchResult {
    let initial = Node(SpecStep {
        label: "start".to_owned(),
        state: initial,
    });
    let successors = |node: &Node<S>| next(&node.0.state).into_iter().map(Node);
    let violates = |node: &Node<S>| !holds(&node.0.state);
    let mut states = 0;
    let violated = bfs_reach(initial.clone(), successors).any(|node| {
        states += 1;
        violates(&node)
    });
    // The second search records the path, which takes more memory, and is run only if the property
    // is violated.
    let path = violated
        .then(|| bfs(&initial, successors, violates))
        .flatten();
    match path {
        None => SearchResult::Holds { states },
        Some(path) => SearchResult::Violated {
            trace: path.into_iter().map(|node| node.0.label).collect(),
        },
    }
}
