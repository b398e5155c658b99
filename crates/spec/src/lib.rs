//! Model of chestnutlb's core protocol, checked by exhaustive breadth-first search.
//!
//! The models call the functions of the core crate where they can: the verdicts on packets, the
//! table of relays and the state chart of a request. Each model has mutations that remove one
//! guard of the protocol. With a mutation the search must find a state that violates a property,
//! which shows that the guard is necessary and that the search detects its absence.
//!
//! ```
//! use chestnutlb_spec::relays::{RelayMutation, RelaySpec};
//! use chestnutlb_spec::{SearchResult, search};
//!
//! let result = search(
//!     RelaySpec::start(),
//!     |state| state.next(RelayMutation::None),
//!     RelaySpec::not_run_reports_are_true,
//! );
//! assert!(matches!(result, SearchResult::Holds { .. }));
//! ```

mod checker;
pub mod commits;
pub mod drains;
pub mod flows;
pub mod passthrough;
pub mod relays;
pub mod rosters;
pub mod verdicts;

pub use checker::{SearchResult, SpecStep, search};
