//! Runs the gateway instances of one process, driven by batches of events from the simulator.
//!
//! The input consists of lines: `FRAME Wall=TIME` starts a batch and sets the clock, each event is a line, and `EOB`
//! ends the batch. The reply has one line for each of the gateways' actions, followed by `READY`. The protocol defines
//! the names of lines and fields.

use crate::decode::{self, Fields, InvalidLine};
use crate::message::{self, Message};
use crate::reply::Reply;
use kitepass_gateway_policy::{AttemptEnd, BackendEntry, Gateway, IncomingRequest};
use kitepass_time::Timestamp;
use std::collections::HashMap;
use std::fmt::Display;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

/// Number of backend lists in the protocol; events refer to them by index.
const MAX_LISTS: usize = 16;

/// An error that ends the program.
#[derive(Debug)]
pub(crate) enum RunError {
    /// A line of the input is invalid.
    Input {
        /// Number of the line, from 1.
        line: u64,
        /// What is invalid, and where in the line.
        reason: String,
    },
    /// Reading the input or writing the output failed.
    Stream(io::Error),
}

impl Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RunError::Input { line, reason } => write!(f, "line {line}: {reason}"),
            RunError::Stream(error) => write!(f, "I/O error: {error}"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<io::Error> for RunError {
    fn from(error: io::Error) -> Self {
        RunError::Stream(error)
    }
}

/// Creates the error for an invalid input line.
fn input_error(line: u64, reason: impl Into<String>) -> RunError {
    RunError::Input { line, reason: reason.into() }
}

/// Processes batches until the input ends. A reply is written only after its batch has been processed completely.
///
/// # Errors
///
/// If a line is invalid, the input ends within a batch, or reading or writing fails.
pub(crate) fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), RunError> {
    let mut host = SimulatorHost { lists: vec![Vec::new(); MAX_LISTS], ..SimulatorHost::default() };
    let (mut line, mut number, mut in_batch) = (Vec::new(), 0_u64, false);
    let mut reply = Reply::default();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return if in_batch {
                Err(input_error(number, "expected EOB before the end of input"))
            } else {
                Ok(())
            };
        }
        number += 1;
        let text = std::str::from_utf8(&line).map_err(|_| input_error(number, "expected UTF-8"))?;
        let text = text.trim_end_matches(['\n', '\r']);
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        match (name, in_batch) {
            ("", _) => {}
            ("FRAME", false) => {
                let clock = Fields::parse(rest).and_then(|fields| fields.timestamp("Wall"));
                host.now = clock.map_err(|error| input_error(number, format!("FRAME {error}")))?;
                in_batch = true;
            }
            ("EOB", true) => {
                if host.open_list.is_some() {
                    return Err(input_error(number, "EOB: expected an ITEM line"));
                }
                reply.flush_batch(&mut output)?;
                in_batch = false;
            }
            (_, true) => {
                let processed =
                    Fields::parse(rest).and_then(|fields| host.process_line(name, &fields, &mut reply));
                processed.map_err(|error| input_error(number, format!("{name} {error}")))?;
            }
            (_, false) => return Err(input_error(number, format!("'{name}': expected FRAME"))),
        }
    }
}

/// A backend list whose `ITEM` lines are still being read.
struct OpenList {
    /// Index of the list.
    index: usize,
    /// Number of remaining `ITEM` lines; at least 1.
    missing: usize,
}

/// The gateway instances and backend lists of the process.
#[derive(Default)]
struct SimulatorHost {
    /// The time of the current batch.
    now: Timestamp,
    /// The open gateway instances by id.
    gateways: HashMap<String, Gateway>,
    /// The backend lists, as set by `LEDGER` and `ITEM` lines.
    lists: Vec<Vec<BackendEntry>>,
    /// The list that is currently being read.
    open_list: Option<OpenList>,
}

impl SimulatorHost {
    /// Processes one line of a batch.
    fn process_line(&mut self, name: &str, fields: &Fields, reply: &mut Reply) -> Result<(), InvalidLine> {
        if let Some(OpenList { index, missing }) = self.open_list {
            if name != "ITEM" {
                return Err(InvalidLine::IncompleteList { missing });
            }
            self.lists[index].push(decode::backend_entry(fields)?);
            self.open_list = Some(OpenList { index, missing: missing - 1 }).filter(|_| missing > 1);
            return Ok(());
        }
        if name == "LEDGER" {
            let index = list_index(fields)?;
            let missing: usize = fields.integer("Entries")?;
            self.lists[index].clear();
            self.open_list = Some(OpenList { index, missing }).filter(|_| missing > 0);
            return Ok(());
        }
        let id = fields.text("GatewayId")?;
        if name == "OPEN_INSTANCE" {
            let seed = fields.integer::<i128>("RngSeed")? as u64;
            let config = Rc::new(decode::config(fields)?);
            self.gateways.insert(id.to_owned(), Gateway::open(config, seed, self.now));
            return Ok(());
        }
        self.process_event(name, id, fields, reply)
    }

