//! Reports of a backend server about itself, and whether it can have sent them.

use std::net::SocketAddrV4;

use compact_str::CompactString;
use quick_error::quick_error;

use crate::ids::{DatacenterName, ServiceName};

/// State that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts new flows.
    Ready,
    /// It is about to leave and accepts no new flows.
    Leaving,
}

/// A report of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Name of the backend server.
    pub name: CompactString,
    /// Start of the current epoch, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Sequence number of the report within the epoch.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub datacenter: DatacenterName,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Version of its software.
    pub software: CompactString,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// The reported state.
    pub state: BackendState,
    /// Remaining time for which it is slow, in milliseconds.
    pub cold_ms: u64,
}

quick_error! {
    /// A property of a report that the backend server beside this process does not have.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ForeignReport {
        /// It runs another service.
        Service(found: ServiceName) {
            display("service {} does not run here", found)
        }
        /// It runs in another data centre.
        Datacenter(found: DatacenterName) {
            display("{} is another data centre", found)
        }
        /// It has another address.
        Address(found: SocketAddrV4) {
            display("no backend server runs at {} here", found)
        }
    }
}

/// What is known of a backend server without its reports, from the settings of its side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendIdentity {
    /// Service that it runs.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub datacenter: DatacenterName,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
}

impl BackendIdentity {
    /// Returns an error for a report that this backend server can't have sent.
    pub fn check(&self, report: &BackendReport) -> Result<(), ForeignReport> {
        if report.service != self.service {
            return Err(ForeignReport::Service(report.service.clone()));
        }
        if report.datacenter != self.datacenter {
            return Err(ForeignReport::Datacenter(report.datacenter.clone()));
        }
        if report.address != self.address {
            return Err(ForeignReport::Address(report.address));
        }
        Ok(())
    }
}
