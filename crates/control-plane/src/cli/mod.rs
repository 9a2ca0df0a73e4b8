//! The command line: the control process itself, and what an operator asks of a running system.

mod client;

use crate::server::Server;
use kitepass_config::{parse_change_request, validate, Item, ItemStore, Kind, SchemaValidator};
use lexopt::prelude::*;
use serde_json::{Map, Value as Json};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Control desks to ask where `--at` names none.
const VARIABLE: &str = "KITEPASS_AT";
/// Characters of a field's value that `diff` shows.
const MOST_SHOWN: usize = 60;

const HELP: &str = "\
kitepass-control-plane: the control plane of kitepass

usage:
  kitepass-control-plane [serve] [--settings FILE]       a control process
  kitepass-control-plane get [--at ADDR,..] [--out FILE] the newest configuration in full
  kitepass-control-plane apply FILE [--at ADDR,..]       change the configuration
  kitepass-control-plane check FILE [--against FILE]     whether a file would be taken; asks nobody
  kitepass-control-plane diff FILE [--at ADDR,..]        what of a file is newer than what stands
  kitepass-control-plane evacuate start|end ZONE [--at ADDR,..]
                                         send nothing more to a zone's backends, or again
  kitepass-control-plane members [--at ADDR,..] [--json] the core's seats and the gateways
  kitepass-control-plane COMMAND --help                  more on one of them
  kitepass-control-plane --help | --version

--at names control desks (address and port) that are asked in turn; without it the variable KITEPASS_AT does.

exit codes: 0 done; 1 refused by the system, or not valid; 2 usage, or a file that cannot be read or written;
3 nobody reachable, or nobody who could do it now: the same command may be given again.
";

/// A command, as its help and its arguments go.
struct Command {
    name: &'static str,
    /// Its arguments, all of them needed.
    messages: &'static [&'static str],
    options: &'static [&'static str],
    help: &'static str,
    run: fn(&Args) -> Result<(), Error>,
}

