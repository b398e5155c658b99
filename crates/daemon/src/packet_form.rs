//! The forms of packets that the daemon carries, chosen by the settings.

use std::net::SocketAddrV4;

use chestnutlb_core::{FlowKey, TcpSegment};
use chestnutlb_platform::packet::{self as platform_packet, PacketSender};
use chestnutlb_wire::packet::write_reset;
use chestnutlb_wire::{PacketError, scan_segment};

use crate::settings::{CallerPath, Dialect};

/// Form of packets and the way to callers.
#[derive(Debug, Clone, Copy)]
pub struct PacketForm {
    dialect: Dialect,
    callers: CallerPath,
}

impl PacketForm {
    /// The form that a dialect uses.
    pub fn new(dialect: Dialect, callers: CallerPath) -> Self {
        Self { dialect, callers }
    }

    /// Where packets to the caller of a flow go.
    pub fn caller_target(&self, key: FlowKey) -> SocketAddrV4 {
        self.callers.target(key)
    }

    /// Reads a caller's packet.
    pub fn scan_caller(&self, packet: &[u8]) -> Result<TcpSegment, PacketError> {
        match self.dialect {
            Dialect::Own => scan_segment(packet),
            Dialect::Platform => platform_packet::scan_segment(packet, PacketSender::Caller),
        }
    }

    /// Reads a packet that a backend server wrote.
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

    /// Whether a backend server returned this packet of a caller as unknown.
    pub fn is_returned(&self, packet: &[u8]) -> bool {
        match self.dialect {
            Dialect::Own => chestnutlb_wire::packet::is_returned(packet),
            Dialect::Platform => platform_packet::is_returned(packet),
        }
    }

    /// Makes a returned packet what its sender wrote.
    pub fn clear_returned(&self, packet: &mut [u8]) {
        match self.dialect {
            Dialect::Own => chestnutlb_wire::packet::clear_returned(packet),
            Dialect::Platform => platform_packet::clear_returned(packet),
        }
    }

    /// A reset that refuses a caller's packet.
    pub fn write_reset(&self, segment: &TcpSegment) -> Vec<u8> {
        match self.dialect {
            Dialect::Own => write_reset(segment),
            Dialect::Platform => platform_packet::write_reset(segment).to_vec(),
        }
    }
}
