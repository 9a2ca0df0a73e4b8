//! Messages between gateways: batches of usage updates, questions to controllers, and their answers. A message is
//! base64-encoded bytes; the first byte is the message type, and numbers are little-endian.

use base64::prelude::{Engine as _, BASE64_STANDARD as BASE64};
use kitepass_gateway_policy::{QuotaDecision, QuotaRequest, Usage, UsageUpdate};

/// Maximum message length in bytes before base64 encoding, a limit of the simulator protocol.
const MAX_MESSAGE_BYTES: usize = 256;
/// Questions encode units as a two-byte fixed-point number: a multiple of the reciprocal of this.
const UNITS_SCALE: f64 = 64.0;
/// Flag in the length byte of a tenant's id: the id is packed as two hexadecimal digits per byte.
const HEX_FLAG: u8 = 0x80;

/// A decoded message.
#[derive(Debug, PartialEq)]
pub(crate) enum Message {
    /// Usage of one or more tenants at the sender.
    UsageUpdate(Vec<UsageUpdate>),
    /// Asks a controller for a decision.
    Question {
        /// Chosen by the sender and repeated in the answer.
        question_id: u16,
        /// The quota that the request needs.
        quota: QuotaRequest,
    },
    /// A controller's decision.
    Answer {
        /// Id of the question.
        question_id: u16,
        /// The decision; its ratio is rounded to a multiple of 1/255.
        decision: QuotaDecision,
    },
}

// Message types.
const USAGE_UPDATE: u8 = 0;
const QUESTION: u8 = 1;
const WITHIN_QUOTA: u8 = 2;
const BEYOND_QUOTA: u8 = 3;

/// Encodes a question to a controller.
pub(crate) fn encode_question(question_id: u16, quota: &QuotaRequest) -> String {
    let mut bytes = vec![QUESTION, quota.plan as u8];
    for part in [question_id, quota.gateways as u16, (quota.units * UNITS_SCALE).round() as u16] {
        bytes.extend_from_slice(&part.to_le_bytes());
    }
    encode_tenant(&mut bytes, &quota.tenant);
    BASE64.encode(&bytes)
}

/// Encodes a controller's answer.
pub(crate) fn encode_answer(question_id: u16, decision: QuotaDecision) -> String {
    let [low, high] = question_id.to_le_bytes();
    let ratio = (decision.ratio * f64::from(u8::MAX)).round() as u8;
    BASE64.encode([if decision.exceeds { BEYOND_QUOTA } else { WITHIN_QUOTA }, low, high, ratio])
}

/// Appends a tenant's id, preceded by its length byte.
fn encode_tenant(bytes: &mut Vec<u8>, tenant: &str) {
    let (packed, flag) = match pack_hex(tenant) {
        Some(packed) => (packed, HEX_FLAG),
        None => (tenant.as_bytes().to_vec(), 0),
    };
    // The protocol cannot deliver an id too long for the length byte; such an id is encoded as empty.
    let length = if packed.len() < usize::from(HEX_FLAG) { packed.len() } else { 0 };
    bytes.push(length as u8 | flag);
    bytes.extend_from_slice(&packed[..length]);
}

/// Encodes usage updates into as few messages as possible.
pub(crate) fn encode_updates(updates: &[UsageUpdate]) -> Vec<String> {
    let mut messages = Vec::new();
    let mut bytes = vec![USAGE_UPDATE];
    for update in updates {
        let [a, b, c, d] = update.tenant_hash.to_le_bytes();
        let [offered, forwarded] =
            [update.usage.offered, update.usage.forwarded].map(|units| units.round() as u8);
        let mut next = vec![a, b, c, d, offered, forwarded];
        if bytes.len() + next.len() > MAX_MESSAGE_BYTES {
            messages.push(BASE64.encode(&bytes));
            bytes.truncate(1);
        }
        bytes.append(&mut next);
    }
    if bytes.len() > 1 {
        messages.push(BASE64.encode(&bytes));
    }
    messages
}

