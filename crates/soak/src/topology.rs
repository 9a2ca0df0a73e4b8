//! The processes of the system under test: their number, addresses and settings files.

use crate::error::{Error, FileSnafu, FolderNotEmptySnafu};
use snafu::{ensure, ResultExt};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Time that a process may take to exit after SIGTERM, in seconds, as configured in its settings.
pub const SHUTDOWN_GRACE_S: u64 = 6;
/// The zones, each in a region of its own.
pub const ZONES: [&str; 3] = ["north-1", "south-1", "east-1"];
const REGIONS: [&str; 3] = ["north", "south", "east"];
const OPERATOR_PORT: u16 = 8688;
const DIRECTORY_PORT: u16 = 8684;
const CLIENT_PORT: u16 = 8686;
const READINESS_PORT: u16 = 8680;
const PEER_PORTS: [u16; 2] = [7740, 7755];
const PLATFORM_PORT: u16 = 8682;
/// Last octet of the stand-ins' address; the processes use lower ones.
const STAND_IN_HOST: u8 = 250;
/// Maximum number of processes; more would not fit the addresses of a soak test.
pub const MAX_PROCESSES: usize = 240;
/// Minimum number of processes: three of each program.
pub const MIN_PROCESSES: usize = 6;
/// From this number of processes on, five of them run the control plane instead of three.
const MIN_PROCESSES_FOR_FIVE_CONTROL_PLANES: usize = 16;

/// The program that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `kitepass-control-plane`.
    ControlPlane,
    /// `kitepass-data-plane`.
    DataPlane,
}

/// A process of the system under test.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its node id.
    pub name: String,
    /// The program that it runs.
    pub role: Role,
    /// Its zone, as an index into [`ZONES`].
    pub zone: usize,
    ip: IpAddr,
}

impl Node {
    /// The listen address for client requests.
    pub fn client_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CLIENT_PORT)
    }

    /// The listen address for readiness checks.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS_PORT)
    }

    /// The listen address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// All addresses that it listens on.
    pub fn listen_addresses(&self) -> Vec<SocketAddr> {
        match self.role {
            Role::ControlPlane => [OPERATOR_PORT, DIRECTORY_PORT, PEER_PORTS[0]]
                .map(|port| SocketAddr::new(self.ip, port))
                .to_vec(),
            Role::DataPlane => vec![self.client_address(), self.readiness_address()],
        }
    }
}

/// The processes of the system under test, and the soak test's folder.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The processes, those of the control plane first.
    pub nodes: Vec<Node>,
    /// The folder for settings, logs, data directories and the history.
    pub folder: PathBuf,
    network: [u8; 3],
}

impl Topology {
    /// Lays out this number of processes, on addresses derived from this process's id, so that several soak tests can run
    /// at the same time.
    pub fn new(processes: usize, folder: PathBuf) -> Topology {
        let [.., high, low] = std::process::id().to_be_bytes();
        let network = [127, 64 | (high & 63), low];
        let control_planes = if processes < MIN_PROCESSES_FOR_FIVE_CONTROL_PLANES { 3 } else { 5 };
        let node = |index: usize| {
            let (role, name) = if index < control_planes {
                (Role::ControlPlane, format!("control-{}", index + 1))
            } else {
                (Role::DataPlane, format!("gateway-{}", index + 1 - control_planes))
            };
            let [first, second, third] = network;
            let ip = Ipv4Addr::new(first, second, third, index as u8 + 1).into();
            Node { name, role, zone: index % ZONES.len(), ip }
        };
        Topology { nodes: (0..processes).map(node).collect(), folder, network }
    }

