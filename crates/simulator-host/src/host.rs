//! The instances of one process, and the batches that drive them.

use crate::decode::{self, Fields, Refusal};
use crate::message::{self, Message};
use kitepass_gateway_policy::{
    AttemptEnd, BackendEntry, Gateway, Host, IncomingRequest, QuotaDecision, QuotaRequest, UsageUpdate,
};
use kitepass_time::{Duration, Timestamp};
use std::collections::HashMap;
use std::fmt::Display;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

/// The lists of backends that events refer to are numbered from 0 up to this, exclusive.
const LISTS: usize = 16;

/// Why the wire cannot go on.
#[derive(Debug)]
pub enum Trouble {
    Input { line: u64, what: Refusal },
    Stream(io::Error),
}

impl Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Trouble::Input { line, what } => write!(f, "line {line}: {what}"),
            Trouble::Stream(error) => write!(f, "cannot go on: {error}"),
        }
    }
}

impl From<io::Error> for Trouble {
    fn from(error: io::Error) -> Self {
        Trouble::Stream(error)
    }
}

#[derive(Default)]
struct SimulatorHost {
    now: Timestamp,
    gateways: HashMap<String, Gateway>,
    lists: Vec<Vec<BackendEntry>>,
    /// The list being read and how many of its lines are still to come.
    pending: Option<(usize, usize)>,
}

/// Plays batches until the input ends. A reply is written only once its whole batch has been taken.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), Trouble> {
    let mut host = SimulatorHost { lists: vec![Vec::new(); LISTS], ..SimulatorHost::default() };
    let (mut line, mut number, mut inside) = (Vec::new(), 0_u64, false);
    let mut reply = Reply::default();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return if inside {
                Err(trouble(number, "expected EOB before the end of input"))
            } else {
                Ok(())
            };
        }
        number += 1;
        let text = std::str::from_utf8(&line).map_err(|_| trouble(number, "expected UTF-8"))?;
        let text = text.trim_end_matches(['\n', '\r']);
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        match (name, inside) {
            ("", _) => {}
            ("FRAME", false) => {
                let clock = Fields::read(rest).and_then(|fields| fields.moment("Wall"));
                host.now = clock.map_err(|what| trouble(number, &format!("FRAME {what}")))?;
                inside = true;
            }
            ("EOB", true) => {
                if host.pending.is_some() {
                    return Err(trouble(number, "EOB: expected an ITEM line"));
                }
                reply.text.extend_from_slice(b"READY\n");
                output.write_all(&reply.text)?;
                output.flush()?;
                reply.text.clear();
                inside = false;
            }
            (_, true) => {
                let taken = Fields::read(rest).and_then(|fields| host.take(name, &fields, &mut reply));
                taken.map_err(|what| trouble(number, &format!("{name} {what}")))?;
            }
            (_, false) => return Err(trouble(number, &format!("'{name}': expected FRAME"))),
        }
    }
}

fn trouble(line: u64, what: &str) -> Trouble {
    Trouble::Input { line, what: what.to_owned() }
}

impl SimulatorHost {
    fn take(&mut self, name: &str, fields: &Fields, reply: &mut Reply) -> Result<(), Refusal> {
        if let Some((list, left)) = self.pending {
            if name != "ITEM" {
                return Err(format!("in a list: expected {left} more ITEM lines"));
            }
            self.lists[list].push(decode::listed(fields)?);
            self.pending = Some((list, left - 1)).filter(|_| left > 1);
            return Ok(());
        }
        if name == "LEDGER" {
            let list = list_number(fields)?;
            let entries: usize = fields.whole("Entries")?;
            self.lists[list].clear();
            self.pending = Some((list, entries)).filter(|_| entries > 0);
            return Ok(());
        }
        let id = fields.text("GatewayId")?;
        if name == "OPEN_INSTANCE" {
            let seed = fields.whole::<i128>("RngSeed")? as u64;
            let config = Rc::new(decode::config(fields)?);
            self.gateways.insert(id.to_owned(), Gateway::open(config, seed, self.now));
            return Ok(());
        }
        let now = self.now;
        let Some(gateway) = self.gateways.get_mut(id) else {
            return Err(format!("GatewayId: expected an open instance, found '{id}'"));
        };
        reply.gateway.clear();
        reply.gateway.push_str(id);
        match name {
            "TEARDOWN" => drop(self.gateways.remove(id)),
            "TOPOLOGY" => {
                let whole = match fields.text("Kind")? {
                    "full" | "cached" => true,
                    "delta" => false,
                    "failed" => return Ok(()),
                    other => return Err(format!("Kind: expected a kind of list, found '{other}'")),
                };
                gateway.update_backends(whole, &self.lists[list_number(fields)?]);
            }
            "JOB_IN" => {
                let asked = IncomingRequest {
                    id: fields.text("Id")?,
                    tenant: fields.get("UserKey").unwrap_or_default(),
                    workload: fields.get("Type").unwrap_or_default(),
                    plan: fields.get("Terms").unwrap_or_default(),
                    deadline: fields.moment("ClientDeadline")?,
                    units: fields.number_or("CostUnits", 1.0)?,
                    gateways: fields.number_or("Width", 0.0)? as u32,
                    first_gateway: fields.number_or("FirstDoor", 0.0)? as u32,
                };
                gateway.request_arrived(now, &asked, reply);
            }
            "RESULT" => {
                let end = AttemptEnd {
                    request_id: fields.text("Id")?,
                    backend: fields.text("Backend")?,
                    outcome: decode::ending(fields)?,
                    is_final: fields.flag("Ended")?,
                    elapsed: fields.span_or_zero("Rtt")?,
                    actual_units: Some(fields.number_or("Cost", 0.0)?).filter(|units| *units > 0.0),
                };
                gateway.attempt_ended(now, &end, reply);
            }
            "CLIENT_LEFT" => gateway.client_disconnected(fields.text("Id")?),
            "LEDGER_REPLY" => {
                gateway.counter_answered(now, fields.text("TallyId")?, decode::counted(fields)?, reply)
            }
            "ALARM" => gateway.timer_fired(now, fields.text("Token")?, reply),
            // A peer is not trusted: what cannot be decoded is dropped.
            "MAIL" => {
                let peer = fields.whole("Src")?;
                match message::decode(fields.get("Bytes").unwrap_or_default()) {
                    Some(Message::UsageUpdate(news)) => gateway.usage_received(now, &news),
                    Some(Message::Question { number, offer }) => {
                        gateway.peer_asked(now, peer, number, &offer, reply)
                    }
                    Some(Message::Answer { number, verdict }) => {
                        gateway.peer_answered(now, number, verdict, reply)
                    }
                    None => {}
                }
            }
            // Nothing is decided on these; they are checked as far as they name an instance.
            "STREAMING" | "PROBE_DONE" => {}
            _ => return Err("expected an event".to_owned()),
        }
        Ok(())
    }
}

