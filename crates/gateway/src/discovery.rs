//! Discovery: a watch on the list of backends, taken up again from the last version after every break.
//! Silence takes no backend away.

use crate::http::MessageReader;
use crate::poll::{self, ReadOutcome, ReadyEvent, Source};
use crate::runtime::{Floor, Phase, Timer};
use kitepass_gateway_policy::{BackendEntry, BackendStatus, Gateway};
use kitepass_time::{Duration, Timestamp};
use log::{debug, info, warn};
use rustix::fd::OwnedFd;
use serde_json::Value;
use std::net::SocketAddr;

/// An empty line comes at least this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
/// While discovery is away the log says so this often.
const AGAIN: Duration = Duration::from_secs(30);
/// The longest line of a watch.
const MOST_LINE: usize = 16 << 20;

struct Link {
    number: u32,
    socket: OwnedFd,
    connected: bool,
    heard: Timestamp,
    reader: MessageReader,
    input: Vec<u8>,
    lines: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

pub struct Watch {
    address: SocketAddr,
    index: u64,
    /// The newest is last. One at an address that was given up stays before it until the newest has spoken.
    links: Vec<Link>,
    begun: u32,
    /// When a watch stood last, and when it was last said in the log that none does.
    stood: Timestamp,
    told: Option<Timestamp>,
}

impl Watch {
    /// Takes the list that the gateway had last; what discovery has comes on top.
    pub fn new(address: SocketAddr, known: &Value, module: &mut Gateway, floor: &mut Floor) -> Watch {
        let (stood, told) = (floor.now(), None);
        let mut watch = Watch { address, index: 0, links: Vec::new(), begun: 0, stood, told };
        if !known.is_null() {
            watch.change(known, true, module, floor);
        }
        watch.open(floor);
        floor.wake_at(floor.now() + BEAT / 4, Timer::Watch);
        watch
    }

    /// Takes the watch up at another address, from the last version.
    pub fn move_to(&mut self, address: SocketAddr, floor: &mut Floor) {
        if address != self.address {
            self.address = address;
            self.links.truncate(1); // of several moves, only the last address is still wanted
            self.open(floor);
        }
    }

