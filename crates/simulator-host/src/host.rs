//! The gateway instances of one process, driven by the batches of the simulator's wire.
//!
//! The input is lines. `FRAME Wall=TIME` begins a batch and sets the clock, then come events, a line each, and `EOB`
//! ends the batch. The reply is the gateways' actions, a line each, and `READY`. The names of lines and fields are the
//! wire's own.

use crate::decode::{self, Fields, InvalidLine};
use crate::message::{self, Message};
use crate::reply::Reply;
use kitepass_gateway_policy::{AttemptEnd, BackendEntry, Gateway, IncomingRequest};
use kitepass_time::Timestamp;
use std::collections::HashMap;
use std::fmt::Display;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

/// How many lists of backends the wire has; events refer to them by numbers from 0.
const MAX_LISTS: usize = 16;

/// Why the program cannot go on.
#[derive(Debug)]
pub(crate) enum RunError {
    /// A line of the input is invalid.
    Input {
        /// Number of the line, from 1.
        line: u64,
        /// What is wrong with it.
        reason: String,
    },
    /// Input or output failed.
    Stream(io::Error),
}

impl Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RunError::Input { line, reason } => write!(f, "line {line}: {reason}"),
            RunError::Stream(error) => write!(f, "cannot go on: {error}"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<io::Error> for RunError {
    fn from(error: io::Error) -> Self {
        RunError::Stream(error)
    }
}

/// The error for a line of the input.
fn input_error(line: u64, reason: impl Into<String>) -> RunError {
    RunError::Input { line, reason: reason.into() }
}

/// Plays batches until the input ends. A reply is written only once its complete batch has been taken in.
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
                let taken = Fields::parse(rest).and_then(|fields| host.take_line(name, &fields, &mut reply));
                taken.map_err(|error| input_error(number, format!("{name} {error}")))?;
            }
            (_, false) => return Err(input_error(number, format!("'{name}': expected FRAME"))),
        }
    }
}

/// A list of backends of which lines are still to come.
struct OpenList {
    /// The list's number.
    number: usize,
    /// How many `ITEM` lines are still to come; at least 1.
    missing: usize,
}

/// The instances and lists of one process.
#[derive(Default)]
struct SimulatorHost {
    /// The clock of the present batch.
    now: Timestamp,
    /// The open instances by their ids.
    gateways: HashMap<String, Gateway>,
    /// Lists of backends, as `LEDGER` and `ITEM` lines have filled them.
    lists: Vec<Vec<BackendEntry>>,
    /// The list that is being read.
    open_list: Option<OpenList>,
}

impl SimulatorHost {
    /// Takes in one line of a batch.
    fn take_line(&mut self, name: &str, fields: &Fields, reply: &mut Reply) -> Result<(), InvalidLine> {
        if let Some(OpenList { number, missing }) = self.open_list {
            if name != "ITEM" {
                return Err(InvalidLine::IncompleteList { missing });
            }
            self.lists[number].push(decode::backend_entry(fields)?);
            self.open_list = Some(OpenList { number, missing: missing - 1 }).filter(|_| missing > 1);
            return Ok(());
        }
        if name == "LEDGER" {
            let number = list_number(fields)?;
            let missing: usize = fields.integer("Entries")?;
            self.lists[number].clear();
            self.open_list = Some(OpenList { number, missing }).filter(|_| missing > 0);
            return Ok(());
        }
        let id = fields.text("GatewayId")?;
        if name == "OPEN_INSTANCE" {
            let seed = fields.integer::<i128>("RngSeed")? as u64;
            let config = Rc::new(decode::config(fields)?);
            self.gateways.insert(id.to_owned(), Gateway::open(config, seed, self.now));
            return Ok(());
        }
        self.take_event(name, id, fields, reply)
    }

