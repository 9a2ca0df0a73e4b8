//! Messages between gateways: news of customers, as much as a message holds, questions and answers.

use base64::prelude::{Engine as _, BASE64_STANDARD as BASE64};
use kitepass_gateway_policy::{QuotaDecision, QuotaRequest, Units, UsageUpdate};

/// Bytes that a message holds, as the wire has it.
const HOLDS: usize = 256;
/// A question's units come in parts of this fineness, in two bytes.
const FINE: f64 = 64.0;
/// Set in the length byte of a customer's id if the id's text is packed, two hex digits a byte.
const HEX: u8 = 0x80;

/// What a message holds, as its first byte says.
#[derive(Debug, PartialEq)]
pub enum Message {
    UsageUpdate(Vec<UsageUpdate>),
    Question { number: u16, offer: QuotaRequest },
    Answer { number: u16, verdict: QuotaDecision },
}

const NEWS: u8 = 0;
const QUESTION: u8 = 1;
const PASSES: u8 = 2;
const BEYOND: u8 = 3;

pub fn question(number: u16, offer: &QuotaRequest) -> String {
    let mut bytes = vec![QUESTION, offer.plan as u8];
    for part in [number, offer.gateways as u16, (offer.units * FINE).round() as u16] {
        bytes.extend_from_slice(&part.to_le_bytes());
    }
    name(&mut bytes, &offer.tenant);
    BASE64.encode(&bytes)
}

pub fn answer(number: u16, verdict: QuotaDecision) -> String {
    let [low, high] = number.to_le_bytes();
    let ratio = (verdict.ratio * f64::from(u8::MAX)).round() as u8;
    BASE64.encode([if verdict.exceeds { BEYOND } else { PASSES }, low, high, ratio])
}

fn name(bytes: &mut Vec<u8>, customer: &str) {
    let (packed, flag) = match pack(customer) {
        Some(packed) => (packed, HEX),
        None => (customer.as_bytes().to_vec(), 0),
    };
    // An id that is too long for its length byte is no id of the wire's; it is told as none.
    let length = if packed.len() < usize::from(HEX) { packed.len() } else { 0 };
    bytes.push(length as u8 | flag);
    bytes.extend_from_slice(&packed[..length]);
}

pub fn encode(news: &[UsageUpdate]) -> Vec<String> {
    let mut messages = Vec::new();
    let mut bytes = vec![NEWS];
    for item in news {
        let [a, b, c, d] = item.tenant_hash.to_le_bytes();
        let [offered, sent] = [item.units.offered, item.units.forwarded].map(|units| units.round() as u8);
        let mut next = vec![a, b, c, d, offered, sent];
        if bytes.len() + next.len() > HOLDS {
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

/// What a message says, as far as it makes sense.
pub fn decode(text: &str) -> Option<Message> {
    let bytes = BASE64.decode(text).ok()?;
    Some(match *bytes.as_slice() {
        [NEWS, ref rest @ ..] => {
            let item = |bytes: &[u8]| UsageUpdate {
                tenant_hash: u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]),
                units: Units { offered: bytes[4].into(), forwarded: bytes[5].into() },
            };
            Message::UsageUpdate(rest.chunks_exact(6).map(item).collect())
        }
        [QUESTION, plan, a, b, c, d, e, f, ref rest @ ..] => {
            let [number, width, units] = [[a, b], [c, d], [e, f]].map(u16::from_le_bytes);
            let customer = named(rest)?;
            let (plan, width, units) = (plan.into(), width.into(), f64::from(units) / FINE);
            Message::Question {
                number,
                offer: QuotaRequest { tenant: customer, plan, gateways: width, units },
            }
        }
        [kind @ (PASSES | BEYOND), a, b, ratio] => {
            let verdict =
                QuotaDecision { exceeds: kind == BEYOND, ratio: f64::from(ratio) / f64::from(u8::MAX) };
            Message::Answer { number: u16::from_le_bytes([a, b]), verdict }
        }
        _ => return None,
    })
}

/// A customer's id.
fn named(bytes: &[u8]) -> Option<String> {
    let (head, after) = bytes.split_first()?;
    let length = usize::from(head & !HEX);
    if length == 0 || after.len() < length {
        return None;
    }
    let id = &after[..length];
    if head & HEX != 0 {
        Some(unpack(id))
    } else {
        String::from_utf8(id.to_vec()).ok()
    }
}

fn pack(id: &str) -> Option<Vec<u8>> {
    let digit = |b: u8| match b {
        b'0'..=b'9' => Some(b - b'0'),
        b'a'..=b'f' => Some(b - b'a' + 10),
        _ => None,
    };
    let pairs = id.as_bytes().chunks_exact(2);
    let whole = pairs.remainder().is_empty() && !id.is_empty();
    whole.then(|| pairs.map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()).flatten()
}

fn unpack(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_come_back_and_hold_no_more_than_they_may() {
        let item = |n: u32| UsageUpdate {
            tenant_hash: n.wrapping_mul(0x9e37_79b9),
            units: Units { offered: n.into(), forwarded: 2.0 },
        };
        let told: Vec<_> = (0..61).map(item).collect();
        let messages = encode(&told);
        assert!(messages.len() > 1 && messages.iter().all(|m| m.len() <= 344));
        let back = messages.iter().filter_map(|m| decode(m)).flat_map(|m| match m {
            Message::UsageUpdate(news) => news,
            _ => Vec::new(),
        });
        assert_eq!(back.collect::<Vec<_>>(), told);
        let customer = "00ff00ff00ff00ff".to_owned();
        let offer = QuotaRequest { tenant: customer, plan: 2, gateways: 300, units: 1.0 };
        let asked = question(65535, &offer);
        assert_eq!(decode(&asked), Some(Message::Question { number: 65535, offer }));
        let verdict = QuotaDecision { exceeds: true, ratio: 1.0 };
        assert_eq!(decode(&answer(7, verdict)), Some(Message::Answer { number: 7, verdict }));
    }

    #[test]
    fn what_makes_no_sense_is_dropped() {
        for text in ["-", "no base64!", "", "AAAA", "/////w==", "Af8BAA=="] {
            assert!(matches!(decode(text), None | Some(Message::UsageUpdate(_))), "{text}");
        }
    }
}
