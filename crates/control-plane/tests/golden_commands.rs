//! Compares the HTTP responses of the operator API and the output of the subcommands byte by byte with golden files.
//! Log lines are not compared.

mod support;

use kitepass_coordination::protocol::{Heartbeat, Hello, Message};
use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value as Json;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;
use support::cluster::{request, Cluster, Connection, TIMEOUT};
use support::command::{command, exit_code_and_output, http_response, mock_server, TempFile, PROGRAM};
use support::golden::{mask_after, GoldenFiles};

const GOLDEN_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/commands");
/// The input files of the subcommands, which run in this directory.
const INPUT_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/inputs");
/// An address on which no process listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";
const MIB: usize = 1024 * 1024;

fn input(name: &str) -> String {
    std::fs::read_to_string(Path::new(INPUT_DIR).join(name)).expect("read the input file")
}

/// The golden files of the subcommands' output.
fn subcommand_golden_files() -> GoldenFiles {
    let program =
        Path::new(PROGRAM).file_name().and_then(|name| name.to_str()).expect("the name of the program file");
    GoldenFiles::new(GOLDEN_DIR)
        .replace(format!("{program} {}", env!("CARGO_PKG_VERSION")), "{PROGRAM} {VERSION}")
        .replace(format!("{program} "), "{PROGRAM} ")
        .replace(format!("{program}: "), "{PROGRAM}: ")
}

/// Runs the program; returns its exit code and its output as one text.
fn run(args: &[&str]) -> String {
    let output = command(args).current_dir(INPUT_DIR).output().expect("start the program");
    transcript(&exit_code_and_output(&output))
}

fn transcript((code, out, error): &(i32, String, String)) -> String {
    format!("exit code {code}\n--- standard output\n{out}--- standard error\n{error}")
}

/// The golden files of a cluster's responses.
fn cluster_golden_files(cluster: &Cluster) -> GoldenFiles {
    let [first, second, third] = cluster.addresses;
    GoldenFiles::new(GOLDEN_DIR)
        .replace(format!("{first}:"), "{IP_0}:")
        .replace(format!("{second}:"), "{IP_1}:")
        .replace(format!("\"{first}\""), "\"{IP_0}\"")
        .replace(format!("\"{second}\""), "\"{IP_1}\"")
        .replace(format!("\"{third}\""), "\"{IP_2}\"")
}

/// Sends a request and returns the response, header and body, unchanged.
fn exchange(connection: &mut Connection, text: impl AsRef<str>) -> String {
    let (head, body) = connection.send(text.as_ref()).receive_raw();
    head + &body
}

fn call(cluster: &Cluster, method: &str, path: &str, body: &str) -> String {
    exchange(&mut cluster.connect(), request(method, path, body))
}

/// Repeats a call until the response is as expected.
fn wait_for(
    label: impl Display,
    mut call: impl FnMut() -> String,
    expected: impl Fn(&str) -> bool,
) -> String {
    let since = Instant::now();
    loop {
        let response = call();
        if expected(&response) {
            return response;
        }
        assert!(since.elapsed() < TIMEOUT, "{label}: {response}");
        std::thread::yield_now();
    }
}

/// Masks what differs from run to run: contact ages, whether this process is the coordinator, the durations of its
/// event loop turns, and with them the length.
fn mask_members(response: &str) -> String {
    let response = mask_after(response, "\"long-turns\":", &[','], "{COUNT}");
    let response = mask_after(&response, "\"longest-turn-ms\":", &[','], "{MS}");
    let response = mask_after(&response, "\"contact-age-ms\":", &[',', '}'], "{AGE_MS}");
    let response = mask_after(&response, "\"steward\":", &['}'], "{TRUE_OR_FALSE}");
    mask_after(&response, "Content-Length: ", &['\r'], "{LENGTH}")
}

/// Whether all three processes are replicas, and the one that answered is in contact with each of them.
fn has_all_replicas(members: &str) -> bool {
    members.matches("\"heard\":true").count() == 3 && members.matches("\"contact\":true").count() == 4
}