fn list_number(fields: &Fields) -> Result<usize, Refusal> {
    let number: usize = fields.whole("SetId")?;
    if number < LISTS {
        Ok(number)
    } else {
        Err(format!("SetId: expected 0 to {}, found {number}", LISTS - 1))
    }
}

/// The orders of a batch as lines of its reply.
#[derive(Default)]
struct Reply {
    gateway: String,
    text: Vec<u8>,
}

impl Reply {
    fn line(&mut self, action: &str, rest: std::fmt::Arguments) {
        // Writing to memory cannot fail.
        let _ = writeln!(self.text, "{action} GatewayId={}{rest}", self.gateway);
    }
}

struct Seconds(Duration);

impl Display for Seconds {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let micros = self.0.as_micros();
        let sign = if micros < 0 { "-" } else { "" };
        write!(f, "{sign}{}.{:06}", micros.unsigned_abs() / 1_000_000, micros.unsigned_abs() % 1_000_000)
    }
}

impl Host for Reply {
    fn send_attempt(&mut self, command: &str, backend: &str, allow: Duration) {
        let allow = Seconds(allow);
        self.line("CALL_OUT", format_args!(" Id={command} AllowFor={allow} Backend={backend}"));
    }
    fn reject(&mut self, command: &str, retry_in: Option<Duration>) {
        match retry_in {
            Some(away) => self.line("BUSY", format_args!(" Id={command} RetryIn={}", Seconds(away))),
            None => self.line("BUSY", format_args!(" Id={command}")),
        }
    }
    fn fail(&mut self, command: &str) {
        self.line("RESPOND_ERROR", format_args!(" Id={command}"));
    }
    fn add_to_counter(&mut self, name: &str, amount: f64, keep: Duration) {
        let keep = Seconds(keep);
        self.line("POST_AMOUNT", format_args!(" Lives={keep} Delta={amount} TallyId={name}"));
    }
    fn broadcast_usage(&mut self, news: &[UsageUpdate]) -> usize {
        let messages = message::encode(news);
        for bytes in &messages {
            self.line("WRITE_PEER", format_args!(" Target=-1 Bytes={bytes}"));
        }
        messages.len()
    }
    fn ask_peer(&mut self, peer: u32, question: u16, offer: &QuotaRequest) {
        self.line("WRITE_PEER", format_args!(" Target={peer} Bytes={}", message::question(question, offer)));
    }
    fn answer_peer(&mut self, peer: u32, question: u16, verdict: QuotaDecision) {
        self.line("WRITE_PEER", format_args!(" Target={peer} Bytes={}", message::answer(question, verdict)));
    }
    fn set_timer(&mut self, token: &str, after: Duration) {
        self.line("NOTIFY_ME", format_args!(" Token={token} In={}", Seconds(after)));
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

    fn play(more: &str) -> (Result<(), Trouble>, String) {
        let mut output = Vec::new();
        let done = run(format!("{START}{more}").as_bytes(), &mut output);
        (done, String::from_utf8(output).unwrap())
    }

    #[test]
    fn a_command_goes_out_and_its_leg_comes_back() {
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
    fn bad_input_names_line_and_field_and_leaves_no_half_reply() {
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
    fn a_killed_instance_starts_from_nothing() {
        let again = START.replace("FRAME Wall=5\n", "FRAME Wall=6\nTEARDOWN GatewayId=gateway_1\n");
        let late = "FRAME Wall=7\nRESULT GatewayId=gateway_1 Id=c1 N=0 Ending=served Rtt=1 Backend=b1\nEOB\n";
        let (done, output) = play(&format!("{again}{late}"));
        assert!(done.is_ok());
        assert_eq!(output, "READY\n".repeat(3));
    }
}
