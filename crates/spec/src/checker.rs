//! Exhaustive search of a specification's states.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// One step: what happened, and the state after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SpecStep<S> {
    /// What happened.
    pub label: String,
    /// The state.
    pub state: S,
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchResult {
    /// The property holds in all states.
    Holds {
        /// Number of states.
        states: usize,
    },
    /// A shortest way to a state in which it does not.
    Broken {
        /// What happened, in order.
        trace: Vec<String>,
    },
}

// Two ways to a state are one state.
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

/// Searches all states that `next` reaches from `start` for one that is not
/// `right`.
pub fn search<S: Clone + Debug + Eq + Hash>(
    start: S,
    next: impl Fn(&S) -> Vec<SpecStep<S>>,
    right: impl Fn(&S) -> bool,
) -> SearchResult {
    let start = Node(SpecStep {
        label: "start".to_owned(),
        state: start,
    });
    let successors = |node: &Node<S>| next(&node.0.state).into_iter().map(Node);
    let wrong = |node: &Node<S>| !right(&node.0.state);
    let mut states = 0;
    let broken = bfs_reach(start.clone(), successors).any(|node| {
        states += 1;
        wrong(&node)
    });
    // Only a broken property is worth the second search, which keeps the way.
    let way = broken.then(|| bfs(&start, successors, wrong)).flatten();
    match way {
        None => SearchResult::Holds { states },
        Some(way) => SearchResult::Broken {
            trace: way.into_iter().map(|node| node.0.label).collect(),
        },
    }
}