static COMMANDS: [Command; 7] = [
    Command {
        name: "serve",
        messages: &[],
        options: &["settings"],
        help: "\
usage: kitepass-control-plane [serve] [--settings FILE]

A control process, by its settings file (or the one that the variable KITEPASS_NODE_FILE names).
KITEPASS_LOG sets how much is logged to standard error: error, warn, info (the default), debug.
SIGTERM has it finish what it took and end; SIGHUP has it read the settings file again.
It ends with 0 after SIGTERM, with 1 and one line where it cannot start or go on.
",
        run: serve,
    },
    Command {
        name: "get",
        messages: &[],
        options: &["at", "out"],
        help: "\
usage: kitepass-control-plane get [--at ADDR,..] [--out FILE]

Prints the newest configuration in full as JSON, one item a line: every item that stands, with its version.
--out writes it to a file instead, which only its owner can read: customers' keys are in it.
What it prints, apply, check and diff take.
",
        run: get,
    },
    Command {
        name: "apply",
        messages: &["FILE"],
        options: &["at"],
        help: "\
usage: kitepass-control-plane apply FILE [--at ADDR,..]

Sends a change of the configuration. FILE holds a call ({\"deliver\": .., \"withdraw\": ..}) or what get printed.
Each item whose version is above the one that is known takes effect, any other has none; a call with anything
invalid in it is refused whole. Done means: safe on disk at a majority of the core. It may be given again.
",
        run: apply,
    },
    Command {
        name: "check",
        messages: &["FILE"],
        options: &["against"],
        help: "\
usage: kitepass-control-plane check FILE [--against FILE]

Tells whether a call would be taken by a system that holds nothing, or the items of another file (as get
prints it). Asks nobody. 0 where it would be, 1 and one line where not.
",
        run: check,
    },
    Command {
        name: "diff",
        messages: &["FILE"],
        options: &["at"],
        help: "\
usage: kitepass-control-plane diff FILE [--at ADDR,..]

Compares a file's items with those that stand, one line each:
  newer    its version is above the one that stands; the fields that it changes follow
  older    its version is below: it has no effect
  equal    same version, same content
  differs  same version, other content: a call with it is refused (409); use a higher version
  unknown  nothing stands under this name; new, or withdrawn before
Customers' keys are counted, not shown.
",
        run: diff,
    },
    Command {
        name: "evacuate",
        messages: &["start|end", "ZONE"],
        options: &["at"],
        help: "\
usage: kitepass-control-plane evacuate start|end ZONE [--at ADDR,..]

start: nothing more is sent to the backends of a zone (a district of the settings). end: they are used again.
It may be given again.
",
        run: evacuate,
    },
    Command {
        name: "members",
        messages: &[],
        options: &["at", "json"],
        help: "\
usage: kitepass-control-plane members [--at ADDR,..] [--json]

The seats of the core, whether the process that was asked hears of each, and how long ago each is known to have
heard that process; its own standing, and how long ago a majority is known to have heard it; the gateways with a
session, where they take clients, and whether they are ready. Standings:
  blank    it knows of no core
  behind   it has yet to hear what was acknowledged while it was away
  current  it has caught up, and is in contact with a majority: it takes calls and gateways
  apart    it had caught up, and no majority heard it in the last 2 s: it sends callers and gateways on
  leaving  it ends
",
        run: members,
    },
];

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{why}"))]
    Usage { why: String },
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    #[snafu(display("standard output: {source}"))]
    Output { source: std::io::Error },
    #[snafu(display("{}: {why}", path.display()))]
    Invalid { path: PathBuf, why: String },
    #[snafu(display("{source}"))]
    Ask { source: client::Error },
    #[snafu(display("an answer that this program cannot read: {why}"))]
    Strange { why: String },
    #[snafu(display("no settings file: name one with --settings or {}", kitepass_node::SETTINGS_VARIABLE))]
    NoSettings,
    #[snafu(display("{source}"))]
    Serve { source: crate::server::Error },
}

impl Error {
    fn code(&self) -> u8 {
        match self {
            Error::Usage { .. } | Error::File { .. } | Error::Output { .. } => 2,
            Error::Ask { source: client::Error::Nobody { .. } } => 3,
            Error::Ask { source: client::Error::Refused { .. } } => 1,
            Error::Invalid { .. } | Error::Strange { .. } => 1,
            Error::NoSettings | Error::Serve { .. } => 1,
        }
    }
}

/// Arguments as they came; which of them a command takes is looked at afterwards.
#[derive(Default)]
struct Args {
    messages: Vec<String>,
    settings: Option<PathBuf>,
    at: Vec<SocketAddr>,
    out: Option<PathBuf>,
    against: Option<PathBuf>,
    json: bool,
    help: bool,
    version: bool,
    /// The options that were given, by name.
    given: BTreeSet<&'static str>,
}

pub fn main() -> ExitCode {
    match run(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever read the output has enough of it.
        Err(Error::Output { source }) if source.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitepass-control-plane: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn run(args: impl Iterator<Item = OsString>) -> Result<(), Error> {
    let mut args = parse(args)
        .map_err(|error| Error::Usage { why: format!("{error}; see kitepass-control-plane --help") })?;
    if args.version {
        return say(&format!("kitepass-control-plane {}\n", env!("CARGO_PKG_VERSION")));
    }
    let named = (!args.messages.is_empty()).then(|| args.messages.remove(0));
    let Some(name) = named.as_deref().or((!args.help).then_some("serve")) else { return say(HELP) };
    let command = COMMANDS.iter().find(|command| command.name == name);
    let command = command.with_context(|| UsageSnafu {
        why: format!("no such command: {name}; see kitepass-control-plane --help"),
    })?;
    if args.help {
        return say(command.help);
    }
    let wrong = |why: String| {
        UsageSnafu { why: format!("{name}: {why}; see kitepass-control-plane {name} --help") }.fail()
    };
    if let Some(option) = args.given.iter().find(|option| !command.options.contains(*option)) {
        return wrong(format!("--{option} is not for this command"));
    }
    if let Some(missing) = command.messages.get(args.messages.len()) {
        return wrong(format!("{missing} is missing"));
    }
    if let Some(more) = args.messages.get(command.messages.len()) {
        return wrong(format!("unexpected argument {more:?}"));
    }
    (command.run)(&args)
}

fn parse(args: impl Iterator<Item = OsString>) -> Result<Args, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut args = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => args.help = true,
            Long("version") | Short('V') => args.version = true,
            Long("json") => {
                args.given.insert("json");
                args.json = true;
            }
            Long("settings") => {
                args.given.insert("settings");
                args.settings = Some(PathBuf::from(parser.value()?));
            }
            Long("out") => {
                args.given.insert("out");
                args.out = Some(PathBuf::from(parser.value()?));
            }
            Long("against") => {
                args.given.insert("against");
                args.against = Some(PathBuf::from(parser.value()?));
            }
            Long("at") => {
                args.given.insert("at");
                args.at.extend(addresses("--at", &parser.value()?.string()?)?);
            }
            Value(message) => args.messages.push(message.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(args)
}

fn addresses(whence: &str, text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let read = |part: &str| {
        part.parse().map_err(|_| format!("{whence}: {part:?} is no address and port, as 10.1.0.35:8688 is"))
    };
    parts.map(read).collect()
}

/// The control desks to ask.
fn desks(args: &Args) -> Result<Vec<SocketAddr>, Error> {
    let mut desks = args.at.clone();
    if desks.is_empty() {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        desks = addresses(VARIABLE, &text).map_err(|why| Error::Usage { why })?;
    }
    if desks.is_empty() {
        let why = format!("nobody to ask: name control desks with --at ADDR[,ADDR..] or {VARIABLE}");
        return UsageSnafu { why }.fail();
    }
    Ok(desks)
}

fn say(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).context(OutputSnafu)
}

fn serve(args: &Args) -> Result<(), Error> {
    kitepass_node::log_to_stderr(kitepass_node::level_from_env());
    let path = args.settings.clone();
    let path = path.or_else(|| std::env::var_os(kitepass_node::SETTINGS_VARIABLE).map(PathBuf::from));
    let path = path.context(NoSettingsSnafu)?;
    Server::open(path).and_then(Server::run).context(ServeSnafu)
}

fn get(args: &Args) -> Result<(), Error> {
    let body = client::ask(&desks(args)?, "GET", "/v1/Timetable.Get", b"").context(AskSnafu)?;
    let whole: Json = serde_json::from_slice(&body).map_err(strange)?;
    let text = laid_out(&whole);
    let Some(path) = &args.out else { return say(&text) };
    // Danger: the file holds customers' keys, and the usual mode lets everybody on the machine read it.
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(0o600);
    let file = options.open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes())).context(FileSnafu { path })
}