#[rstest]
#[case::help("help.txt", &["--help"])]
#[case::help_serve("help-serve.txt", &["serve", "--help"])]
#[case::help_get("help-get.txt", &["get", "--help"])]
#[case::help_apply("help-apply.txt", &["apply", "--help"])]
#[case::help_check("help-check.txt", &["check", "--help"])]
#[case::help_diff("help-diff.txt", &["diff", "--help"])]
#[case::help_evacuate("help-evacuate.txt", &["evacuate", "--help"])]
#[case::help_members("help-members.txt", &["members", "-h"])]
#[case::version("version.txt", &["--version"])]
#[case::version_short("version.txt", &["-V"])]
#[case::unknown_option("usage-unknown-option.txt", &["get", "--bogus"])]
#[case::unknown_command("usage-unknown-command.txt", &["fetch"])]
#[case::other_commands_option("usage-option-of-another-command.txt", &["get", "--json"])]
#[case::option_without_value("usage-option-without-value.txt", &["get", "--at"])]
#[case::missing_argument("usage-missing-argument.txt", &["apply"])]
#[case::missing_zone("usage-missing-zone.txt", &["evacuate", "start"])]
#[case::unexpected_argument("usage-unexpected-argument.txt", &["check", "a", "b"])]
#[case::no_address("usage-no-address.txt", &["members"])]
#[case::invalid_address("usage-bad-address.txt", &["members", "--at", "here"])]
#[case::invalid_verb("usage-evacuate-bad-verb.txt", &["evacuate", "stop", "z", "--at", CLOSED_ADDRESS])]
#[case::invalid_zone("usage-evacuate-bad-zone.txt", &["evacuate", "start", "a b", "--at", CLOSED_ADDRESS])]
#[case::no_settings("serve-no-settings.txt", &["serve"])]
#[case::no_settings_without_a_command("serve-no-settings.txt", &[])]
#[case::check_no_file("check-no-file.txt", &["check", "nonexistent.json"])]
#[case::check_valid("check-valid.txt", &["check", "configuration.json"])]
#[case::check_reference("check-missing-reference.txt", &["check", "change.json"])]
#[case::check_against("check-against.txt", &["check", "change.json", "--against", "configuration.json"])]
#[case::check_not_json("check-not-json.txt", &["check", "not-json.json"])]
#[case::check_extra_field("check-extra-field.txt", &["check", "extra-field.json"])]
#[case::check_invalid_version("check-bad-version.txt", &["check", "bad-version.json"])]
#[case::check_list("check-list.txt", &["check", "empty-list.json"])]
#[case::get_unreachable("get-nobody.txt", &["get", "--at", CLOSED_ADDRESS])]
#[case::apply_unreachable("apply-nobody.txt", &["apply", "configuration.json", "--at", "127.0.0.1:1,127.0.0.2:1"])]
#[case::apply_no_file("apply-no-file.txt", &["apply", "nonexistent.json", "--at", CLOSED_ADDRESS])]
#[case::apply_not_json("apply-not-json.txt", &["apply", "not-json.json", "--at", CLOSED_ADDRESS])]
#[case::diff_not_valid("diff-not-valid.txt", &["diff", "bad-version.json", "--at", CLOSED_ADDRESS])]
fn output_of_subcommands_without_a_reachable_process(#[case] name: &str, #[case] args: &[&str]) {
    subcommand_golden_files().assert_matches(name, &run(args));
}

#[test]
fn output_with_an_invalid_address_variable() {
    let output = command(&["members"]).env("KITEPASS_AT", "here").output().expect("start the program");
    subcommand_golden_files()
        .assert_matches("usage-bad-variable.txt", &transcript(&exit_code_and_output(&output)));
}

#[rstest]
#[case::absent("serve-settings-absent.txt", "nonexistent.toml")]
#[case::not_toml("serve-settings-not-toml.txt", "not-json.json")]
fn output_of_a_control_process_that_cannot_start(#[case] name: &str, #[case] settings: &str) {
    let mut command = command(&["serve", "--settings", settings]);
    let output = command.current_dir(INPUT_DIR).env("KITEPASS_LOG", "error").output();
    subcommand_golden_files()
        .assert_matches(name, &transcript(&exit_code_and_output(&output.expect("start the program"))));
}

const TEXT_HEADER: &str = "Content-Type: text/plain\r\n";

#[rstest]
#[case::get("get.txt", &["get"], http_response("200 OK", "", &input("diff.json")))]
#[case::get_invalid_json("get-garbled.txt", &["get"], http_response("200 OK", "", "{\"a\""))]
#[case::get_not_http("get-not-http.txt", &["get"], "HELLO\r\n\r\n".to_owned())]
#[case::get_truncated("get-cut-short.txt", &["get"], "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_owned())]
#[case::apply("apply.txt", &["apply", "configuration.json"], http_response("200 OK", "", "{}"))]
#[case::apply_400("apply-400.txt", &["apply", "configuration.json"],
    http_response("400 Refused", TEXT_HEADER, "itineraries \"a\": line: none\u{7}"))]
