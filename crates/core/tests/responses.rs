//! Responses that look like failures.

use std::net::SocketAddrV4;

use chestnutlb_core::responses::ResponseMonitor;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 20, 0, 1].into(), port)
}

#[test]
fn short_responses_after_long_ones_look_like_failures() {
    let mut monitor = ResponseMonitor::default();
    for _ in 0..100 {
        monitor.record_response(address(1), 1_200);
    }
    assert_eq!(monitor.failing_percent(), 0);
    for _ in 0..60 {
        monitor.record_response(address(1), 180);
    }
    assert!(
        monitor.failing_percent() > 95,
        "{}",
        monitor.failing_percent()
    );
    for _ in 0..60 {
        monitor.record_response(address(1), 1_150);
    }
    assert!(
        monitor.failing_percent() < 5,
        "the share falls after normal responses"
    );
}

#[test]
fn typically_short_responses_do_not_look_like_failures() {
    let mut monitor = ResponseMonitor::default();
    for round in 0..200_u16 {
        monitor.record_response(address(1), 1_000 + round % 200);
        monitor.record_response(address(2), 90 + round % 20);
    }
    assert_eq!(monitor.failing_percent(), 0);
}
