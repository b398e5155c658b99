//! The fault soak: a short seeded run, what its plans look like, and its proxy.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use chestnutlb_standin::free_ports::free_address;
use chestnutlb_standin::proxy::{LinkFault, LinkProxy};
use chestnutlb_standin::soak::{SoakSetup, run};
use chestnutlb_standin::soak_check::find_regressions;
use chestnutlb_standin::soak_plan::{SoakShape, draw_plan};
use chestnutlb_standin::tryout::program_folder;

const SHAPE: SoakShape = SoakShape {
    entries: 3,
    hosts: 2,
    fault_time: Duration::from_secs(6),
};

#[test]
fn a_short_soak_holds() {
    const SEED: u64 = 7;
    let setup = SoakSetup {
        binaries: program_folder().unwrap(),
        logs: common::folder("soak"),
        manifests: common::examples(),
        seed: SEED,
        shape: SHAPE,
    };
    let report = run(&setup).unwrap();
    assert!(report.holds(), "{report}");
}

// Seed 313: an entry VM that was killed wrote what it took before it wrote that it had
// started, which looked like a version that did not rise.
#[test]
fn the_first_word_of_a_process_is_that_it_started() {
    let fleet = common::start("first-words");
    let mut names = fleet.entries();
    names.extend(fleet.hosts());
    for name in names {
        let log = fleet.log(&name);
        let first = log.lines().next().unwrap_or_default();
        let first: serde_json::Value = serde_json::from_str(first).unwrap();
        assert_eq!(first["event"], "started", "{name}: {first}");
    }
}

#[test]
fn a_plan_follows_from_its_seed() {
    let lines: Vec<_> = draw_plan(7, SHAPE)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn all_faults_end_before_the_quiet_phase() {
    for seed in 0..500 {
        for planned in draw_plan(seed, SHAPE) {
            assert!(
                planned.at + planned.step.duration() < SHAPE.fault_time,
                "seed {seed}"
            );
        }
    }
}

// A server that answers each byte with the next one.
fn start_counter() -> SocketAddrV4 {
    let address = free_address().unwrap();
    let listener = TcpListener::bind(address).unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() {
                    if stream.write_all(&[byte[0] + 1]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn ask(stream: &mut TcpStream, number: u8) -> std::io::Result<u8> {
    stream.write_all(&[number])?;
    let mut answer = [0];
    stream.read_exact(&mut answer)?;
    Ok(answer[0])
}

#[test]
fn the_proxy_fails_connections_as_it_is_told() {
    let proxy = LinkProxy::start(free_address().unwrap(), start_counter()).unwrap();
    let connect = || {
        let stream = TcpStream::connect(proxy.address).unwrap();
        let patience = Duration::from_millis(500);
        stream.set_read_timeout(Some(patience)).unwrap();
        stream
    };
    let mut stream = connect();
    assert_eq!(ask(&mut stream, 1).unwrap(), 2);
    for fault in [LinkFault::OneWay, LinkFault::Silent] {
        proxy.set_fault(fault);
        let mut faulty = connect();
        assert!(ask(&mut faulty, 3).is_err(), "{fault}");
        proxy.set_fault(LinkFault::None);
        assert!(ask(&mut faulty, 4).is_err(), "{fault} lasts");
        assert_eq!(ask(&mut connect(), 5).unwrap(), 6, "new after {fault}");
    }
    let mut open = connect();
    assert_eq!(ask(&mut open, 1).unwrap(), 2);
    proxy.set_fault(LinkFault::Reset);
    assert!(ask(&mut open, 7).is_err());
    assert!(ask(&mut connect(), 8).is_err());
    proxy.set_fault(LinkFault::None);
    assert_eq!(ask(&mut connect(), 9).unwrap(), 10);
}

#[test]
fn a_version_that_falls_within_one_life_is_found() {
    let line = |version: u64| {
        format!(
            "{{\"event\":\"in force\",\"document\":\"manifest/dalbit\",\"version\":{version}}}\n"
        )
    };
    let started = "{\"part\":\"process\",\"event\":\"started\"}\n";
    let log = format!("{started}{}{}not json\n{}", line(4), line(9), line(7));
    assert_eq!(
        find_regressions("entry-1", &log),
        ["entry-1 went from version 9 of manifest/dalbit to 7"]
    );
    let restarted = format!("{started}{}{started}{}", line(9), line(7));
    assert!(find_regressions("entry-1", &restarted).is_empty());
}