#[case::apply_409("apply-409.txt", &["apply", "configuration.json"], http_response("409 Refused", TEXT_HEADER, "taken"))]
#[case::apply_413("apply-413.txt", &["apply", "configuration.json"],
    http_response("413 Content Too Large", TEXT_HEADER, "too long"))]
#[case::apply_503("apply-503.txt", &["apply", "configuration.json"],
    http_response("503 Service Unavailable", "Retry-After: 1\r\n", "not caught up"))]
#[case::apply_redirect("apply-redirect-elsewhere.txt", &["apply", "configuration.json"],
    http_response("307 Temporary Redirect", "Location: https://elsewhere/\r\n", ""))]
#[case::evacuate_start("evacuate-start.txt", &["evacuate", "start", "z-1"], http_response("200 OK", "", "{}"))]
#[case::evacuate_end("evacuate-end.txt", &["evacuate", "end", "z-1"], http_response("200 OK", "", "{}"))]
#[case::evacuate_404("evacuate-404.txt", &["evacuate", "end", "z-1"],
    http_response("404 Refused", TEXT_HEADER, "no such zone"))]
#[case::members("members.txt", &["members"], http_response("200 OK", "", &input("members.json")))]
#[case::members_json("members-json.txt", &["members", "--json"], http_response("200 OK", "", &input("members.json")))]
#[case::members_isolated("members-isolated.txt", &["members"], http_response("200 OK", "", &input("members-isolated.json")))]
#[case::members_without_configuration("members-blank.txt", &["members"],
    http_response("200 OK", "", &input("members-blank.json")))]
#[case::members_without_configuration_json("members-blank-json.txt", &["members", "--json"],
    http_response("200 OK", "", &input("members-blank.json")))]
#[case::members_invalid_json("members-garbled.txt", &["members"], http_response("200 OK", "", "[1"))]
fn output_of_subcommands_for_a_response(#[case] name: &str, #[case] args: &[&str], #[case] response: String) {
    let (address, thread) = mock_server(vec![response]);
    let address = address.to_string();
    let golden = subcommand_golden_files().replace(&address, "{DESK}");
    golden.assert_matches(name, &run(&[args, &["--at", &address]].concat()));
    thread.join().expect("the mock server got one request");
}

#[test]
fn output_of_a_subcommand_in_a_redirect_loop() {
    let redirect = http_response("307 Temporary Redirect", "Location: /v1/members\r\n", "");
    let (address, thread) = mock_server(vec![redirect.clone(), redirect.clone(), redirect]);
    let address = address.to_string();
    subcommand_golden_files()
        .replace(&address, "{DESK}")
        .assert_matches("members-circle.txt", &run(&["members", "--at", &address]));
    thread.join().expect("the mock server got three requests");
}

#[test]
fn output_of_diff() {
    let call: Json = serde_json::from_str(&input("configuration.json")).expect("JSON");
    let (address, thread) = mock_server(vec![http_response("200 OK", "", &call["deliver"].to_string())]);
    let address = address.to_string();
    subcommand_golden_files()
        .replace(&address, "{DESK}")
        .assert_matches("diff.txt", &run(&["diff", "diff.json", "--at", &address]));
    thread.join().expect("the mock server got one request");
}

#[test]
fn file_written_by_get() {
    let (address, thread) = mock_server(vec![http_response("200 OK", "", &input("diff.json"))]);
    let file = TempFile::new("golden-out.json", "");
    let output = run(&["get", "--at", &address.to_string(), "--out", file.path()]);
    assert_eq!(output, transcript(&(0, String::new(), String::new())));
    let written = std::fs::read_to_string(&file.0).expect("written");
    GoldenFiles::new(GOLDEN_DIR).assert_matches("get-out.json", &written);
    thread.join().expect("the mock server got one request");
}

