//! Stand-ins of the systems around chestnutlb, the tryout, the load tool and the
//! fault soak.
//! None of this is shipped.

pub mod backend;
pub mod caller;
pub mod capacity;
pub mod capacity_tables;
mod capacity_world;
pub mod crest;
pub mod fabric;
pub mod fleet;
pub mod free_ports;
pub mod platform;
pub mod proxy;
pub mod small_http;
pub mod soak;
pub mod soak_check;
pub mod soak_plan;
pub mod spread;
pub mod tryout;
pub mod waiting;