    /// Takes in one event of an open instance.
    fn take_event(
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
            "MAIL" => return take_message(gateway, now, fields, reply),
            // Nothing is decided on these; they are checked as far as they name an instance.
            "STREAMING" | "PROBE_DONE" => {}
            _ => return Err(InvalidLine::UnknownEvent),
        }
        Ok(())
    }
}

/// Passes on a list of backends, as far as the event brings one.
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
    gateway.update_backends(is_complete, &lists[list_number(fields)?]);
    Ok(())
}

/// The request of a `JOB_IN` line.
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

/// The end of an attempt, of a `RESULT` line.
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

/// Passes on a message of a peer. Peers are not trusted: a message that cannot be decoded is dropped.
fn take_message(
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

/// The number of the list that a line refers to.
fn list_number(fields: &Fields) -> Result<usize, InvalidLine> {
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

    fn play(more: &str) -> (Result<(), RunError>, String) {
        let mut output = Vec::new();
        let done = run(format!("{START}{more}").as_bytes(), &mut output);
        (done, String::from_utf8(output).unwrap())
    }

    #[test]
    fn a_request_is_attempted_until_attempts_run_out() {
        let job =
            "JOB_IN Width=1 CostUnits=1 Terms=p Type=w UserKey=k ClientDeadline=9 Id=c1 GatewayId=gateway_1";
        let (done, output) = play(&format!(
            "FRAME Wall=5.5\n{job}\nEOB\nFRAME Wall=6\nRESULT GatewayId=gateway_1 Id=c1 N=0 \
             Ending=turned_away Rtt=0.1 Backend=b1\nEOB\nFRAME Wall=7\nRESULT GatewayId=gateway_1 Id=c1 N=1 \
             Ending=turned_away Rtt=0.1 Backend=b1\n\
             RESULT GatewayId=gateway_1 Id=old N=0 Ending=served Rtt=1 Backend=b9\nEOB\n"
        ));
        assert!(done.is_ok());
        assert_eq!(output.matches("CALL_OUT GatewayId=gateway_1 Id=c1 AllowFor=").count(), 2);
        assert!(output.contains("BUSY GatewayId=gateway_1 Id=c1 RetryIn=0."), "{output}");
        assert_eq!(output.matches("READY\n").count(), 4);
    }

    #[test]
    fn invalid_input_names_line_and_field_and_leaves_no_partial_reply() {
        for (line, what) in [
            ("JOB_IN GatewayId=gateway_1 Id=x", "line 8: JOB_IN ClientDeadline: expected"),
            ("JOB_IN GatewayId=gateway_9 Id=x", "line 8: JOB_IN GatewayId: expected an open instance"),
            ("ALARM GatewayId=gateway_1", "line 8: ALARM Token: expected"),
            ("NOISE GatewayId=gateway_1", "line 8: NOISE expected an event"),
            ("LEDGER SetId=16 Entries=0", "line 8: LEDGER SetId: expected 0 to 15"),
            ("RESULT GatewayId=gateway_1 Id=x Backend=b Ending=odd", "line 8: RESULT Ending: expected"),
            ("ALARM loose", "line 8: ALARM 'loose': expected name=value"),
        ] {
            let (done, output) = play(&format!("FRAME Wall=6\n{line}\nEOB\n"));
            let message = done.expect_err(line).to_string();
            assert!(message.starts_with(what), "{message}");
            assert_eq!(output, "READY\n");
        }
        assert!(play("FRAME Wall=6\n").0.is_err(), "a batch cut short");
    }

    #[test]
    fn a_reopened_instance_has_no_state() {
        let again = START.replace("FRAME Wall=5\n", "FRAME Wall=6\nTEARDOWN GatewayId=gateway_1\n");
        let late = "FRAME Wall=7\nRESULT GatewayId=gateway_1 Id=c1 N=0 Ending=served Rtt=1 Backend=b1\nEOB\n";
        let (done, output) = play(&format!("{again}{late}"));
        assert!(done.is_ok());
        assert_eq!(output, "READY\n".repeat(3));
    }
}
