//! User-space TCP stacks of single flows.
//!
//! A stack does no I/O and never blocks: IP packets go in and out as bytes, and every call gets
//! the current time.
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

pub use flow::{FlowStack, SentSegment, flow_seed, parse_sent_segment};
pub use smoltcp::socket::tcp::{Socket, State};