    /// Processes one event for an open instance.
    fn process_event(
        &mut self,
        name: &str,
        id: &str,
        fields: &Fields,
        reply: &mut Reply,
    ) -> Result<(), InvalidLine> {
        let now = self.now;
        let Some(gateway) = self.gateways.get_mut(id) else {
            let found = format!("'{id}'");
            return Err(InvalidLine::field("GatewayId", "an open instance", found));
        };
        reply.set_gateway(id);
        match name {
            "TEARDOWN" => drop(self.gateways.remove(id)),
            "TOPOLOGY" => return update_backends(gateway, fields, &self.lists),
            "JOB_IN" => gateway.request_arrived(now, &incoming_request(fields)?, reply),
            "RESULT" => gateway.attempt_ended(now, &attempt_end(fields)?, reply),
            "CLIENT_LEFT" => gateway.client_disconnected(fields.text("Id")?),
            "LEDGER_REPLY" => {
                gateway.counter_answered(now, fields.text("TallyId")?, decode::reading(fields)?, reply)
            }
            "ALARM" => gateway.timer_fired(now, fields.text("Token")?, reply),
            "MAIL" => return process_message(gateway, now, fields, reply),
            // Ignored, apart from the check that the instance is open.
            "STREAMING" | "PROBE_DONE" => {}
            _ => return Err(InvalidLine::UnknownEvent),
        }
        Ok(())
    }
}

/// Passes a backend list to the gateway, unless the event reports a failed lookup.
fn update_backends(
    gateway: &mut Gateway,
    fields: &Fields,
    lists: &[Vec<BackendEntry>],
) -> Result<(), InvalidLine> {
    let is_complete = match fields.text("Kind")? {
        "full" | "cached" => true,
        "delta" => false,
        "failed" => return Ok(()),
        other => return Err(InvalidLine::field("Kind", "a kind of list", format!("'{other}'"))),
    };
    gateway.update_backends(is_complete, &lists[list_index(fields)?]);
    Ok(())
}

/// Decodes the request of a `JOB_IN` line.
fn incoming_request<'a>(fields: &Fields<'a>) -> Result<IncomingRequest<'a>, InvalidLine> {
    Ok(IncomingRequest {
        id: fields.text("Id")?,
        tenant: fields.get("UserKey").unwrap_or_default(),
        workload: fields.get("Type").unwrap_or_default(),
        plan: fields.get("Terms").unwrap_or_default(),
        deadline: fields.timestamp("ClientDeadline")?,
        units: fields.number_or("CostUnits", 1.0)?,
        gateways: fields.number_or("Width", 0.0)? as u32,
        first_gateway: fields.number_or("FirstDoor", 0.0)? as u32,
    })
}

/// Decodes the end of an attempt from a `RESULT` line.
fn attempt_end<'a>(fields: &Fields<'a>) -> Result<AttemptEnd<'a>, InvalidLine> {
    Ok(AttemptEnd {
        request_id: fields.text("Id")?,
        backend: fields.text("Backend")?,
        outcome: decode::attempt_outcome(fields)?,
        is_final: fields.flag("Ended")?,
        elapsed: fields.duration_or_zero("Rtt")?,
        actual_units: Some(fields.number_or("Cost", 0.0)?).filter(|units| *units > 0.0),
    })
}

/// Passes a peer's message to the gateway. Peers are not trusted: a message that cannot be decoded is dropped.
fn process_message(
    gateway: &mut Gateway,
    now: Timestamp,
    fields: &Fields,
    reply: &mut Reply,
) -> Result<(), InvalidLine> {
    let peer = fields.integer("Src")?;
    match message::decode(fields.get("Bytes").unwrap_or_default()) {
        Some(Message::UsageUpdate(updates)) => gateway.usage_received(now, &updates),
        Some(Message::Question { question_id, quota }) => {
            gateway.peer_asked(now, peer, question_id, &quota, reply)
        }
        Some(Message::Answer { question_id, decision }) => {
            gateway.peer_answered(now, question_id, decision, reply)
        }
        None => {}
    }
    Ok(())
}

