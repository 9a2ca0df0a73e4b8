//! Reads the platform's list of backends, whose pages come one by one, from platforms that keep no connection.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use support::cluster::{Cluster, TIMEOUT};

/// Number of pages of the list.
const PAGES: usize = 3;

/// How a platform treats its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Platform {
    Keeps,
    /// Closes each connection after a response that says so.
    AnnouncesClose,
    /// Speaks HTTP/1.0, without a length: the close ends the body.
    Http10,
    /// Closes each connection after a response that does not say so.
    ClosesAfterResponse,
    /// Closes the connection, the first time, when it has read the request for the last page.
    ClosesBeforeLastPage,
    /// Closes the connection, the first time, in the middle of the last page.
    ClosesInLastPage,
}

impl Platform {
    /// Starts the platform. Returns its address, and the query of each request.
    fn start(self) -> (String, Receiver<String>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let (sender, queries) = channel();
        std::thread::spawn(move || {
            let mut has_failed = false;
            for stream in listener.incoming() {
                self.serve(&stream.expect("a connection"), &sender, &mut has_failed);
            }
        });
        (address, queries)
    }

    /// Serves a connection until either side closes it.
    fn serve(self, mut stream: &TcpStream, queries: &Sender<String>, has_failed: &mut bool) {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        while let Some(request) = lines.next() {
            let _ = lines.by_ref().find(String::is_empty);
            let query = request.trim_start_matches("GET /backends").trim_end_matches(" HTTP/1.1").to_owned();
            let page = query.trim_start_matches("?page-token=").parse().unwrap_or(0);
            let _ = queries.send(query); // fails once the test has ended
            let mut response = self.response(page);
            let fails = page == PAGES - 1 && !*has_failed;
            match self {
                Platform::ClosesBeforeLastPage if fails => response.clear(),
                Platform::ClosesInLastPage if fails => response.truncate(response.len() - 1),
                _ => {}
            }
            let is_kept =
                matches!(self, Platform::Keeps | Platform::ClosesBeforeLastPage | Platform::ClosesInLastPage);
            *has_failed |= fails;
            if stream.write_all(response.as_bytes()).is_err() || !is_kept || fails && self != Platform::Keeps
            {
                return;
            }
        }
    }

    fn response(self, page: usize) -> String {
        let next = if page + 1 < PAGES { format!("\"{}\"", page + 1) } else { "null".into() };
        let backend = format!(
            r#"{{"call-sign":"b{page}","line":"books","address":"127.0.0.1:9","berths":1,"standing":"open"}}"#
        );
        let body = format!(r#"{{"backends":{{"d0":[{backend}]}},"next-token":{next}}}"#);
        match self {
            Platform::Http10 => format!("HTTP/1.0 200 OK\r\n\r\n{body}"),
            Platform::AnnouncesClose => {
                let length = body.len();
                format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            _ => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        }
    }
}

/// Guards against a list that is never read to its end, as the poll starts again at the first page with each connection that
/// closes (review/8).
#[rstest]
#[case::keeps(Platform::Keeps, 0)]
#[case::announces_close(Platform::AnnouncesClose, 0)]
#[case::http_1_0(Platform::Http10, 0)]
#[case::closes_after_response(Platform::ClosesAfterResponse, 0)]
#[case::closes_before_last_page(Platform::ClosesBeforeLastPage, 1)]
#[case::closes_in_last_page(Platform::ClosesInLastPage, 1)]
fn the_list_is_read_to_its_end(#[case] platform: Platform, #[case] repeated_requests: usize) {
    let (address, queries) = platform.start();
    let _cluster = Cluster::start_with_settings(&format!("[carrier-api]\naddress = \"{address}\"\n"));
    let pages = (1..PAGES).map(|page| format!("?page-token={page}"));
    let mut expected: Vec<String> = std::iter::once(String::new()).chain(pages).collect();
    expected.extend(std::iter::repeat_n(format!("?page-token={}", PAGES - 1), repeated_requests));
    expected.push(String::new()); // the next poll
    let requested: Vec<String> =
        expected.iter().map(|_| queries.recv_timeout(TIMEOUT).expect("a page is requested")).collect();
    assert_eq!(requested, expected);
}
