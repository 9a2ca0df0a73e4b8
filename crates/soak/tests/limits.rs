//! Conditions that prevent or end a soak test: an address in use, a full disk.

use kitepass_soak::error::Error;
use kitepass_soak::history::{Event, Recorder};
use kitepass_soak::topology::{Topology, MIN_PROCESSES};
use std::net::TcpListener;
use std::path::Path;

#[test]
fn an_address_in_use_is_reported() {
    let topology = Topology::new(MIN_PROCESSES, std::env::temp_dir().join("soak-test-addresses"));
    assert!(topology.check_addresses().is_ok());
    let address = topology.nodes[0].operator_address();
    let _listener = TcpListener::bind(address).expect("it was free");
    let error = topology.check_addresses().expect_err("it is in use");
    assert!(error.to_string().contains(&address.to_string()), "{error}");
}

#[test]
fn a_full_disk_is_an_error() {
    let path = Path::new("/dev/full");
    let recorder = Recorder::create(path).expect("the device opens, but accepts no bytes");
    recorder.record(Event::Calm);
    assert!(matches!(recorder.flush(path), Err(Error::File { .. })));
    assert!(recorder.flush(path).is_err(), "the records are still buffered");
}