/// Decodes the index of the list that a line refers to.
fn list_index(fields: &Fields) -> Result<usize, InvalidLine> {
    let number: usize = fields.integer("SetId")?;
    if number < MAX_LISTS {
        Ok(number)
    } else {
        let expected = format!("0 to {}", MAX_LISTS - 1);
        Err(InvalidLine::field("SetId", expected, number.to_string()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: &str = "FRAME Wall=5\nLEDGER SetId=3 Entries=1\nITEM Status=live Backend=b1 Extra=1\n\
        OPEN_INSTANCE GatewayId=gateway_1 RngSeed=7 Options={\"Caps\":{\"TryLimit\":2,\"RetryAfter\":true,\
        \"MaxRetryAfter\":0.5},\"Classes\":[{\"Name\":\"w\",\"Effect\":\"retryable\",\"Objective\":2}],\
        \"Plans\":[{\"Name\":\"p\",\"Refill\":5,\"StoreSize\":9}]}\n\
        TOPOLOGY GatewayId=gateway_1 Kind=cached Index=1 SetId=3\nEOB\n";

    fn run_after_start(more: &str) -> (Result<(), RunError>, String) {
        let mut output = Vec::new();
        let result = run(format!("{START}{more}").as_bytes(), &mut output);
        (result, String::from_utf8(output).unwrap())
    }

    #[test]
    fn a_request_is_retried_up_to_the_attempt_limit() {
        let job =
            "JOB_IN Width=1 CostUnits=1 Terms=p Type=w UserKey=k ClientDeadline=9 Id=c1 GatewayId=gateway_1";
        let (result, output) = run_after_start(&format!(
            "FRAME Wall=5.5\n{job}\nEOB\nFRAME Wall=6\nRESULT GatewayId=gateway_1 Id=c1 N=0 \
             Ending=turned_away Rtt=0.1 Backend=b1\nEOB\nFRAME Wall=7\nRESULT GatewayId=gateway_1 Id=c1 N=1 \
             Ending=turned_away Rtt=0.1 Backend=b1\n\
             RESULT GatewayId=gateway_1 Id=old N=0 Ending=served Rtt=1 Backend=b9\nEOB\n"
        ));
        assert!(result.is_ok());
        assert_eq!(output.matches("CALL_OUT GatewayId=gateway_1 Id=c1 AllowFor=").count(), 2);
        assert!(output.contains("BUSY GatewayId=gateway_1 Id=c1 RetryIn=0."), "{output}");
        assert_eq!(output.matches("READY\n").count(), 4);
    }

    #[test]
    fn errors_name_line_and_field_and_leave_no_partial_reply() {
        for (line, expected) in [
            ("JOB_IN GatewayId=gateway_1 Id=x", "line 8: JOB_IN ClientDeadline: expected"),
            ("JOB_IN GatewayId=gateway_9 Id=x", "line 8: JOB_IN GatewayId: expected an open instance"),
            ("ALARM GatewayId=gateway_1", "line 8: ALARM Token: expected"),
            ("NOISE GatewayId=gateway_1", "line 8: NOISE expected an event"),
            ("LEDGER SetId=16 Entries=0", "line 8: LEDGER SetId: expected 0 to 15"),
            ("RESULT GatewayId=gateway_1 Id=x Backend=b Ending=odd", "line 8: RESULT Ending: expected"),
            ("ALARM loose", "line 8: ALARM 'loose': expected name=value"),
        ] {
            let (result, output) = run_after_start(&format!("FRAME Wall=6\n{line}\nEOB\n"));
            let message = result.expect_err(line).to_string();
            assert!(message.starts_with(expected), "{message}");
            assert_eq!(output, "READY\n");
        }
        assert!(run_after_start("FRAME Wall=6\n").0.is_err(), "the input ends within a batch");
    }

    #[test]
    fn a_reopened_instance_starts_without_state() {
        let again = START.replace("FRAME Wall=5\n", "FRAME Wall=6\nTEARDOWN GatewayId=gateway_1\n");
        let late = "FRAME Wall=7\nRESULT GatewayId=gateway_1 Id=c1 N=0 Ending=served Rtt=1 Backend=b1\nEOB\n";
        let (result, output) = run_after_start(&format!("{again}{late}"));
        assert!(result.is_ok());
        assert_eq!(output, "READY\n".repeat(3));
    }
}
