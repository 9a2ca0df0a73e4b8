//! Index of the home regions of each host's routes, used by client look-ups.

use kitepass_config::{normalize_host, Item, NormalizedHost, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Host and home regions of a route.
struct RouteHomeRegions {
    host: NormalizedHost,
    home_regions: Vec<Arc<str>>,
}

/// Home regions of all routes, by route name.
#[derive(Default)]
pub(super) struct HomeRegions {
    routes: BTreeMap<Arc<str>, RouteHomeRegions>,
}

impl HomeRegions {
    /// Updates the index after a route was set or deleted.
    pub(super) fn update(&mut self, item: &Item) {
        match Route::from_item(item) {
            Some(route) => {
                let home_regions = RouteHomeRegions {
                    host: normalize_host(route.host.as_bytes()),
                    home_regions: route.home_regions,
                };
                self.routes.insert(item.name.clone(), home_regions);
            }
            None => _ = self.routes.remove(&item.name),
        }
    }

    /// The home regions shared by all routes of a host. Empty if the routes differ or the host has none.
    pub(super) fn for_host(&self, host: &str) -> &[Arc<str>] {
        let host = normalize_host(host.as_bytes());
        let mut routes = self.routes.values().filter(|route| route.host == host);
        let Some(first) = routes.next() else { return &[] };
        let all_equal = routes.all(|route| route.home_regions == first.home_regions);
        if all_equal {
            &first.home_regions
        } else {
            &[]
        }
    }
}
