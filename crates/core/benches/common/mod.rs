//! What the benches of this crate share.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use chestnutlb_core::manifest::{HostLimits, ServiceTiming};
use chestnutlb_core::{ByteCount, PercentShare, RequestClass, RouteRule, ServiceKind, ServiceSpec};

/// Returns the address that is `number` after the IPv4 address `base`.
pub fn address(base: u32, number: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(base + number), port)
}

/// Returns the address of a service.
pub fn service_address(service: u32) -> SocketAddrV4 {
    address(0x0a14_0000, service, 7000)
}

/// Returns a service of this kind.
pub fn spec(service: u32, kind: ServiceKind) -> ServiceSpec {
    ServiceSpec {
        id: format!("firm/service-{service}").parse().unwrap(),
        kind,
        address: service_address(service),
        aliases: Vec::new(),
        datacenters: Vec::new(),
        limits: HostLimits {
            slots: 3,
            queue: 64,
            flows: 2000,
            head: ByteCount(16 << 10),
            body: ByteCount(1 << 20),
            cold: None,
            learns_capacity: false,
        },
        timing: ServiceTiming {
            drain_grace: Duration::ZERO,
            warm_up: Duration::ZERO,
            receive: Duration::ZERO,
        },
        eject_limit: PercentShare::new(50).unwrap(),
        rules: Vec::new(),
        fallback: RouteRule {
            method: None,
            path_prefix: "/".into(),
            class: RequestClass::Short,
            repeatable: false,
            deadline: Duration::from_secs(1),
        },
    }
}