fn strange(error: impl std::fmt::Display) -> Error {
    Error::Strange { why: error.to_string() }
}

/// A configuration with each item on a line of its own, so that two of them can be compared line by line.
fn laid_out(whole: &Json) -> String {
    let Json::Object(parts) = whole else { return format!("{whole}\n") };
    let parts = parts.iter().map(|(name, part)| {
        let name = Json::from(name.as_str());
        let Some(entries) = part["entries"].as_array().filter(|entries| !entries.is_empty()) else {
            return format!("  {name}: {part}");
        };
        let rows: Vec<String> = entries.iter().map(|entry| format!("      {entry}")).collect();
        format!(
            "  {name}: {{\n    \"headings\": {},\n    \"entries\": [\n{}\n    ]\n  }}",
            part["headings"],
            rows.join(",\n")
        )
    });
    format!("{{\n{}\n}}\n", parts.collect::<Vec<_>>().join(",\n"))
}

/// A file's call: as it stands there, or made of what `get` printed.
fn call_of(path: &Path) -> Result<Vec<u8>, Error> {
    let text = std::fs::read(path).context(FileSnafu { path })?;
    let whole: Json = serde_json::from_slice(&text)
        .map_err(|error| Error::Invalid { path: path.to_owned(), why: format!("not whole JSON: {error}") })?;
    let lists = ["itineraries", "customers", "carrier-lines", "weight-limits"];
    let has = |names: &[&str]| names.iter().any(|name| whole.get(name).is_some());
    if has(&lists) && !has(&["deliver", "withdraw"]) {
        return Ok([b"{\"deliver\":", text.as_slice(), b"}"].concat());
    }
    Ok(text)
}

fn items_of(checker: &SchemaValidator, path: &Path) -> Result<Vec<Item>, Error> {
    let invalid = |refusal: kitepass_config::ValidationError| Error::Invalid {
        path: path.to_owned(),
        why: refusal.to_string(),
    };
    parse_change_request(checker, &call_of(path)?).map_err(invalid)
}

fn apply(args: &Args) -> Result<(), Error> {
    let desks = desks(args)?;
    let path = Path::new(&args.messages[0]);
    client::ask(&desks, "POST", "/v1/Timetable.Patch", &call_of(path)?).context(AskSnafu)?;
    say(&format!("{}: taken\n", path.display()))
}

fn check(args: &Args) -> Result<(), Error> {
    let path = Path::new(&args.messages[0]);
    let (checker, mut whole) = (SchemaValidator::new(), ItemStore::new());
    if let Some(against) = &args.against {
        for item in items_of(&checker, against)? {
            whole.apply(item);
        }
    }
    let items = items_of(&checker, path)?;
    validate(&whole, &items)
        .map_err(|refusal| Error::Invalid { path: path.to_owned(), why: refusal.to_string() })?;
    let news = items.iter().filter(|item| whole.is_newer(item)).count();
    say(&format!("{}: valid, {} items, {news} of them with an effect\n", path.display(), items.len()))
}

