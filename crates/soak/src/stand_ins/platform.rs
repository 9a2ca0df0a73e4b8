//! The platform API: `GET /backends` lists all backends on one page. The path of a request is not checked.

use super::backends::Backends;
use super::StopFlag;
use crate::error::{Error, ListenSnafu};
use crate::http_stream::HttpStream;
use crate::topology::ZONES;
use kitepass_net::http::MessageKind;
use serde_json::{json, Value};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves the list in background threads until `stop` is set.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr, backends: Arc<Backends>, stop: StopFlag) -> Result<(), Error> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener.set_nonblocking(true).context(ListenSnafu { address })?;
    std::thread::spawn(move || {
        while !stop.is_stopped() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let backends = backends.clone();
            std::thread::spawn(move || serve_connection(HttpStream::new(stream), &backends));
        }
    });
    Ok(())
}

fn serve_connection(mut stream: HttpStream, backends: &Backends) {
    while stream.read_message(MessageKind::Request, IDLE_TIMEOUT).is_ok() {
        let body = list(backends).to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.send([head.as_bytes(), body.as_bytes()].concat().as_slice()).is_err() {
            return;
        }
    }
}

fn list(backends: &Backends) -> Value {
    let mut by_zone: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for backend in backends.listed() {
        let zone = ZONES[backend.zone];
        by_zone.entry(zone).or_default().push(json!({
            "call-sign": backend.id, "line": backend.service, "address": backend.address.to_string(),
            "district": zone, "edition": "v1", "berths": super::backends::MAX_CONCURRENT_REQUESTS, "standing": "open",
            "cold-left-ms": 0,
        }));
    }
    json!({ "backends": by_zone, "next-token": null })
}
