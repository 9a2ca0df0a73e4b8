//! The home regions of each host's routes, for the directory.

use kitepass_config::{normalize_host, Item, NormalizedHost, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What the directory needs of a route.
struct RouteHomes {
    host: NormalizedHost,
    home_regions: Vec<Arc<str>>,
}

/// The home regions of all routes in force, by the route's name.
#[derive(Default)]
pub(super) struct HostHomes {
    routes: BTreeMap<Arc<str>, RouteHomes>,
}

impl HostHomes {
    /// A route was set or removed.
    pub(super) fn update(&mut self, item: &Item) {
        match Route::from_item(item) {
            Some(route) => {
                let homes = RouteHomes {
                    host: normalize_host(route.host.as_bytes()),
                    home_regions: route.home_regions,
                };
                self.routes.insert(item.name.clone(), homes);
            }
            None => _ = self.routes.remove(&item.name),
        }
    }

    /// The home regions that all routes of a host have, or none where they differ or there is no route.
    pub(super) fn of_host(&self, host: &str) -> &[Arc<str>] {
        let host = normalize_host(host.as_bytes());
        let mut of_host = self.routes.values().filter(|route| route.host == host);
        let Some(first) = of_host.next() else { return &[] };
        let agree = of_host.all(|route| route.home_regions == first.home_regions);
        if agree {
            &first.home_regions
        } else {
            &[]
        }
    }
}