    /// The indexes of the processes with this role.
    pub fn indexes_with_role(&self, role: Role) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].role == role).collect()
    }

    /// The IP address of all stand-ins.
    pub fn stand_in_ip(&self) -> IpAddr {
        let [first, second, third] = self.network;
        Ipv4Addr::new(first, second, third, STAND_IN_HOST).into()
    }

    /// The listen address of the platform API.
    pub fn platform_address(&self) -> SocketAddr {
        SocketAddr::new(self.stand_in_ip(), PLATFORM_PORT)
    }

    /// The data directory of a process, if its program has one.
    pub fn data_directory(&self, index: usize) -> Option<PathBuf> {
        let node = &self.nodes[index];
        (node.role == Role::ControlPlane).then(|| self.folder.join(&node.name))
    }

    /// The log file of a process.
    pub fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.nodes[index].name))
    }

    /// Replaces the settings file of a process atomically. `revision` varies a setting that is applied without a restart.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_settings(
        &self,
        index: usize,
        is_first_start: bool,
        revision: u32,
    ) -> Result<PathBuf, Error> {
        let path = self.folder.join(format!("{}.toml", self.nodes[index].name));
        let temporary = path.with_extension("next");
        std::fs::write(&temporary, self.settings(index, is_first_start, revision))
            .context(FileSnafu { path: &temporary })?;
        std::fs::rename(&temporary, &path).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    fn settings(&self, index: usize, is_first_start: bool, revision: u32) -> String {
        let node = &self.nodes[index];
        let control_planes = self.indexes_with_role(Role::ControlPlane);
        let bootstrap: Vec<String> = control_planes
            .iter()
            .take(3)
            .map(|control_plane| self.nodes[*control_plane].operator_address().to_string())
            .collect();
        let mut text = format!(
            "station = {:?}\nip = \"{}\"\ndistrict = {:?}\nprovince = {:?}\nsidings = {PEER_PORTS:?}\nfirst-stops = {bootstrap:?}\n",
            node.name, node.ip, ZONES[node.zone], REGIONS[node.zone]
        );
        if let Some(directory) = self.data_directory(index) {
            let _ = writeln!(text, "archive-dir = {directory:?}\nmaiden-run = {is_first_start}");
        }
        text.push_str("[districts]\n");
        for (zone, region) in ZONES.iter().zip(REGIONS) {
            let _ = writeln!(text, "{zone} = {region:?}");
        }
        let listeners = match node.role {
            Role::ControlPlane => [("control-desk", OPERATOR_PORT), ("directory-desk", DIRECTORY_PORT)],
            Role::DataPlane => [("front-counter", CLIENT_PORT), ("readiness", READINESS_PORT)],
        };
        text.push_str("[counters]\n");
        for (name, port) in listeners {
            let _ = writeln!(text, "{name} = \"{}\"", SocketAddr::new(node.ip, port));
        }
        let _ = write!(
            text,
            "[schedule-bounds]\ncourtesy-s = {SHUTDOWN_GRACE_S}\nretry-margin = {}\n[carrier-api]\naddress = \"{}\"\nrate-per-s = 100.0\ndelay-ms = 500\n",
            60 + revision % 2,
            self.platform_address()
        );
        text
    }

    /// Checks that no address is in use.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn check_addresses(&self) -> Result<(), Error> {
        let node_addresses = self.nodes.iter().flat_map(Node::listen_addresses);
        for address in node_addresses.chain([self.platform_address()]) {
            std::net::TcpListener::bind(address).context(crate::error::ListenSnafu { address })?;
        }
        Ok(())
    }

    /// Creates the folder and the data directories.
    ///
    /// # Errors
    ///
    /// They cannot be created, or the folder is not empty.
    pub fn create_folders(&self) -> Result<(), Error> {
        create_folder(&self.folder)?;
        let mut entries = std::fs::read_dir(&self.folder).context(FileSnafu { path: &self.folder })?;
        ensure!(entries.next().is_none(), FolderNotEmptySnafu { folder: &self.folder });
        let directories = (0..self.nodes.len()).filter_map(|index| self.data_directory(index));
        directories.into_iter().try_for_each(|directory| create_folder(&directory))
    }
}

fn create_folder(path: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(path).context(FileSnafu { path })
}