/// Decodes a message; `None` if it is invalid.
pub(crate) fn decode(text: &str) -> Option<Message> {
    let bytes = BASE64.decode(text).ok()?;
    Some(match *bytes.as_slice() {
        [USAGE_UPDATE, ref rest @ ..] => {
            let update = |bytes: &[u8]| UsageUpdate {
                tenant_hash: u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]),
                usage: Usage { offered: bytes[4].into(), forwarded: bytes[5].into() },
            };
            Message::UsageUpdate(rest.chunks_exact(6).map(update).collect())
        }
        [QUESTION, plan, a, b, c, d, e, f, ref rest @ ..] => {
            let [question_id, gateways, units] = [[a, b], [c, d], [e, f]].map(u16::from_le_bytes);
            let tenant = decode_tenant(rest)?;
            let (plan, gateways, units) = (plan.into(), gateways.into(), f64::from(units) / UNITS_SCALE);
            Message::Question { question_id, quota: QuotaRequest { tenant, plan, gateways, units } }
        }
        [kind @ (WITHIN_QUOTA | BEYOND_QUOTA), a, b, ratio] => {
            let decision =
                QuotaDecision { exceeds: kind == BEYOND_QUOTA, ratio: f64::from(ratio) / f64::from(u8::MAX) };
            Message::Answer { question_id: u16::from_le_bytes([a, b]), decision }
        }
        _ => return None,
    })
}

/// Decodes a tenant's id, preceded by its length byte.
fn decode_tenant(bytes: &[u8]) -> Option<String> {
    let (head, after) = bytes.split_first()?;
    let length = usize::from(head & !HEX_FLAG);
    if length == 0 || after.len() < length {
        return None;
    }
    let id = &after[..length];
    if head & HEX_FLAG != 0 {
        Some(unpack_hex(id))
    } else {
        String::from_utf8(id.to_vec()).ok()
    }
}

/// Packs an id of lower-case hexadecimal digits, two per byte; `None` for any other id.
fn pack_hex(id: &str) -> Option<Vec<u8>> {
    let digit = |b: u8| match b {
        b'0'..=b'9' => Some(b - b'0'),
        b'a'..=b'f' => Some(b - b'a' + 10),
        _ => None,
    };
    let pairs = id.as_bytes().chunks_exact(2);
    let has_pairs = pairs.remainder().is_empty() && !id.is_empty();
    has_pairs.then(|| pairs.map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()).flatten()
}

/// The reverse of `pack_hex`.
fn unpack_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_decode_to_what_was_encoded_within_the_size_limit() {
        let update = |n: u32| UsageUpdate {
            tenant_hash: n.wrapping_mul(0x9e37_79b9),
            usage: Usage { offered: n.into(), forwarded: 2.0 },
        };
        let updates: Vec<_> = (0..61).map(update).collect();
        let messages = encode_updates(&updates);
        assert!(messages.len() > 1 && messages.iter().all(|m| m.len() <= 344));
        let back = messages.iter().filter_map(|m| decode(m)).flat_map(|m| match m {
            Message::UsageUpdate(updates) => updates,
            _ => Vec::new(),
        });
        assert_eq!(back.collect::<Vec<_>>(), updates);
        let tenant = "00ff00ff00ff00ff".to_owned();
        let quota = QuotaRequest { tenant, plan: 2, gateways: 300, units: 1.0 };
        let encoded = encode_question(65535, &quota);
        assert_eq!(decode(&encoded), Some(Message::Question { question_id: 65535, quota }));
        let decision = QuotaDecision { exceeds: true, ratio: 1.0 };
        assert_eq!(decode(&encode_answer(7, decision)), Some(Message::Answer { question_id: 7, decision }));
    }

    #[test]
    fn invalid_messages_are_dropped() {
        for text in ["-", "no base64!", "", "AAAA", "/////w==", "Af8BAA=="] {
            assert!(matches!(decode(text), None | Some(Message::UsageUpdate(_))), "{text}");
        }
    }
}
