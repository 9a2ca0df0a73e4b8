//! The sizes that are measured, and where processes stand.

/// How much of everything there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Deployment {
    pub(crate) gateways: usize,
    pub(crate) routes: usize,
    pub(crate) tenants: usize,
    pub(crate) backends: usize,
}

/// The last is the size to plan for.
pub(crate) const DEPLOYMENTS: [Deployment; 3] = [
    Deployment { gateways: 60, routes: 170, tenants: 1_300, backends: 200 },
    Deployment { gateways: 200, routes: 560, tenants: 4_300, backends: 700 },
    Deployment { gateways: 600, routes: 1_700, tenants: 13_000, backends: 2_100 },
];

impl Deployment {
    pub(crate) fn with_gateways(gateways: usize) -> Option<Deployment> {
        DEPLOYMENTS.into_iter().find(|deployment| deployment.gateways == gateways)
    }

    /// The four numbers, for the report's head.
    pub(crate) fn numbers(self) -> [usize; 4] {
        [self.gateways, self.routes, self.tenants, self.backends]
    }
}

/// Services, at each size.
pub(crate) const SERVICES: usize = 100;
/// Control processes.
pub(crate) const NODES: usize = 6;

/// Where a control process stands.
pub(crate) struct Location {
    pub(crate) zone: &'static str,
    pub(crate) region: &'static str,
}

/// The control processes' locations: four regions.
pub(crate) const NODE_LOCATIONS: [Location; NODES] = [
    Location { zone: "a1", region: "a" },
    Location { zone: "a2", region: "a" },
    Location { zone: "b1", region: "b" },
    Location { zone: "b2", region: "b" },
    Location { zone: "c1", region: "c" },
    Location { zone: "d1", region: "d" },
];
/// The zones of gateways and backends.
pub(crate) const ZONES: [&str; 9] = ["a1", "a2", "a3", "b1", "b2", "c1", "c2", "d1", "d2"];

pub(crate) fn tenant_name(n: u32) -> String {
    format!("c-{n:05x}")
}

pub(crate) fn service_name(n: usize) -> String {
    format!("line{n:03}")
}