/// A sequence of subcommands; the output of each is compared with its own golden file.
#[test]
fn output_of_subcommands_with_a_cluster() {
    let cluster = Cluster::start();
    let address = cluster.operator_api.to_string();
    let golden = subcommand_golden_files().replace(&address, "{DESK}");
    let steps: [(&str, &[&str]); 13] = [
        ("cluster-01-get-empty.txt", &["get"]),
        ("cluster-02-apply.txt", &["apply", "configuration.json"]),
        ("cluster-03-apply-again.txt", &["apply", "configuration.json"]),
        ("cluster-04-get.txt", &["get"]),
        ("cluster-05-apply-conflict.txt", &["apply", "conflict.json"]),
        ("cluster-06-apply-missing-reference.txt", &["apply", "no-such-service.json"]),
        ("cluster-07-apply-extra-field.txt", &["apply", "extra-field.json"]),
        ("cluster-08-diff.txt", &["diff", "diff.json"]),
        ("cluster-09-apply-change.txt", &["apply", "change.json"]),
        ("cluster-10-get.txt", &["get"]),
        ("cluster-11-evacuate-start.txt", &["evacuate", "start", "d1"]),
        ("cluster-12-evacuate-end.txt", &["evacuate", "end", "d1"]),
        ("cluster-13-evacuate-unknown-zone.txt", &["evacuate", "start", "nowhere"]),
    ];
    for (name, args) in steps {
        golden.assert_matches(name, &run(&[args, &["--at", &address]].concat()));
    }
}

/// The same calls as plain HTTP requests.
#[test]
fn responses_of_a_cluster() {
    let cluster = Cluster::start();
    let golden = cluster_golden_files(&cluster);
    let (configuration, change) = (input("configuration.json"), input("change.json"));
    let steps = [
        ("http-01-get-empty.txt", "GET", "Timetable.Get", ""),
        ("http-02-apply.txt", "POST", "Timetable.Patch", configuration.as_str()),
        ("http-03-apply-again.txt", "POST", "Timetable.Patch", &configuration),
        ("http-04-get.txt", "GET", "Timetable.Get", ""),
        ("http-05-apply-not-json.txt", "POST", "Timetable.Patch", "{"),
        ("http-06-apply-extra-field.txt", "POST", "Timetable.Patch", &input("extra-field.json")),
        ("http-07-apply-bad-version.txt", "POST", "Timetable.Patch", &input("bad-version.json")),
        ("http-08-apply-missing-reference.txt", "POST", "Timetable.Patch", &input("no-such-service.json")),
        ("http-09-apply-conflict.txt", "POST", "Timetable.Patch", &input("conflict.json")),
        ("http-10-apply-change.txt", "POST", "Timetable.Patch", &change),
        ("http-11-get.txt", "GET", "Timetable.Get", ""),
        ("http-12-evacuate-start.txt", "POST", "Evacuate.Start/d1", ""),
        ("http-13-evacuate-start-again.txt", "POST", "Evacuate.Start/d1", ""),
        ("http-14-evacuate-end.txt", "POST", "Evacuate.End/d1", ""),
        ("http-15-evacuate-end-again.txt", "POST", "Evacuate.End/d1", ""),
        ("http-16-evacuate-unknown-zone.txt", "POST", "Evacuate.Start/nowhere", ""),
        ("http-17-evacuate-no-zone.txt", "POST", "Evacuate.Start/", ""),
        ("http-18-unknown-path.txt", "GET", "nothing", ""),
        ("http-19-get-wrong-method.txt", "POST", "Timetable.Get", ""),
        ("http-20-apply-wrong-method.txt", "GET", "Timetable.Patch", ""),
        ("http-21-members-wrong-method.txt", "DELETE", "members", ""),
        ("http-22-lookup-no-gateway.txt", "GET", "route-lookup?province=p&district=d0", ""),
    ];
    // All requests use one connection, which stays open.
    let mut connection = cluster.connect();
    for (name, method, path, body) in steps {
        golden.assert_matches(name, &exchange(&mut connection, request(method, path, body)));
    }
}

