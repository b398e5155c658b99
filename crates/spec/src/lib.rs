//! A small specification of chestnutlb's core protocol, explored exhaustively.
//!
//! The specifications call the core's own functions where they can: the
//! verdicts on packets, the ledger of relays, the chart of a request. Each has
//! mutations that take a guard out; the search must find what goes wrong then.
//!
//! ```
//! use chestnutlb_spec::relays::{RelayMutation, RelaySpec};
//! use chestnutlb_spec::{SearchResult, search};
//!
//! let result = search(
//!     RelaySpec::start(),
//!     |state| state.next(RelayMutation::None),
//!     RelaySpec::not_run_is_true,
//! );
//! assert!(matches!(result, SearchResult::Holds { .. }));
//! ```

mod checker;
pub mod commits;
pub mod flows;
pub mod passthrough;
pub mod relays;

pub use checker::{SearchResult, SpecStep, search};
