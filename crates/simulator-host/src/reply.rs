//! Writes the gateways' actions as lines of the reply to a batch.

use crate::message;
use kitepass_gateway_policy::{Host, QuotaDecision, QuotaRequest, UsageUpdate};
use kitepass_time::Duration;
use std::fmt::Display;
use std::io::{self, Write};

/// The reply to the current batch. Implements [`Host`] for all gateways by adding a line per action.
#[derive(Default)]
pub(crate) struct Reply {
    /// Id of the gateway whose actions are being added.
    gateway: String,
    /// The lines written so far.
    text: Vec<u8>,
}

impl Reply {
    /// Sets the gateway to which the following actions belong.
    pub(crate) fn set_gateway(&mut self, id: &str) {
        self.gateway.clear();
        self.gateway.push_str(id);
    }

    /// Ends the batch: writes the reply to `output` and clears it for the next batch.
    ///
    /// # Errors
    ///
    /// If writing fails.
    pub(crate) fn flush_batch(&mut self, output: &mut impl Write) -> io::Result<()> {
        self.text.extend_from_slice(b"READY\n");
        output.write_all(&self.text)?;
        output.flush()?;
        self.text.clear();
        Ok(())
    }

    /// Adds a line for one action.
    fn line(&mut self, action: &str, rest: std::fmt::Arguments) {
        // Writing to memory cannot fail.
        let _ = writeln!(self.text, "{action} GatewayId={}{rest}", self.gateway);
    }
}

/// Formats a duration in decimal seconds, as the protocol requires.
struct Seconds(Duration);

impl Display for Seconds {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let micros = self.0.as_micros();
        let sign = if micros < 0 { "-" } else { "" };
        write!(f, "{sign}{}.{:06}", micros.unsigned_abs() / 1_000_000, micros.unsigned_abs() % 1_000_000)
    }
}

impl Host for Reply {
    fn send_attempt(&mut self, request_id: &str, backend: &str, timeout: Duration) {
        let timeout = Seconds(timeout);
        self.line("CALL_OUT", format_args!(" Id={request_id} AllowFor={timeout} Backend={backend}"));
    }

    fn reject(&mut self, request_id: &str, retry_after: Option<Duration>) {
        match retry_after {
            Some(delay) => self.line("BUSY", format_args!(" Id={request_id} RetryIn={}", Seconds(delay))),
            None => self.line("BUSY", format_args!(" Id={request_id}")),
        }
    }

    fn fail(&mut self, request_id: &str) {
        self.line("RESPOND_ERROR", format_args!(" Id={request_id}"));
    }

    fn add_to_counter(&mut self, name: &str, amount: f64, ttl: Duration) {
        let ttl = Seconds(ttl);
        self.line("POST_AMOUNT", format_args!(" Lives={ttl} Delta={amount} TallyId={name}"));
    }

    fn broadcast_usage(&mut self, updates: &[UsageUpdate]) -> usize {
        let messages = message::encode_updates(updates);
        for bytes in &messages {
            self.line("WRITE_PEER", format_args!(" Target=-1 Bytes={bytes}"));
        }
        messages.len()
    }

    fn ask_peer(&mut self, peer: u32, question_id: u16, quota: &QuotaRequest) {
        self.line(
            "WRITE_PEER",
            format_args!(" Target={peer} Bytes={}", message::encode_question(question_id, quota)),
        );
    }

    fn answer_peer(&mut self, peer: u32, question_id: u16, decision: QuotaDecision) {
        self.line(
            "WRITE_PEER",
            format_args!(" Target={peer} Bytes={}", message::encode_answer(question_id, decision)),
        );
    }

    fn set_timer(&mut self, token: &str, after: Duration) {
        self.line("NOTIFY_ME", format_args!(" Token={token} In={}", Seconds(after)));
    }
}
