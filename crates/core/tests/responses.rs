//! Which answers look like failures.

use std::net::SocketAddrV4;

use chestnutlb_core::responses::ResponseMonitor;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 20, 0, 1].into(), port)
}

#[test]
fn short_answers_after_long_ones_look_like_failures() {
    let mut watch = ResponseMonitor::default();
    for _ in 0..100 {
        watch.record_response(address(1), 1_200);
    }
    assert_eq!(watch.failing_percent(), 0);
    for _ in 0..60 {
        watch.record_response(address(1), 180);
    }
    assert!(watch.failing_percent() > 95, "{}", watch.failing_percent());
    for _ in 0..60 {
        watch.record_response(address(1), 1_150);
    }
    assert!(watch.failing_percent() < 5, "it recovers");
}

#[test]
fn addresses_with_short_answers_are_no_failures() {
    let mut watch = ResponseMonitor::default();
    for turn in 0..200_u16 {
        watch.record_response(address(1), 1_000 + turn % 200);
        watch.record_response(address(2), 90 + turn % 20);
    }
    assert_eq!(watch.failing_percent(), 0);
}
