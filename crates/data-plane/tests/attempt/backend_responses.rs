//! The bytes that the model's backends send.

/// A kind of response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ResponseKind {
    Short,
    Long,
    /// A body that ends when the connection is closed.
    UntilClose,
    /// The backend states that it did not execute the request.
    NotExecuted,
    Own500,
    Own503,
    NoPostmark,
    Malformed,
    NoRequestId,
    /// A stale response: it answers a request that was already answered.
    Stale,
}

/// The responses that a backend may send to the request that it has received.
pub(crate) const RESPONSES: [ResponseKind; 9] = [
    ResponseKind::Short,
    ResponseKind::Long,
    ResponseKind::UntilClose,
    ResponseKind::NotExecuted,
    ResponseKind::Own500,
    ResponseKind::Own503,
    ResponseKind::NoPostmark,
    ResponseKind::Malformed,
    ResponseKind::NoRequestId,
];

/// Returns the body of a response to a request.
pub(crate) fn body(request: u8, kind: ResponseKind) -> &'static str {
    match (kind, request) {
        (ResponseKind::Short | ResponseKind::Stale, 0) => "a0",
        (ResponseKind::Short | ResponseKind::Stale, 1) => "b1",
        (ResponseKind::Short | ResponseKind::Stale, _) => "x9",
        (ResponseKind::Long | ResponseKind::UntilClose, 0) => "a0a0a0",
        (ResponseKind::Long | ResponseKind::UntilClose, _) => "b1b1b1",
        _ => "",
    }
}

fn response(request: u8, kind: ResponseKind) -> String {
    let body = body(request, kind);
    let (status, fields) = match kind {
        ResponseKind::Short | ResponseKind::Long | ResponseKind::Stale => {
            (200, format!("X-Postmark: {request}\r\n"))
        }
        ResponseKind::UntilClose => {
            return format!("HTTP/1.1 200 OK\r\nX-Try-Id: {request}\r\nX-Postmark: {request}\r\n\r\n{body}")
        }
        ResponseKind::NotExecuted => (503, "X-Not-Delivered: full\r\n".to_owned()),
        ResponseKind::Own500 => (500, String::new()),
        ResponseKind::Own503 => (503, String::new()),
        ResponseKind::NoPostmark => (200, String::new()),
        ResponseKind::Malformed => return "\0\r\n\r\n".to_owned(),
        ResponseKind::NoRequestId => {
            return "HTTP/1.1 200 OK\r\nX-Postmark: 0\r\nContent-Length: 0\r\n\r\n".to_owned()
        }
    };
    format!(
        "HTTP/1.1 {status} X\r\nX-Try-Id: {request}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A part of a response that arrives at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Piece {
    /// The request that the response names.
    pub(crate) request: u8,
    pub(crate) kind: ResponseKind,
    /// The position of the piece within the response.
    pub(crate) index: u8,
}

impl Piece {
    /// Returns the pieces of a response, which is cut in its head and in its body.
    pub(crate) fn all_of(request: u8, kind: ResponseKind) -> impl Iterator<Item = Piece> {
        (0..piece_count(kind)).map(move |index| Piece { request, kind, index })
    }

    /// Returns the bytes of the piece.
    pub(crate) fn bytes(self) -> Vec<u8> {
        let response = response(self.request, self.kind).into_bytes();
        let length = response.len();
        let bounds = match piece_count(self.kind) {
            1 => vec![0, length],
            2 => vec![0, length - 1, length],
            _ => vec![0, 20, length - 2, length],
        };
        let index = usize::from(self.index);
        response[bounds[index]..bounds[index + 1]].to_vec()
    }
}

fn piece_count(kind: ResponseKind) -> u8 {
    match kind {
        ResponseKind::Short | ResponseKind::Stale => 2,
        ResponseKind::Long | ResponseKind::UntilClose => 3,
        _ => 1,
    }
}