    fn open(&mut self, floor: &mut Floor) {
        self.begun = self.begun.wrapping_add(1);
        let number = self.begun;
        let source = Source::Watch(number);
        let opened = floor.poll.connect(&self.address, source);
        let (index, address) = (self.index, self.address);
        let output = format!(
            "GET /v1/servers?stream=1&index={index} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        self.links.extend(opened.map_err(|error| debug!("discovery: {error}")).ok().map(|socket| Link {
            number,
            socket,
            connected: false,
            heard: floor.now(),
            reader: MessageReader::default(),
            input: Vec::new(),
            lines: Vec::new(),
            output: output.into_bytes(),
            written: 0,
        }));
    }

    /// Looks after the watch from time to time: one that is lost or has fallen silent is taken up again.
    pub fn look_after(&mut self, floor: &mut Floor) {
        let now = floor.now();
        let comes_up = floor.carriage.connect_within;
        self.links.retain(|link| now - link.heard <= if link.connected { BEAT * 3 } else { comes_up });
        if self.links.last().is_none_or(|link| link.number != self.begun) {
            self.open(floor);
        }
        self.tell(now);
        floor.wake_at(now + BEAT / 4, Timer::Watch);
    }

    /// Says in the log that discovery is away, now and then, and that it is back. Danger: a gateway that came up
    /// without a list bounces all, and nothing would say why.
    fn tell(&mut self, now: Timestamp) {
        let address = self.address;
        if self.links.iter().any(|link| link.connected) {
            self.stood = now;
            if self.told.take().is_some() {
                info!("discovery at {address} answers again");
            }
        } else if now - self.stood >= BEAT && self.told.is_none_or(|told| now - told >= AGAIN) {
            self.told = Some(now);
            let past = (now - self.stood).secs();
            warn!("discovery at {address} has not answered for {past:.0} s; the list of backends stays as it was");
        }
    }

    pub fn ready(&mut self, ready: ReadyEvent, number: u32, module: &mut Gateway, floor: &mut Floor) {
        let Some(place) = self.links.iter().position(|link| link.number == number) else { return };
        let mut link = self.links.remove(place);
        match self.go_on(&mut link, ready, module, floor) {
            Ok(true) => self.links.splice(..place, [link]).for_each(drop),
            Ok(false) => self.links.insert(place, link),
            Err(why) => debug!("discovery: {why}"), // looked after in a moment
        }
    }

    /// Reads on; whether it has said anything.
    fn go_on(
        &mut self,
        link: &mut Link,
        ready: ReadyEvent,
        module: &mut Gateway,
        floor: &mut Floor,
    ) -> Result<bool, String> {
        if ready.write {
            if !link.connected {
                poll::made(&link.socket).map_err(|error| error.to_string())?;
                link.connected = true;
            }
            let written = poll::write(&link.socket, &link.output, &mut link.written);
            written.map_err(|error| error.to_string())?;
        }
        if !ready.read {
            return Ok(false);
        }
        let mut spoke = false;
        loop {
            let came = poll::read(&link.socket, &mut floor.scratch, &mut link.input, ready.ended);
            link.heard = floor.now();
            let whole = link.reader.stream(&mut link.input, &mut link.lines);
            let whole = whole.map_err(|fault| format!("{fault:?}"))?;
            if whole.is_some() && link.reader.stream_status(&link.input) != 200 {
                return Err(format!("status {}", link.reader.stream_status(&link.input)));
            }
            let mut taken = 0;
            while let Some(length) = memchr::memchr(b'\n', &link.lines[taken..]) {
                let line = taken..taken + length;
                taken = line.end + 1;
                self.line(link.lines[line].trim_ascii(), module, floor)?;
                spoke = true;
            }
            link.lines.drain(..taken);
            if link.lines.len() > MOST_LINE {
                return Err("a line too long".to_owned());
            }
            match came {
                Ok(ReadOutcome::Bytes) if whole != Some(true) => {}
                Ok(ReadOutcome::Nothing) if whole != Some(true) => return Ok(spoke),
                Ok(_) => return Err("the watch has ended".to_owned()),
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    fn line(&mut self, line: &[u8], module: &mut Gateway, floor: &mut Floor) -> Result<(), String> {
        if line.is_empty() {
            return Ok(());
        }
        let change: Value = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        self.change(&change, false, module, floor);
        if floor.phase == Phase::Starting {
            floor.phase = Phase::Serving;
        }
        Ok(())
    }

    fn change(&mut self, change: &Value, known: bool, module: &mut Gateway, floor: &mut Floor) {
        let Some(entries) = change["instances"].as_array() else {
            return warn!("discovery: instances: expected an array");
        };
        self.index = change["generation"].as_u64().unwrap_or(self.index);
        let whole = known || change["reset"].as_bool().unwrap_or(false);
        let mut lines = Vec::with_capacity(entries.len());
        for entry in entries {
            match listed(entry) {
                Ok((listed, address)) => {
                    floor.list_backend(&listed.id, address, listed.status);
                    lines.push(listed);
                }
                Err(wrong) => warn!("discovery: {wrong}"),
            }
        }
        if whole {
            let ids: std::collections::BTreeSet<&str> = lines.iter().map(|line| line.id.as_str()).collect();
            floor.keep_backends(|id| ids.contains(id));
        }
        module.update_backends(whole, &lines);
    }
}

fn listed(entry: &Value) -> Result<(BackendEntry, Option<SocketAddr>), String> {
    let id = entry["instanceId"].as_str().filter(|id| !id.is_empty()).ok_or("instanceId: expected an id")?;
    let standing = match entry["lifecycle"].as_str() {
        Some("ready") => BackendStatus::Live,
        Some("draining") => BackendStatus::Draining,
        Some("gone") => BackendStatus::Removed,
        other => return Err(format!("{id}: lifecycle: expected a state, found {other:?}")),
    };
    let address = entry["hostPort"].as_str().and_then(|address| address.parse().ok());
    if address.is_none() && standing == BackendStatus::Live {
        warn!("discovery: {id}: hostPort: expected address and port, found {}", entry["hostPort"]);
    }
    let started = entry["startedAtMs"].as_f64().filter(|millis| *millis > 0.0);
    let listed = BackendEntry {
        id: id.to_owned(),
        zone: entry["zone"].as_str().unwrap_or_default().to_owned(),
        cell: entry["cell"].as_i64().unwrap_or_default(),
        status: standing,
        weight: entry["weight"].as_f64().filter(|size| *size > 0.0 && size.is_finite()).unwrap_or(1.0),
        started: started.map(|millis| Timestamp::from_micros((millis * 1000.0) as i64)),
    };
    Ok((listed, address))
}
