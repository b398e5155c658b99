//! Encoding and decoding of callers' and backend servers' packets in the format that
//! the settings choose.

use std::net::SocketAddrV4;

use chestnutlb_core::{FlowKey, TcpSegment};
use chestnutlb_platform::packet::{self as platform_packet, PacketSender};
use chestnutlb_wire::packet::write_reset;
use chestnutlb_wire::{PacketError, scan_segment};

use crate::settings::{CallerRoute, Dialect};

/// The packet format, and the route of packets to callers.
#[derive(Debug, Clone, Copy)]
pub struct PacketFormat {
    dialect: Dialect,
    callers: CallerRoute,
}

impl PacketFormat {
    /// Returns the packet format of a dialect.
    pub fn new(dialect: Dialect, callers: CallerRoute) -> Self {
        Self { dialect, callers }
    }

    /// Returns the address to which packets for the caller of a flow are sent.
    pub fn caller_target(&self, key: FlowKey) -> SocketAddrV4 {
        self.callers.target(key)
    }

    /// Parses a packet sent by a caller.
    pub fn scan_caller(&self, packet: &[u8]) -> Result<TcpSegment, PacketError> {
        match self.dialect {
            Dialect::Own => scan_segment(packet),
            Dialect::Platform => platform_packet::scan_segment(packet, PacketSender::Caller),
        }
    }

    /// Parses a packet sent by a backend server. The key of the result is that of the
    /// caller's flow.
    pub fn scan_backend(&self, packet: &[u8]) -> Result<TcpSegment, PacketError> {
        match self.dialect {
            Dialect::Own => scan_segment(packet).map(|segment| TcpSegment {
                key: FlowKey {
                    caller: segment.key.service,
                    service: segment.key.caller,
                },
                ..segment
            }),
            Dialect::Platform => platform_packet::scan_segment(packet, PacketSender::Backend),
        }
    }

    /// Returns whether the packet is a caller's packet that the backend server returned
    /// because it does not hold the flow.
    pub fn is_returned(&self, packet: &[u8]) -> bool {
        match self.dialect {
            Dialect::Own => chestnutlb_wire::packet::is_returned(packet),
            Dialect::Platform => platform_packet::is_returned(packet),
        }
    }

    /// Restores a returned packet to the form in which its caller sent it.
    pub fn clear_returned(&self, packet: &mut [u8]) {
        match self.dialect {
            Dialect::Own => chestnutlb_wire::packet::clear_returned(packet),
            Dialect::Platform => platform_packet::clear_returned(packet),
        }
    }

    /// Returns a reset in reply to a caller's packet.
    pub fn write_reset(&self, segment: &TcpSegment) -> Vec<u8> {
        match self.dialect {
            Dialect::Own => write_reset(segment),
            Dialect::Platform => platform_packet::write_reset(segment).to_vec(),
        }
    }
}
