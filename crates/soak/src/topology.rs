//! The processes of a soak: how many, where they listen, and their settings files.

use crate::error::{Error, FileSnafu, FolderNotEmptySnafu};
use snafu::{ensure, ResultExt};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// How long a process may take to end after SIGTERM, in seconds, as its settings tell it.
pub const SHUTDOWN_GRACE_S: u64 = 6;
/// Zones, each in a region of its own.
pub const ZONES: [&str; 3] = ["north-1", "south-1", "east-1"];
const REGIONS: [&str; 3] = ["north", "south", "east"];
const OPERATOR_PORT: u16 = 8688;
const DIRECTORY_PORT: u16 = 8684;
const CLIENT_PORT: u16 = 8686;
const READINESS_PORT: u16 = 8680;
const PEER_PORTS: [u16; 2] = [7740, 7755];
const PLATFORM_PORT: u16 = 8682;
/// The last byte of the address of all stand-ins; processes have lower ones.
const STAND_IN_HOST: u8 = 250;
/// The most processes that fit the addresses of a soak.
pub const MAX_PROCESSES: usize = 240;
/// The fewest: three of each program.
pub const MIN_PROCESSES: usize = 6;
/// From so many processes on there are five control processes, and not three.
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
    /// Its program.
    pub role: Role,
    /// Its zone, by its index in [`ZONES`].
    pub zone: usize,
    ip: IpAddr,
}

impl Node {
    /// Where clients' requests go.
    pub fn client_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CLIENT_PORT)
    }

    /// Where its readiness is checked.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS_PORT)
    }

    /// Where operators call.
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

/// All processes of a soak, and its folder.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The processes, those of the control plane first.
    pub nodes: Vec<Node>,
    /// Where settings, logs, data directories and the history are.
    pub folder: PathBuf,
    network: [u8; 3],
}

impl Topology {
    /// So many processes, on addresses of this process' own, so that several soaks run beside each other.
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

    /// The indexes of the processes of a program.
    pub fn indexes_with_role(&self, role: Role) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].role == role).collect()
    }

    /// The address of the stand-ins.
    pub fn stand_in_ip(&self) -> IpAddr {
        let [first, second, third] = self.network;
        Ipv4Addr::new(first, second, third, STAND_IN_HOST).into()
    }

    /// Where the platform's list is.
    pub fn platform_address(&self) -> SocketAddr {
        SocketAddr::new(self.stand_in_ip(), PLATFORM_PORT)
    }

    /// A process' data directory, if its program has one.
    pub fn data_directory(&self, index: usize) -> Option<PathBuf> {
        let node = &self.nodes[index];
        (node.role == Role::ControlPlane).then(|| self.folder.join(&node.name))
    }

    /// A process' log.
    pub fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.nodes[index].name))
    }

    /// Writes a process' settings file, as a whole. `revision` changes a value that is taken up without a restart.
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

    /// Whether every address is free.
    ///
    /// # Errors
    ///
    /// One is in use.
    pub fn check_addresses(&self) -> Result<(), Error> {
        let node_addresses = self.nodes.iter().flat_map(Node::listen_addresses);
        for address in node_addresses.chain([self.platform_address()]) {
            std::net::TcpListener::bind(address).context(crate::error::ListenSnafu { address })?;
        }
        Ok(())
    }

    /// Makes the folder and the data directories.
    ///
    /// # Errors
    ///
    /// They cannot be made, or the folder holds something.
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