#[test]
fn responses_of_a_cluster_to_special_headers() {
    let cluster = Cluster::start();
    let golden = cluster_golden_files(&cluster);
    let get = "GET /v1/nothing HTTP/1.1\r\nHost: desk\r\n";
    let long = format!("{get}X-Long: {}\r\n\r\n", "a".repeat(16 * 1024));
    let patch = "POST /v1/Timetable.Patch HTTP/1.1\r\nHost: desk\r\n";
    let steps = [
        ("http-head-close.txt", format!("{get}Connection: close\r\n\r\n")),
        ("http-head-http-1-0.txt", "GET /v1/nothing HTTP/1.0\r\n\r\n".to_owned()),
        ("http-head-not-a-request.txt", "HELLO\r\n\r\n".to_owned()),
        ("http-head-too-long.txt", long),
        ("http-head-body-too-long.txt", format!("{patch}Content-Length: {}\r\n\r\n", 16 * MIB + 1)),
    ];
    for (name, text) in steps {
        let mut connection = cluster.connect();
        golden.assert_matches(name, &exchange(&mut connection, text));
        assert!(connection.is_closed_by_peer(), "{name}");
    }
    let mut connection = cluster.connect();
    let expects = format!("{patch}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    golden.assert_matches("http-head-expect-continue.txt", &exchange(&mut connection, expects));
    golden.assert_matches("http-head-after-continue.txt", &exchange(&mut connection, "{}"));
    let chunked = format!("{patch}Transfer-Encoding: chunked\r\n\r\n2\r\n{{}}\r\n0\r\n\r\n");
    golden.assert_matches("http-head-chunked.txt", &exchange(&mut connection, chunked));
}

/// A gateway's session with the first process of a cluster.
struct GatewaySession {
    connection: Connection,
    address: SocketAddr,
    hello: Hello,
    ready: bool,
}

impl GatewaySession {
    fn open(cluster: &Cluster, name: &str, address: &str, zone: &str, ready: bool) -> GatewaySession {
        let hello = Hello {
            node_id: name.into(),
            address: "10.0.0.1".into(),
            zone: zone.into(),
            region: "p".into(),
            incarnation: 7,
            client_address: address.into(),
            is_serving: true,
            ..Hello::default()
        };
        let mut connection = Connection::open(cluster.peer_listener);
        connection.send_message(Message::Hello(hello.clone())).expect("written");
        GatewaySession { connection, address: cluster.peer_listener, hello, ready }
    }

    /// Sends a heartbeat, or reconnects if the test was suspended so long that the session was closed.
    fn heartbeat(&mut self) {
        let heartbeat = Message::Heartbeat(Heartbeat { is_ready: self.ready, ..Heartbeat::default() });
        if self.connection.send_message(heartbeat).is_err() {
            self.connection = Connection::open(self.address);
            let _ = self.connection.send_message(Message::Hello(self.hello.clone()));
            // if this fails, the next heartbeat reconnects
        }
    }
}

#[test]
fn responses_of_a_cluster_about_members_and_to_look_ups() {
    let cluster = Cluster::start();
    let golden = cluster_golden_files(&cluster);
    let mut gateways = [
        GatewaySession::open(&cluster, "g-1", "10.0.0.1:80", "d0", true),
        GatewaySession::open(&cluster, "g-2", "10.0.0.2:80", "d1", true),
        GatewaySession::open(&cluster, "g-3", "10.0.0.3:80", "d2", false),
        GatewaySession::open(&cluster, "g-4", "10.0.0.4:80", "d0", true),
    ];
    let is_complete = |response: &str| {
        has_all_replicas(response)
            && response.matches("\"ready\":true").count() == 3
            && response.matches("\"ready\":false").count() == 1
    };
    let mut members = || {
        gateways.iter_mut().for_each(GatewaySession::heartbeat);
        call(&cluster, "GET", "members", "")
    };
    golden.assert_matches("http-members.txt", &mask_members(&wait_for("members", &mut members, is_complete)));
    let evacuate = call(&cluster, "POST", "Evacuate.Start/d2", "");
    assert!(evacuate.contains(" 200 "), "{evacuate}");
    let evacuated =
        wait_for("members", &mut members, |response| is_complete(response) && response.contains("[\"d2\"]"));
    golden.assert_matches("http-members-evacuated-zone.txt", &mask_members(&evacuated));

    let lookups = [
        ("http-lookup-two-in-the-zone.txt", "GET", "route-lookup?name=h&province=p&district=d0", 2),
        ("http-lookup-one-in-the-zone.txt", "GET", "route-lookup?name=h&province=p&district=d1", 3),
        ("http-lookup-unknown-zone.txt", "GET", "route-lookup?province=q&district=d9", 3),
        ("http-lookup-no-query.txt", "GET", "route-lookup", 3),
        ("http-lookup-wrong-method.txt", "POST", "route-lookup", 0),
    ];
    for (name, method, path, addresses) in lookups {
        let lookup = || {
            gateways.iter_mut().for_each(GatewaySession::heartbeat);
            exchange(&mut Connection::open(cluster.directory_api), request(method, path, ""))
        };
        let is_complete = |response: &str| response.matches(":80\"").count() == addresses;
        golden.assert_matches(name, &wait_for(name, lookup, is_complete));
    }
}

#[test]
fn responses_of_a_process_without_a_configuration() {
    let cluster = Cluster::start_alone();
    let golden = cluster_golden_files(&cluster);
    let steps = [
        ("http-blank-get.txt", "GET", "Timetable.Get", String::new()),
        ("http-blank-apply.txt", "POST", "Timetable.Patch", input("configuration.json")),
        ("http-blank-apply-not-json.txt", "POST", "Timetable.Patch", "{".to_owned()),
        ("http-blank-evacuate.txt", "POST", "Evacuate.Start/nowhere", String::new()),
        ("http-blank-members.txt", "GET", "members", String::new()),
        ("http-blank-lookup.txt", "GET", "route-lookup?province=p&district=d0", String::new()),
    ];
    for (name, method, path, body) in steps {
        let response = call(&cluster, method, path, &body);
        match path {
            "members" => golden.assert_matches(name, &mask_members(&response)),
            _ => golden.assert_matches(name, &response),
        }
    }
    let address = cluster.operator_api.to_string();
    let golden = subcommand_golden_files().replace(&address, "{DESK}");
    for (name, args) in [
        ("blank-get.txt", ["get"].as_slice()),
        ("blank-members.txt", &["members"]),
        ("blank-members-json.txt", &["members", "--json"]),
    ] {
        let output = run(&[args, &["--at", &address]].concat());
        let output = mask_after(&output, "\"long-turns\": ", &[','], "{COUNT}");
        golden.assert_matches(name, &mask_after(&output, "\"longest-turn-ms\": ", &[','], "{MS}"));
    }
}

/// Clients are redirected to a peer that reports to be in contact.
#[test]
fn responses_of_a_process_that_redirects_to_a_peer() {
    let cluster = Cluster::start_alone();
    let golden = cluster_golden_files(&cluster);
    let mut peer = Connection::open(cluster.peer_listener);
    let hello = Hello {
        node_id: "s1".into(),
        address: cluster.addresses[1].to_string(),
        zone: "d1".into(),
        region: "p".into(),
        incarnation: 7,
        is_control_plane: true,
        is_serving: true,
        is_complete: true,
        replica_id: 9,
        ..Hello::default()
    };
    peer.send_message(Message::Hello(hello)).expect("written");
    let mut redirected = |name: &str, text: String| {
        let redirected = || {
            let heartbeat = Heartbeat { is_serving: true, is_complete: true, ..Heartbeat::default() };
            peer.send_message(Message::Heartbeat(heartbeat)).expect("written");
            exchange(&mut cluster.connect(), &text)
        };
        golden.assert_matches(name, &wait_for(name, redirected, |response| response.contains(" 307 ")));
    };
    redirected("http-redirect-get.txt", request("GET", "Timetable.Get?a=b", ""));
    redirected("http-redirect-apply.txt", request("POST", "Timetable.Patch", "{}"));
    redirected("http-redirect-evacuate.txt", request("POST", "Evacuate.Start/d1", ""));
}

#[test]
fn responses_of_a_process_without_a_majority() {
    let cluster = Cluster::start();
    let golden = cluster_golden_files(&cluster);
    let members = || call(&cluster, "GET", "members", "");
    wait_for("members", members, has_all_replicas);
    for child in &cluster.children[1..] {
        kill_process(Pid::from_child(child), Signal::STOP).expect("send the signal");
    }
    let is_unavailable = |response: &str| response.contains("out of contact");
    let get = || call(&cluster, "GET", "Timetable.Get", "");
    golden.assert_matches("http-isolated-get.txt", &wait_for("get", get, is_unavailable));
    let evacuate = || call(&cluster, "POST", "Evacuate.Start/nowhere", "");
    golden.assert_matches("http-isolated-evacuate.txt", &wait_for("evacuate", evacuate, is_unavailable));
    let lookup = || call(&cluster, "GET", "route-lookup?province=p&district=d0", "");
    let is_isolated = |response: &str| response.contains("contact");
    golden.assert_matches("http-isolated-lookup.txt", &wait_for("look-up", lookup, is_isolated));
    let is_unheard = |response: &str| {
        response.matches("\"heard\":false").count() == 2 && response.matches("\"contact\":true").count() == 1
    };
    golden.assert_matches(
        "http-isolated-members.txt",
        &mask_members(&wait_for("members", members, is_unheard)),
    );
}
