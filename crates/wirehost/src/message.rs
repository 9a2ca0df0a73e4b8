//! Messages between gateways: entries of a customer's id and its units, as many as a message holds.

use base64::prelude::{Engine as _, BASE64_STANDARD as BASE64};

/// Bytes that a message holds, as the wire has it.
const HOLDS: usize = 256;
/// Units are told in parts of this fineness, in two bytes.
const FINE: f64 = 64.0;
/// Set in an entry's length byte if the id's text is packed, two hex digits a byte.
const HEX: u8 = 0x80;

pub fn encode(units: &[(String, f64)]) -> Vec<String> {
    let mut messages = Vec::new();
    let mut bytes = Vec::with_capacity(HOLDS);
    for (customer, units) in units {
        let (packed, flag) = match pack(customer) {
            Some(packed) => (packed, HEX),
            None => (customer.as_bytes().to_vec(), 0),
        };
        if packed.len() >= usize::from(HEX) {
            continue;
        }
        if bytes.len() + packed.len() + 3 > HOLDS {
            messages.push(BASE64.encode(&bytes));
            bytes.clear();
        }
        bytes.push(packed.len() as u8 | flag);
        bytes.extend_from_slice(&packed);
        bytes.extend_from_slice(&((units * FINE).round() as u16).to_le_bytes());
    }
    if !bytes.is_empty() {
        messages.push(BASE64.encode(&bytes));
    }
    messages
}

/// The entries of a message, up to the first that makes no sense.
pub fn decode(text: &str) -> Vec<(String, f64)> {
    let bytes = BASE64.decode(text).unwrap_or_default();
    let (mut rest, mut entries) = (bytes.as_slice(), Vec::new());
    while let [head, after @ ..] = rest {
        let length = usize::from(head & !HEX);
        if length == 0 || after.len() < length + 2 {
            break;
        }
        let (id, tail) = after.split_at(length);
        let customer = if head & HEX != 0 { Some(unpack(id)) } else { String::from_utf8(id.to_vec()).ok() };
        let Some(customer) = customer else { break };
        entries.push((customer, f64::from(u16::from_le_bytes([tail[0], tail[1]])) / FINE));
        rest = &tail[2..];
    }
    entries
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
        let ids = (0..60_u64).map(|n| (format!("{:016x}", n * 0x9e37_79b9), n as f64 / 2.0));
        let told: Vec<_> = ids.chain([("No hex".to_owned(), 1.25)]).collect();
        let messages = encode(&told);
        assert!(messages.len() > 1 && messages.iter().all(|m| m.len() <= 344));
        let back: Vec<_> = messages.iter().flat_map(|m| decode(m)).collect();
        assert_eq!(back, told);
    }

    #[test]
    fn what_makes_no_sense_is_dropped() {
        for text in ["-", "no base64!", "", "AAAA", "/////w==", "Af8BAA=="] {
            assert_eq!(decode(text), [], "{text}");
        }
    }
}