/// How a file's item stands to the system's. [`compare`] alone decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Against {
    Newer,
    Older,
    Equal,
    Differs,
    Unknown,
}

impl Against {
    const ALL: [Against; 5] =
        [Against::Newer, Against::Older, Against::Equal, Against::Differs, Against::Unknown];

    fn name(self) -> &'static str {
        match self {
            Against::Newer => "newer",
            Against::Older => "older",
            Against::Equal => "equal",
            Against::Differs => "differs",
            Against::Unknown => "unknown",
        }
    }
}

fn compare(item: &Item, stands: Option<&Item>) -> Against {
    match stands {
        None => Against::Unknown,
        Some(stands) if item.version > stands.version => Against::Newer,
        Some(stands) if item.version < stands.version => Against::Older,
        Some(stands) if item.value == stands.value => Against::Equal,
        Some(_) => Against::Differs,
    }
}

fn list_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Route => "itineraries",
        Kind::Tenant => "customers",
        Kind::Service => "carrier-lines",
        _ => "weight-limits",
    }
}

fn diff(args: &Args) -> Result<(), Error> {
    let desks = desks(args)?;
    let checker = SchemaValidator::new();
    let items = items_of(&checker, Path::new(&args.messages[0]))?;
    let body = client::ask(&desks, "GET", "/v1/Timetable.Get", b"").context(AskSnafu)?;
    let body = [b"{\"deliver\":", body.as_slice(), b"}"].concat();
    let mut whole = ItemStore::new();
    for item in parse_change_request(&checker, &body).map_err(strange)? {
        whole.apply(item);
    }
    say(&compared(&items, &whole))
}

fn compared(items: &[Item], whole: &ItemStore) -> String {
    let mut sums = [0; Against::ALL.len()];
    let mut rows = Vec::new();
    for item in items {
        let stands = whole.get(item.kind, &item.name);
        let against = compare(item, stands);
        sums[against as usize] += 1;
        let there =
            stands.map_or_else(|| "nothing stands".to_owned(), |stands| format!("r{}", stands.version));
        let versions = match against {
            Against::Equal | Against::Differs => there,
            _ => format!("{there} -> r{}", item.version),
        };
        let name = shown(if item.name.is_empty() { "-" } else { &item.name });
        let mut row: Vec<String> =
            vec![list_name(item.kind).to_owned(), name, against.name().to_owned(), versions];
        match (stands, item.is_set()) {
            (_, false) => row.push("withdrawn".to_owned()),
            (Some(stands), true) if matches!(against, Against::Newer | Against::Differs) => {
                row.push(changes(item, stands));
            }
            _ => {}
        }
        rows.push(row);
    }
    let named: BTreeSet<(Kind, &str)> = items.iter().map(|item| (item.kind, &*item.name)).collect();
    let others = whole.items().filter(|item| !named.contains(&(item.kind, &*item.name))).count();
    let sums = Against::ALL.iter().map(|against| format!("{} {}", sums[*against as usize], against.name()));
    let sums = sums.collect::<Vec<_>>().join(", ");
    format!("{}{sums}; {others} standing items are not in the file\n", table(&rows))
}

/// The fields in which two versions of an item differ, as `field old -> new`.
fn changes(item: &Item, stands: &Item) -> String {
    let read = |item: &Item| -> Map<String, Json> {
        item.value.as_deref().and_then(|value| serde_json::from_slice(value).ok()).unwrap_or_default()
    };
    let (new, old) = (read(item), read(stands));
    let fields: BTreeSet<&String> = new.keys().chain(old.keys()).collect();
    let changed = fields.into_iter().filter(|field| new.get(*field) != old.get(*field));
    let told = changed.map(|field| {
        if item.kind == Kind::Tenant && field == "permits" {
            return format!("permits {}", keys(old.get(field), new.get(field)));
        }
        let text = |value: Option<&Json>| value.map_or("none".to_owned(), |value| shown(&value.to_string()));
        format!("{} {} -> {}", shown(field), text(old.get(field)), text(new.get(field)))
    });
    let told: Vec<String> = told.collect();
    if told.is_empty() {
        "no field changes".to_owned()
    } else {
        told.join(", ")
    }
}

