//! Stand-ins for the systems around chestnutlb, the tryout, the load tools and the
//! fault soak.
//!
//! These programs are for development and tests; they are not shipped.

pub mod backend;
pub mod caller;
pub mod capacity;
pub mod capacity_tables;
mod capacity_world;
pub mod crest;
pub mod fabric;
pub mod fleet;
pub mod free_ports;
pub mod http;
pub mod platform;
pub mod proxy;
pub mod soak;
pub mod soak_check;
pub mod soak_plan;
pub mod spread;
pub mod tryout;
pub mod waiting;
