//! User-space TCP of single flows: packets go in and out as bytes, the time is
//! handed in, nothing waits.
//!
//! ```
//! use chestnutlb_core::TimePoint;
//! use chestnutlb_stack::FlowStack;
//!
//! let service = "10.20.0.1:7000".parse().unwrap();
//! let stack = FlowStack::listen(service, 7, TimePoint(0));
//! assert!(stack.is_some_and(|stack| !stack.is_established()));
//! ```

mod flow;

pub use flow::{FlowStack, SentFacts, flow_seed, scan_sent};
pub use smoltcp::socket::tcp::{Socket, State};