/// Danger: keys are secrets, and a terminal's lines end up in tickets.
fn keys(old: Option<&Json>, new: Option<&Json>) -> String {
    let set = |keys: Option<&Json>| -> BTreeSet<String> {
        keys.and_then(Json::as_array).into_iter().flatten().map(Json::to_string).collect()
    };
    let (old, new) = (set(old), set(new));
    format!("{} added, {} taken away", new.difference(&old).count(), old.difference(&new).count())
}

fn shown(text: &str) -> String {
    let text = client::shown(text.as_bytes());
    match text.char_indices().nth(MOST_SHOWN) {
        Some((cut, _)) => format!("{}..", &text[..cut]),
        None => text,
    }
}

fn evacuate(args: &Args) -> Result<(), Error> {
    let desks = desks(args)?;
    let verb = match args.messages[0].as_str() {
        "start" => "Start",
        "end" => "End",
        other => return UsageSnafu { why: format!("evacuate: start or end, not {other:?}") }.fail(),
    };
    let zone = &args.messages[1];
    // Danger: a zone of several words, or with a line's end in it, would make another call of this one.
    if !zone.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)) || zone.is_empty() {
        return UsageSnafu { why: format!("evacuate: {zone:?} is no zone's name") }.fail();
    }
    client::ask(&desks, "POST", &format!("/v1/Evacuate.{verb}/{zone}"), b"").context(AskSnafu)?;
    say(&format!("{zone}: evacuation {}\n", if verb == "Start" { "started" } else { "ended" }))
}

fn members(args: &Args) -> Result<(), Error> {
    let body = client::ask(&desks(args)?, "GET", "/v1/members", b"").context(AskSnafu)?;
    let told: Json = serde_json::from_slice(&body).map_err(strange)?;
    if args.json {
        return say(&format!("{told:#}\n"));
    }
    let text = |value: &Json| value.as_str().map_or("-".to_owned(), shown);
    let yes = |value: &Json| if value.as_bool() == Some(true) { "yes" } else { "no" }.to_owned();
    let list = |name: &str| told[name].as_array().cloned().unwrap_or_default();
    let (asked, standing) = (text(&told["asked"]), text(&told["standing"]));
    let held =
        told["duty"].as_object().into_iter().flatten().filter(|(_, held)| held.as_bool() == Some(true));
    let held: Vec<String> = held.map(|(name, _)| shown(name)).collect();
    let role = if held.is_empty() { "no duty".to_owned() } else { format!("duty {}", held.join(", ")) };
    let row =
        |messages: &[&str]| messages.iter().map(|message| (*message).to_owned()).collect::<Vec<String>>();
    let mut core = vec![row(&["core", "address", "district", "heard", "standing"])];
    for replica in list("core") {
        let own = replica["station"] == told["asked"];
        let stands = if own { format!("{standing}, {role}") } else { contact(&replica) };
        core.push(vec![
            text(&replica["station"]),
            text(&replica["ip"]),
            text(&replica["district"]),
            yes(&replica["heard"]),
            stands,
        ]);
    }
    let mut gateways = vec![row(&["gateway", "front", "district", "ready"])];
    for gateway in list("gateways") {
        gateways.push(vec![
            text(&gateway["station"]),
            text(&gateway["front"]),
            text(&gateway["district"]),
            yes(&gateway["ready"]),
        ]);
    }
    let part = |rows: &[Vec<String>], none: &str| {
        if rows.len() > 1 {
            table(rows)
        } else {
            format!("{none}\n")
        }
    };
    let (core, gateways) = (part(&core, "no core is known"), part(&gateways, "no gateway has a session"));
    let contact = match contact(&told).as_str() {
        "-" => String::new(),
        contact => format!(", {contact} by a majority"),
    };
    say(&format!("asked {asked}: {standing}, {role}{contact}\n\n{core}\n{gateways}"))
}

/// How long ago the process that was asked was heard, by a seat or by a majority. Older processes tell nothing of it.
fn contact(told: &Json) -> String {
    match (told["contact"].as_bool(), told["contact-age-ms"].as_i64()) {
        (None, _) => "-".to_owned(),
        (Some(true), Some(age)) => format!("heard {:.1} s ago", age as f64 / 1000.0),
        (Some(_), Some(age)) => format!("out of contact, heard {:.1} s ago", age as f64 / 1000.0),
        (Some(_), None) => "out of contact, never heard".to_owned(),
    }
}

/// Rows in columns; the last column of a row is as long as it is.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}
