//! Ports for processes that are about to be started, while others start.

use std::net::{TcpListener, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use chestnutlb_standin::free_ports::{free_address, lock_ports};
use chestnutlb_standin::tryout::program_folder;

const PORTS: usize = 10_000;
const STARTING_THREADS: usize = 2;

// Starts a program that ends at once.
fn start_program() {
    let program = program_folder().unwrap().join("chestnutlbd");
    let mut command = Command::new(program);
    command.arg("--help").stdin(Stdio::null());
    command.stdout(Stdio::null()).stderr(Stdio::null());
    let child = {
        let _guard = lock_ports();
        command.spawn()
    };
    child.unwrap().wait().unwrap();
}

// Guards against a process that can't bind the port it was assigned: one that is started meanwhile
// without the lock inherits the socket by which the port was tried.
#[test]
fn port_is_free_for_its_process_while_others_are_started_under_the_lock() {
    let has_ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !has_ended.load(Ordering::Relaxed) {
                    start_program();
                }
            });
        }
        let is_free = |_: &usize| {
            let address = free_address().unwrap();
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        let free = (0..PORTS).filter(is_free).count();
        has_ended.store(true, Ordering::Relaxed);
        assert_eq!(free, PORTS);
    });
}
