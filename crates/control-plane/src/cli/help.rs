//! The texts printed for `--help`. Operators rely on them, so golden tests pin them.

pub(super) const PROGRAM: &str = "\
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

pub(super) const SERVE: &str = "\
usage: kitepass-control-plane [serve] [--settings FILE]

A control process, by its settings file (or the one that the variable KITEPASS_NODE_FILE names).
KITEPASS_LOG sets how much is logged to standard error: error, warn, info (the default), debug.
SIGTERM has it finish what it took and end; SIGHUP has it read the settings file again.
It ends with 0 after SIGTERM, with 1 and one line where it cannot start or go on.
";

pub(super) const GET: &str = "\
usage: kitepass-control-plane get [--at ADDR,..] [--out FILE]

Prints the newest configuration in full as JSON, one item a line: every item that stands, with its version.
--out writes it to a file instead, which only its owner can read: customers' keys are in it.
What it prints, apply, check and diff take.
";

pub(super) const APPLY: &str = "\
usage: kitepass-control-plane apply FILE [--at ADDR,..]

Sends a change of the configuration. FILE holds a call ({\"deliver\": .., \"withdraw\": ..}) or what get printed.
Each item whose version is above the one that is known takes effect, any other has none; a call with anything
invalid in it is refused whole. Done means: safe on disk at a majority of the core. It may be given again.
";

pub(super) const CHECK: &str = "\
usage: kitepass-control-plane check FILE [--against FILE]

Tells whether a call would be taken by a system that holds nothing, or the items of another file (as get
prints it). Asks nobody. 0 where it would be, 1 and one line where not.
";

pub(super) const DIFF: &str = "\
usage: kitepass-control-plane diff FILE [--at ADDR,..]

Compares a file's items with those that stand, one line each:
  newer    its version is above the one that stands; the fields that it changes follow
  older    its version is below: it has no effect
  equal    same version, same content
  differs  same version, other content: a call with it is refused (409); use a higher version
  unknown  nothing stands under this name; new, or withdrawn before
Customers' keys are counted, not shown.
";

pub(super) const EVACUATE: &str = "\
usage: kitepass-control-plane evacuate start|end ZONE [--at ADDR,..]

start: nothing more is sent to the backends of a zone (a district of the settings). end: they are used again.
It may be given again.
";

pub(super) const MEMBERS: &str = "\
usage: kitepass-control-plane members [--at ADDR,..] [--json]

The seats of the core, whether the process that was asked hears of each, and how long ago each is known to have
heard that process; its own standing, and how long ago a majority is known to have heard it; the gateways with a
session, where they take clients, and whether they are ready. Standings:
  blank    it knows of no core
  behind   it has yet to hear what was acknowledged while it was away
  current  it has caught up, and is in contact with a majority: it takes calls and gateways
  apart    it had caught up, and no majority heard it in the last 2 s: it sends callers and gateways on
  leaving  it ends
";
